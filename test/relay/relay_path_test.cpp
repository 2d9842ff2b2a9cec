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

/// Turns of the loop after which something is missing.
constexpr std::size_t turn_limit = 20000;

/// Time that passes with each turn.
constexpr duration turn_time = 5ms;

endpoint local(const char* text)
{
    return endpoint::parse(text).value();
}

/// One balancer, one agent, a server and a caller on loopback sockets; time
/// passes by turns of the loop.
class relay_path_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(relay_path_test);
    CPPUNIT_TEST(caller_reaches_the_server_and_back);
    CPPUNIT_TEST(packet_that_comes_back_ends_in_a_reset);
    CPPUNIT_TEST(drained_server_is_not_offered_a_flow);
    CPPUNIT_TEST(server_that_returns_openings_is_reported_silent);
    CPPUNIT_TEST(caller_of_an_ended_server_is_told);
    CPPUNIT_TEST(agent_started_anew_tells_callers_of_an_ended_server);
    CPPUNIT_TEST(agent_started_anew_leaves_live_flows_alone);
    CPPUNIT_TEST(damaged_datagrams_do_no_harm);
    CPPUNIT_TEST_SUITE_END();

    manual_clock clock_;
    random_source random_{1};
    std::unique_ptr<event_loop> loop_;
    std::unique_ptr<udp_socket> server_;
    std::unique_ptr<udp_socket> caller_;
    std::unique_ptr<relay_agent> agent_;
    std::unique_ptr<relay_balancer> balancer_;
    bool returns_all_ = false; ///< The server holds and takes nothing.
    std::vector<packet> at_server_;
    std::vector<packet> at_caller_;

