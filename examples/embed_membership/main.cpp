// Embeds the membership: three members exchange records, one stops sending, and
// the other two agree that it is dead. The program advances the clock itself.
#include "briarfield/control/membership.hpp"

#include <cstdio>

namespace
{

using namespace briarfield;
using namespace std::chrono_literals;

// Bytes; both fit in a datagram.
constexpr std::size_t detail_limit = 400;
constexpr std::size_t delta_limit = 1200;

balancer_record record(const char* name, std::uint16_t port)
{
    balancer_record r;
    r.instance = name;
    r.zone = "a";
    r.region = "r";
    r.control = endpoint::parse("192.0.2.1:" + std::to_string(port)).value();
    r.incarnation = 1;
    return r;
}

/// One direction of a round: \a to receives a heartbeat of \a from, and the
/// records of which \a from has a newer version.
void send(const membership& from, membership& to, std::uint64_t round)
{
    to.on_heartbeat(from.local_record(), round);
    const std::string lacking = to.detail(from.digest(), detail_limit);
    (void)to.merge(from.delta(lacking, delta_limit));
}

void exchange(membership& a, membership& b, std::uint64_t round)
{
    send(a, b, round);
    send(b, a, round);
}

} // namespace

int main()
{
    manual_clock clock;
    membership a(record("a", 1), clock);
    membership b(record("b", 2), clock);
    membership c(record("c", 3), clock);
    std::uint64_t round = 0;
    for (; round < 5; ++round)
    {
        clock.advance(500ms);
        exchange(a, b, round + 1);
        exchange(b, c, round + 1);
        exchange(a, c, round + 1);
    }
    std::printf("live at a: %zu\n", a.live_count());
    if (a.live_count() != 3)
        return 1;

    for (const std::uint64_t last_round = round + 12; round < last_round;
         ++round)
    {
        clock.advance(500ms);
        exchange(a, b, round + 1);
        a.sweep();
        b.sweep();
    }
    std::printf("live at a and b after c timed out: %zu, %zu\n", a.live_count(),
                b.live_count());
    return a.live_count() == 2 && b.live_count() == 2 ? 0 : 1;
}
