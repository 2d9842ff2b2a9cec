#include "../platform/packet_header.hpp"
#include "../platform/standin/packet.hpp"

#include "briarfield/relay/relay_agent.hpp"
#include "briarfield/relay/relay_balancer.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace briarfield;
using namespace std::chrono_literals;
using platform::make_packet_codec;
using platform::standin::bounce;
using platform::standin::packet;
using platform::standin::packet_flags;
using platform::standin::read_packet;
using platform::standin::write_packet;

/// Iterations of the loop after which a wait fails.
constexpr std::size_t iteration_limit = 20000;

/// Time by which the clock advances in each iteration.
constexpr duration iteration_time = 5ms;

endpoint local(const char* text)
{
    return endpoint::parse(text).value();
}

/// A balancer, an agent, a server and a caller on loopback sockets; a manual
/// clock advances with each iteration of the loop.
class relay_path_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(relay_path_test);
    CPPUNIT_TEST(caller_reaches_the_server_and_back);
    CPPUNIT_TEST(returned_opening_is_answered_with_a_reset);
    CPPUNIT_TEST(draining_server_receives_no_opening);
    CPPUNIT_TEST(server_that_returns_openings_is_reported_as_silent);
    CPPUNIT_TEST(restart_of_the_server_resets_its_flows);
    CPPUNIT_TEST(restarted_agent_resets_flows_of_a_stopped_server);
    CPPUNIT_TEST(restarted_agent_keeps_open_flows);
    CPPUNIT_TEST(new_balancer_finds_a_flow_by_a_query);
    CPPUNIT_TEST(search_of_a_lost_flow_is_answered_briefly);
    CPPUNIT_TEST(malformed_datagrams_are_ignored);
    CPPUNIT_TEST(evacuated_zone_receives_no_opening);
    CPPUNIT_TEST(restarted_agent_awaits_the_evacuated_zones);
    CPPUNIT_TEST(agent_learns_the_limit_of_a_warming_server);
    CPPUNIT_TEST(balancer_learns_the_evacuated_zones_from_a_peer);
    CPPUNIT_TEST_SUITE_END();

    manual_clock clock_;
    random_source random_{1};
    std::unique_ptr<event_loop> loop_;
    std::unique_ptr<udp_socket> server_;
    std::unique_ptr<udp_socket> caller_;
    std::unique_ptr<relay_agent> agent_;
    std::unique_ptr<relay_balancer> balancer_;
    bool follows_evacuations_ = false;
    warmup_limiter::options warmup_;
    duration max_flow_age_ = 100ms;
    bool returns_all_ = false; ///< The server returns every packet.
    std::vector<packet> at_server_;
    std::vector<packet> at_caller_;

public:
    void setUp() override
    {
        loop_ = std::move(event_loop::create(clock_).value());
        server_ =
            socket([this](byte_span datagram) { handle_at_server(datagram); });
        caller_ =
            socket([this](byte_span datagram)
                   { at_caller_.push_back(read_packet(datagram).value()); });
        start_balancer();
        start_agent();
        apply_routes({});
        run_until([this] { return balancer_->ready(); });
    }

    void tearDown() override
    {
        agent_.reset();
        balancer_.reset();
        caller_.reset();
        server_.reset();
        loop_.reset();
    }

