#include "../platform/packet_header.hpp"
#include "../src/relay/message_frame.hpp"

#include "briarfield/relay/relay_agent.hpp"
#include "briarfield/relay/relay_balancer.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace briarfield;
using namespace std::chrono_literals;
using platform::make_packet_codec;

/// Time by which the clock advances in each iteration of the loop.
constexpr duration iteration_time = 5ms;

endpoint any_port()
{
    return endpoint::parse("127.0.0.1:0").value();
}

/// Tests how balancers and agents find each other when all start at once. A
/// socket of the test takes the place of the balancer that is their only seed;
/// a manual clock advances with each iteration of the loop.
class startup_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(startup_test);
    CPPUNIT_TEST(agent_without_balancers_sends_heartbeats_fast);
    CPPUNIT_TEST(agent_slows_down_when_a_balancer_replies);
    CPPUNIT_TEST(agent_whose_balancers_are_down_searches_again);
    CPPUNIT_TEST(balancer_without_agents_sends_notices_fast);
    CPPUNIT_TEST(balancer_with_an_agent_sends_notices_each_second);
    CPPUNIT_TEST(balancer_tells_one_without_agents_of_its_agents);
    CPPUNIT_TEST(balancer_sends_hellos_to_recorded_processes);
    CPPUNIT_TEST(agent_tries_many_recorded_balancers_once);
    CPPUNIT_TEST_SUITE_END();

    manual_clock clock_;
    random_source random_{1};
    std::unique_ptr<event_loop> loop_;
    std::unique_ptr<udp_socket> seed_;
    std::unique_ptr<relay_agent> agent_;
    std::unique_ptr<relay_balancer> balancer_;
    std::size_t heartbeats_ = 0; ///< That have reached the seed.
    std::vector<balancer_notice> notices_;

public:
    void setUp() override
    {
        loop_ = std::move(event_loop::create(clock_).value());
        seed_ = std::move(
            udp_socket::create(*loop_, any_port(),
                               [this](byte_span datagram, const endpoint&)
                               { at_seed(datagram); })
                .value());
    }

    void tearDown() override
    {
        agent_.reset();
        balancer_.reset();
        seed_.reset();
        loop_.reset();
    }