public:
    void setUp() override
    {
        loop_ = std::move(event_loop::create(clock_).value());
        server_ = socket([this](byte_span d) { serve(d); });
        caller_ = socket([this](byte_span d)
                         { at_caller_.push_back(read_packet(d).value()); });
        start_balancer();
        start_agent();
        route_set routes;
        routes.version = 1;
        routes.routes = {{local("198.18.0.1:443"), {{"a", 1}}}};
        balancer_->take_routes(routes);
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
    std::unique_ptr<udp_socket> socket(std::function<void(byte_span)> take)
    {
        return std::move(udp_socket::create(*loop_, local("127.0.0.1:0"),
                                            [take = std::move(take)](
                                                byte_span d, const endpoint&)
                                            { take(d); })
                             .value());
    }

    void start_balancer()
    {
        relay_balancer_options o;
        o.callers = local("127.0.0.1:0");
        o.relay = local("127.0.0.1:0");
        o.caller_port = caller_->local().port;
        balancer_ =
            std::move(relay_balancer::create(*loop_, o, make_packet_codec(),
                                             place_by_load())
                          .value());
    }

    void start_agent()
    {
        relay_agent_options o;
        o.relay = local("127.0.0.1:0");
        o.from_server = local("127.0.0.1:0");
        o.server = server_->local();
        o.caller_port = caller_->local().port;
        o.seeds = {balancer_->relay_socket().local()};
        o.service = "a";
        agent_ = std::move(
            relay_agent::create(*loop_, o, make_packet_codec(), random_)
                .value());
    }

    void serve(byte_span d)
    {
        const packet p = read_packet(d).value();
        at_server_.push_back(p);
        if (returns_all_)
        {
            const auto back = bounce(d);
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

    void call(std::uint8_t flags, const std::string& payload)
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
        for (std::size_t turns = 0; !done(); ++turns)
        {
            CPPUNIT_ASSERT_MESSAGE("nothing came", turns < turn_limit);
            turn();
        }
    }

    /// Handles what waits and lets time pass; does not wait for real.
    void turn()
    {
        clock_.advance(turn_time);
        loop_->timers().schedule(duration(0), [] {});
        loop_->run_once();
        loop_->timers().run_due();
    }

    void pass(duration d)
    {
        const time_point end = clock_.now() + d;
        run_until([this, end] { return clock_.now() >= end; });
    }

    void await_caller(std::size_t packets)
    {
        run_until([this, packets] { return at_caller_.size() >= packets; });
    }

    void caller_reaches_the_server_and_back()
    {
        call(packet_flags::syn, "");
        await_caller(1);
        CPPUNIT_ASSERT((at_caller_[0].flags & packet_flags::syn) != 0);
        call(packet_flags::ack, "question");
        await_caller(2);
        CPPUNIT_ASSERT_EQUAL(std::string("question"), at_server_[1].payload);
        CPPUNIT_ASSERT_EQUAL(std::string("answer"), at_caller_[1].payload);
    }

    void packet_that_comes_back_ends_in_a_reset()
    {
        returns_all_ = true;
        call(packet_flags::syn, "");
        // The only server does not take it; refused once all is known.
        run_until([this] { return !at_server_.empty(); });
        pass(2s);
        call(packet_flags::syn, "");
        await_caller(1);
        CPPUNIT_ASSERT_EQUAL(int(packet_flags::rst), int(at_caller_[0].flags));
    }

    void drained_server_is_not_offered_a_flow()
    {
        server_heartbeat beat;
        beat.id = "i";
        beat.sequence = 1;
        beat.service = "a";
        beat.draining = true;
        CPPUNIT_ASSERT(agent_->server().on_heartbeat(beat));
        call(packet_flags::syn, "");
        pass(500ms);
        CPPUNIT_ASSERT(at_server_.empty());
    }

    server_state reported_state() const
    {
        return balancer_->agents().at(0).status.state;
    }

    void server_that_returns_openings_is_reported_silent()
    {
        returns_all_ = true;
        call(packet_flags::syn, "");
        run_until([this] { return !at_server_.empty(); });
        run_until([this] { return reported_state() == server_state::silent; });
        // It is tried again after a while.
        pass(server_gate::rejection_backoff);
        run_until([this] { return reported_state() == server_state::unknown; });
    }

    /// A flow on which the server has answered and the caller acknowledged.
    void use_flow()
    {
        caller_reaches_the_server_and_back();
        call(packet_flags::ack, "");
        pass(50ms);
    }

    void announce_server(std::uint64_t born_ms)
    {
        server_heartbeat beat;
        beat.id = "i";
        beat.born_ms = born_ms;
        beat.sequence = 1;
        beat.service = "a";
        CPPUNIT_ASSERT(agent_->server().on_heartbeat(beat));
    }

    bool caller_was_reset() const
    {
        return !at_caller_.empty() &&
               at_caller_.back().flags == packet_flags::rst;
    }

    void caller_of_an_ended_server_is_told()
    {
        announce_server(1);
        use_flow();
        returns_all_ = true;
        announce_server(2);
        run_until([this] { return caller_was_reset(); });
    }

    void agent_started_anew_tells_callers_of_an_ended_server()
    {
        use_flow();
        const auto saved = agent_->gate().probes();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, saved.size());
        returns_all_ = true;
        start_agent();
        agent_->restore(saved);
        run_until([this] { return caller_was_reset(); });
    }

    void agent_started_anew_leaves_live_flows_alone()
    {
        use_flow();
        const auto saved = agent_->gate().probes();
        start_agent();
        agent_->restore(saved);
        pass(1s);
        CPPUNIT_ASSERT(!caller_was_reset());
    }

    void damaged_datagrams_do_no_harm()
    {
        for (const auto& junk :
             {std::vector<std::uint8_t>{}, std::vector<std::uint8_t>(1, 1),
              std::vector<std::uint8_t>(500, 2),
              std::vector<std::uint8_t>(40, 3),
              std::vector<std::uint8_t>(1400, 255)})
        {
            send(*caller_, balancer_->caller_socket().local(), junk);
            send(*caller_, balancer_->relay_socket().local(), junk);
            send(*caller_, agent_->relay_socket().local(), junk);
            send(*caller_, agent_->server_socket().local(), junk);
        }
        caller_reaches_the_server_and_back();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_path_test);

} // namespace