private:
    std::unique_ptr<udp_socket>
    socket(std::function<void(byte_span)> on_datagram)
    {
        return std::move(
            udp_socket::create(*loop_, local("127.0.0.1:0"),
                               [on_datagram = std::move(on_datagram)](
                                   byte_span datagram, const endpoint&)
                               { on_datagram(datagram); })
                .value());
    }

    void apply_routes(const std::vector<warmup_limit>& limits)
    {
        route_set routes;
        routes.version = balancer_->routes_version() + 1;
        routes.routes = {{local("198.18.0.1:443"), {{"a", 1}}}};
        routes.warmup_limits = limits;
        balancer_->update_routes(routes);
    }

    void start_balancer()
    {
        relay_balancer_options options;
        options.callers = local("127.0.0.1:0");
        options.relay = local("127.0.0.1:0");
        options.caller_port = caller_->local().port;
        options.follows_evacuations = follows_evacuations_;
        balancer_ =
            std::move(relay_balancer::create(
                          *loop_, options, make_packet_codec(), place_by_load())
                          .value());
    }

    void start_agent()
    {
        relay_agent_options options;
        options.relay = local("127.0.0.1:0");
        options.from_server = local("127.0.0.1:0");
        options.server = server_->local();
        options.caller_port = caller_->local().port;
        options.seeds = {balancer_->relay_socket().local()};
        options.service = "a";
        options.zone = "z";
        options.follows_evacuations = follows_evacuations_;
        options.warmup = warmup_;
        options.max_flow_age = max_flow_age_;
        agent_ = std::move(
            relay_agent::create(*loop_, options, make_packet_codec(), random_)
                .value());
    }

    void handle_at_server(byte_span datagram)
    {
        const packet p = read_packet(datagram).value();
        at_server_.push_back(p);
        if (returns_all_)
        {
            const auto back = bounce(datagram);
            return send(*server_, agent_->server_socket().local(), back);
        }
        packet answer;
        answer.key = p.key.reversed();
        answer.flags = packet_flags::ack;
        if ((p.flags & packet_flags::syn) != 0)
            answer.flags |= packet_flags::syn;
        else
            answer.payload = "answer";
        send(*server_, agent_->server_socket().local(), write_packet(answer));
    }

    static void send(udp_socket& from,
                     const endpoint& to,
                     const std::vector<std::uint8_t>& bytes)
    {
        from.queue_copy(to, {bytes.data(), bytes.size()});
        from.flush();
    }

    void send_from_caller(std::uint8_t flags, const std::string& payload)
    {
        packet p;
        p.key = {local("127.0.0.1:0").address, local("198.18.0.1:0").address,
                 40001, 443};
        p.flags = flags;
        p.payload = payload;
        send(*caller_, balancer_->caller_socket().local(), write_packet(p));
    }

    void run_until(const std::function<bool()>& done)
    {
        for (std::size_t iterations = 0; !done(); ++iterations)
        {
            CPPUNIT_ASSERT_MESSAGE("condition not met in time",
                                   iterations < iteration_limit);
            run_iteration();
        }
    }

    /// Advances the clock and handles pending events without blocking.
    void run_iteration()
    {
        clock_.advance(iteration_time);
        loop_->timers().schedule(duration(0), [] {});
        loop_->run_once();
        loop_->timers().run_due();
    }

    void advance_time(duration datagram)
    {
        const time_point end = clock_.now() + datagram;
        run_until([this, end] { return clock_.now() >= end; });
    }

    void await_caller(std::size_t packets)
    {
        run_until([this, packets] { return at_caller_.size() >= packets; });
    }

    void caller_reaches_the_server_and_back()
    {
        send_from_caller(packet_flags::syn, "");
        await_caller(1);
        CPPUNIT_ASSERT((at_caller_[0].flags & packet_flags::syn) != 0);
        send_from_caller(packet_flags::ack, "question");
        await_caller(2);
        CPPUNIT_ASSERT_EQUAL(std::string("question"), at_server_[1].payload);
        CPPUNIT_ASSERT_EQUAL(std::string("answer"), at_caller_[1].payload);
    }

    void returned_opening_is_answered_with_a_reset()
    {
        returns_all_ = true;
        send_from_caller(packet_flags::syn, "");
        // The only server returns the opening. The balancer rejects the flow
        // once its record of the agents is complete.
        run_until([this] { return !at_server_.empty(); });
        advance_time(2s);
        send_from_caller(packet_flags::syn, "");
        await_caller(1);
        CPPUNIT_ASSERT_EQUAL(int(packet_flags::rst), int(at_caller_[0].flags));
    }

    void draining_server_receives_no_opening()
    {
        server_heartbeat heartbeat;
        heartbeat.id = "i";
        heartbeat.sequence = 1;
        heartbeat.service = "a";
        heartbeat.address = server_->local();
        heartbeat.draining = true;
        CPPUNIT_ASSERT(agent_->server().on_heartbeat(heartbeat));
        send_from_caller(packet_flags::syn, "");
        advance_time(500ms);
        CPPUNIT_ASSERT(at_server_.empty());
    }

    server_state reported_state() const
    {
        return balancer_->agents().at(0).status.state;
    }

    void server_that_returns_openings_is_reported_as_silent()
    {
        returns_all_ = true;
        send_from_caller(packet_flags::syn, "");
        run_until([this] { return !at_server_.empty(); });
        run_until([this] { return reported_state() == server_state::silent; });
        // After this time the agent delivers openings to the server again.
        advance_time(server_gate::rejection_backoff);
        run_until([this] { return reported_state() == server_state::unknown; });
    }

    /// Establishes a flow on which the server has sent an answer and the caller
    /// has acknowledged it.
    void establish_flow()
    {
        caller_reaches_the_server_and_back();
        send_from_caller(packet_flags::ack, "");
        advance_time(50ms);
    }

    void announce_server(std::uint64_t born_ms)
    {
        server_heartbeat heartbeat;
        heartbeat.id = "i";
        heartbeat.born_ms = born_ms;
        heartbeat.sequence = 1;
        heartbeat.service = "a";
        heartbeat.address = server_->local();
        CPPUNIT_ASSERT(agent_->server().on_heartbeat(heartbeat));
    }

    bool caller_was_reset() const
    {
        return !at_caller_.empty() &&
               at_caller_.back().flags == packet_flags::rst;
    }

    void restart_of_the_server_resets_its_flows()
    {
        announce_server(1);
        establish_flow();
        returns_all_ = true;
        announce_server(2);
        run_until([this] { return caller_was_reset(); });
    }

    void restarted_agent_resets_flows_of_a_stopped_server()
    {
        establish_flow();
        const auto saved = agent_->gate().probes();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, saved.size());
        returns_all_ = true;
        start_agent();
        agent_->restore(saved);
        run_until([this] { return caller_was_reset(); });
    }

    void restarted_agent_keeps_open_flows()
    {
        establish_flow();
        const auto saved = agent_->gate().probes();
        start_agent();
        agent_->restore(saved);
        advance_time(1s);
        CPPUNIT_ASSERT(!caller_was_reset());
    }

    void restart_following_evacuations()
    {
        follows_evacuations_ = true;
        agent_.reset();
        start_balancer();
        start_agent();
        apply_routes({});
    }

    /// The set must pass from the balancer to the agent without a periodic
    /// notice, and back again.
    void evacuated_zone_receives_no_opening()
    {
        restart_following_evacuations();
        balancer_->update_evacuations({1, 1, {}});
        run_until([this] { return balancer_->ready(); });
        run_until([this] { return !agent_->openings().drains(); });
        establish_flow();
        const std::size_t received = at_server_.size();
        // The next periodic heartbeat follows after more than 250 ms.
        const time_point last = balancer_->agents().at(0).last_heartbeat;
        run_until([&]
                  { return balancer_->agents().at(0).last_heartbeat != last; });
        balancer_->update_evacuations({1, 2, {"z"}});
        const time_point start = clock_.now();
        run_until([this] { return agent_->openings().drains(); });
        run_until([this]
                  { return reported_state() == server_state::draining; });
        CPPUNIT_ASSERT(clock_.now() - start < 250ms);
        send_from_caller(packet_flags::ack, "question");
        run_until([&] { return at_server_.size() > received; });
        balancer_->update_evacuations({1, 3, {}});
        run_until([this] { return !agent_->openings().drains(); });
    }

    /// Its zone may be evacuated; a balancer that does not know, either, is not
    /// ready.
    void restarted_agent_awaits_the_evacuated_zones()
    {
        restart_following_evacuations();
        advance_time(2s);
        CPPUNIT_ASSERT(!balancer_->ready());
        announce_server(0);
        send_from_caller(packet_flags::syn, "");
        advance_time(500ms);
        CPPUNIT_ASSERT(at_server_.empty());
        balancer_->update_evacuations({1, 1, {"other"}});
        run_until([this] { return !agent_->openings().drains(); });
        announce_server(1);
        run_until([this] { return reported_state() == server_state::ready; });
        CPPUNIT_ASSERT(balancer_->ready());
        send_from_caller(packet_flags::syn, "");
        await_caller(1);
    }

    void agent_learns_the_limit_of_a_warming_server()
    {
        warmup_ = {1.5, 5};
        agent_.reset();
        start_agent();
        apply_routes({{"other", 50, 2s}, {"a", 2, 2s}});
        run_until([this]
                  { return agent_->openings().opening_room() == 3 + 5; });
        apply_routes({});
        run_until(
            [this] {
                return agent_->openings().opening_room() == unlimited_openings;
            });
    }

    /// A balancer that cannot reach the store must get the set from others.
    void balancer_learns_the_evacuated_zones_from_a_peer()
    {
        restart_following_evacuations();
        const std::unique_ptr<relay_balancer> cut_off = std::move(balancer_);
        start_balancer();
        balancer_->add_seeds({cut_off->relay_socket().local()});
        balancer_->update_evacuations({1, 7, {"x"}});
        run_until([&] { return cut_off->evacuations().contains("x"); });
    }

    /// Replaces the balancer by one that has no record of flows.
    void replace_balancer()
    {
        start_balancer();
        agent_->try_balancers({balancer_->relay_socket().local()});
        apply_routes({});
    }

    void new_balancer_finds_a_flow_by_a_query()
    {
        establish_flow();
        replace_balancer();
        const std::size_t before = at_server_.size();
        send_from_caller(packet_flags::ack, "second");
        run_until([this, before] { return at_server_.size() > before; });
        CPPUNIT_ASSERT_EQUAL(std::string("second"), at_server_.back().payload);
        const auto& counters = balancer_->dispatcher().query_counters();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             counters.value(query_event::held));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                             counters.value(query_event::sent_packet));
    }

    /// The returned packet has no payload; the balancer read it as malformed
    /// if the length in its header was still that of the whole.
    void search_of_a_lost_flow_is_answered_briefly()
    {
        max_flow_age_ = 60s;
        start_agent();
        // The first agent counts as gone after this time.
        advance_time(5s);
        returns_all_ = true;
        send_from_caller(packet_flags::ack, "question");
        const auto& counters = balancer_->dispatcher().query_counters();
        run_until([&counters]
                  { return counters.value(query_event::not_held) > 0; });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                             counters.value(query_event::sent));
    }

    void malformed_datagrams_are_ignored()
    {
        for (const auto& malformed :
             {std::vector<std::uint8_t>{}, std::vector<std::uint8_t>(1, 1),
              std::vector<std::uint8_t>(500, 2),
              std::vector<std::uint8_t>(40, 3),
              std::vector<std::uint8_t>(1400, 255)})
        {
            send(*caller_, balancer_->caller_socket().local(), malformed);
            send(*caller_, balancer_->relay_socket().local(), malformed);
            send(*caller_, agent_->relay_socket().local(), malformed);
            send(*caller_, agent_->server_socket().local(), malformed);
        }
        caller_reaches_the_server_and_back();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_path_test);

} // namespace