private:
    void at_seed(byte_span datagram)
    {
        const auto frame = read_relay_frame(datagram);
        CPPUNIT_ASSERT(frame);
        const auto message =
            decode_dispatch_message(text_of(frame.value().body));
        CPPUNIT_ASSERT(message);
        if (std::holds_alternative<agent_status>(message.value()))
            ++heartbeats_;
        if (std::holds_alternative<balancer_notice>(message.value()))
            notices_.push_back(std::get<balancer_notice>(message.value()));
    }

    void start_agent()
    {
        relay_agent_options options;
        options.relay = any_port();
        options.from_server = any_port();
        options.server = seed_->local();
        options.seeds = {seed_->local()};
        options.service = "a";
        agent_ = std::move(
            relay_agent::create(*loop_, options, make_packet_codec(), random_)
                .value());
    }

    void start_balancer() { start_balancer({seed_->local()}); }

    void start_balancer(const std::vector<endpoint>& seeds)
    {
        relay_balancer_options options;
        options.callers = any_port();
        options.relay = any_port();
        options.seeds = seeds;
        balancer_ =
            std::move(relay_balancer::create(
                          *loop_, options, make_packet_codec(), place_by_load())
                          .value());
    }

    void advance(duration d)
    {
        for (const time_point end = clock_.now() + d; clock_.now() < end;)
        {
            clock_.advance(iteration_time);
            loop_->timers().schedule(duration(0), [] {});
            loop_->run_once();
            loop_->timers().run_due();
        }
    }

    void send_from_seed(const endpoint& to, const dispatch_message& message)
    {
        seed_->queue_copy(to, bytes_of(message_frame(message)));
        seed_->flush();
    }

    /// A notice of the seed, as a balancer would send it.
    balancer_notice seed_notice() const
    {
        balancer_notice notice;
        notice.relay = seed_->local();
        notice.incarnation = 1;
        return notice;
    }

    void send_notice_to_agent()
    {
        send_from_seed(agent_->relay_socket().local(), seed_notice());
    }

    std::size_t heartbeats_in(duration d)
    {
        const std::size_t before = heartbeats_;
        advance(d);
        return heartbeats_ - before;
    }

    std::size_t notices_in(duration d)
    {
        const std::size_t before = notices_.size();
        advance(d);
        return notices_.size() - before;
    }

    void agent_without_balancers_sends_heartbeats_fast()
    {
        start_agent();
        CPPUNIT_ASSERT(heartbeats_in(1s) >= 15);
    }

    void agent_slows_down_when_a_balancer_replies()
    {
        start_agent();
        advance(100ms);
        send_notice_to_agent();
        advance(100ms);
        CPPUNIT_ASSERT(heartbeats_in(1s) <= 5);
    }

    void agent_whose_balancers_are_down_searches_again()
    {
        start_agent();
        send_notice_to_agent();
        advance(relay_agent_options().notice_timeout + 300ms);
        CPPUNIT_ASSERT(heartbeats_in(1s) >= 15);
    }

    void balancer_without_agents_sends_notices_fast()
    {
        start_balancer();
        CPPUNIT_ASSERT(notices_in(1s) >= 8);
    }

    void send_heartbeat_to_balancer()
    {
        agent_status status;
        status.relay_address = seed_->local();
        status.incarnation = 1;
        status.sequence = 1;
        status.service = "a";
        status.state = server_state::ready;
        send_from_seed(balancer_->relay_socket().local(), status);
    }

    void balancer_with_an_agent_sends_notices_each_second()
    {
        start_balancer();
        send_heartbeat_to_balancer();
        advance(200ms);
        // One to the seed as a balancer, one as the agent.
        CPPUNIT_ASSERT(notices_in(1s) <= 2);
    }

    /// Also when it had none to tell of in its first reply.
    void balancer_tells_one_without_agents_of_its_agents()
    {
        start_balancer();
        send_from_seed(balancer_->relay_socket().local(), seed_notice());
        advance(50ms);
        send_heartbeat_to_balancer();
        advance(200ms);
        notices_.clear();
        send_from_seed(balancer_->relay_socket().local(), seed_notice());
        advance(50ms);
        CPPUNIT_ASSERT(!notices_.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, notices_.back().agents.size());
    }

    /// Groups of balancers with different live seeds never merged.
    void balancer_sends_hellos_to_recorded_processes()
    {
        start_balancer({});
        advance(200ms);
        CPPUNIT_ASSERT(notices_.empty());
        membership_tracker::calls store;
        store.list = [this](member_kind kind, bool, const auto& done)
        {
            record_list all;
            if (kind == member_kind::balancer)
                all.push_back({"edge-2", seed_->local(), 1, 1});
            done(all);
        };
        balancer_->follow_records(random_, store);
        advance(100ms);
        CPPUNIT_ASSERT(!notices_.empty());
        CPPUNIT_ASSERT(balancer_->membership_counters()->value(
                           membership_event::hello_sent) > 0);
    }

    /// While no balancer responds, heartbeats are sent every 50 ms: to all of
    /// 600 recorded addresses that would be 12,000 datagrams a second.
    void agent_tries_many_recorded_balancers_once()
    {
        start_agent();
        for (std::uint16_t port = 1; port <= 20; ++port)
            agent_->try_balancers({{seed_->local().address, port}});
        advance(100ms);
        std::size_t received = 0;
        const auto recorded =
            std::move(udp_socket::create(*loop_, any_port(),
                                         [&received](byte_span, const endpoint&)
                                         { ++received; })
                          .value());
        agent_->try_recorded_balancers({recorded->local()});
        advance(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, received);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(startup_test);

} // namespace
