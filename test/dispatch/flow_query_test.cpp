#include "briarfield/dispatch/flow_completeness.hpp"
#include "briarfield/dispatch/flow_query_queue.hpp"
#include "briarfield/dispatch/rtt_estimator.hpp"

#include "support/dispatch_world.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace briarfield;
using namespace briarfield::test;
using namespace std::chrono_literals;

/// Tests queries for flows: by messages to agents that have complete records,
/// and how searches bound them.
class flow_query_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(flow_query_test);
    CPPUNIT_TEST(flow_of_a_complete_agent_is_found_without_copies);
    CPPUNIT_TEST(silent_agents_do_not_delay_the_search);
    CPPUNIT_TEST(retransmissions_do_not_repeat_answered_queries);
    CPPUNIT_TEST(lost_answer_is_queried_again);
    CPPUNIT_TEST(restarted_agent_is_queried_by_the_packet);
    CPPUNIT_TEST(agents_of_an_earlier_version_are_queried_by_packets);
    CPPUNIT_TEST(restarted_balancer_finds_the_agent_heard_last);
    CPPUNIT_TEST(later_flow_is_not_reset_by_earlier_answers);
    CPPUNIT_TEST(queries_of_one_agent_share_a_datagram);
    CPPUNIT_TEST(queries_in_progress_are_limited);
    CPPUNIT_TEST(answer_of_another_agent_is_ignored);
    CPPUNIT_TEST(timeout_follows_the_round_trip_time);
    CPPUNIT_TEST(records_are_complete_after_the_longest_life_of_a_flow);
    CPPUNIT_TEST(records_are_complete_for_a_server_that_started_later);
    CPPUNIT_TEST(late_heartbeat_of_an_earlier_server_proves_nothing);
    CPPUNIT_TEST_SUITE_END();

    dispatch_network network_;
    manual_clock clock_;

    void start(std::size_t servers, std::size_t balancers)
    {
        for (std::size_t s = 0; s < servers; ++s)
            network_.add_server("datum");
        for (std::size_t b = 0; b < balancers; ++b)
            network_.add_balancer();
        network_.set_routes(1, {{"datum", 1}});
        network_.advance(server_gate::default_max_flow_age);
    }

    std::size_t foreign_packets()
    {
        std::size_t n = 0;
        for (std::size_t s = 0; s < network_.servers(); ++s)
            n += network_.server(s).foreign_packets;
        return n;
    }

    /// Copies of the packet went to up to 50 wrong servers first.
    void flow_of_a_complete_agent_is_found_without_copies()
    {
        start(50, 2);
        network_.open(0, 1);
        network_.send(1, 1);
        network_.advance(20ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), network_.caller(1).answers);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), network_.packet_queries);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), foreign_packets());
    }

    /// Each of them was waited for twice, one after the other, so that for more
    /// than 2 s packets reached only wrong servers. The server that has the
    /// flows ranks anywhere, so that most are found in the second step.
    void silent_agents_do_not_delay_the_search()
    {
        constexpr std::uint16_t flows = 10;
        start(50, 2);
        for (std::size_t s = 1; s < 50; ++s)
            network_.server(s).takes_openings = false;
        for (std::uint16_t c = 1; c <= flows; ++c)
            network_.open(0, c);
        for (std::size_t s = 1; s < 50; ++s)
            network_.server(s).agent_up = false;
        for (std::uint16_t c = 1; c <= flows; ++c)
            network_.send(1, c);
        network_.advance(400ms);
        for (std::uint16_t c = 1; c <= flows; ++c)
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), network_.caller(c).answers);
    }

    /// While a few agents were silent, each retransmission of the caller
    /// queried all agents anew, for up to 15 s.
    void retransmissions_do_not_repeat_answered_queries()
    {
        start(40, 1);
        network_.server(3).agent_up = false;
        for (int i = 0; i < 10; ++i)
        {
            network_.send(0, 1);
            network_.advance(200ms);
        }
        CPPUNIT_ASSERT(network_.message_queries < 40 + 20);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), network_.caller(1).resets_allowed);
        CPPUNIT_ASSERT(network_.uncertainty() ==
                       search_uncertainty::unanswered);
        network_.server(3).agent_up = true;
        network_.advance(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), network_.caller(1).resets_allowed);
    }

    void lost_answer_is_queried_again()
    {
        start(10, 2);
        network_.open(0, 1);
        network_.drop_answers = true;
        network_.send(1, 1);
        network_.advance(20ms);
        network_.drop_answers = false;
        network_.advance(200ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), network_.caller(1).answers);
    }

    /// Its balancer had not received a heartbeat since. Taken as negative, the
    /// answer from incomplete records would reset the flow.
    void restarted_agent_is_queried_by_the_packet()
    {
        start(5, 2);
        network_.open(0, 1);
        network_.restart_agent(network_.holder(1));
        network_.send(1, 1);
        network_.advance(20ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), network_.packet_queries);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), network_.caller(1).answers);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), network_.caller(1).resets);
    }

    /// They return whole packets to searches and answer no query.
    void agents_of_an_earlier_version_are_queried_by_packets()
    {
        start(20, 2);
        network_.earlier_agents = true;
        network_.open(0, 1);
        for (std::size_t s = 0; s < 20; ++s)
            network_.restart_agent(s);
        network_.send_heartbeats();
        network_.send(1, 1);
        network_.send(1, 2);
        network_.advance(20ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), network_.message_queries);
        CPPUNIT_ASSERT(network_.caller(1).answers > 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), network_.caller(1).resets);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), network_.caller(2).resets_allowed);
    }

    /// A balancer that had just restarted queried some 180 agents one after the
    /// other before it heard the flow's agent.
    void restarted_balancer_finds_the_agent_heard_last()
    {
        start(100, 2);
        network_.open(0, 1);
        const std::size_t holder = network_.holder(1);
        network_.restart_balancer(1);
        network_.server(holder).agent_up = false;
        network_.send_heartbeats();
        network_.send(1, 1);
        network_.server(holder).agent_up = true;
        network_.advance(600ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), network_.caller(1).answers);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), foreign_packets());
    }

    /// The opening of the later flow went through another balancer.
    void later_flow_is_not_reset_by_earlier_answers()
    {
        start(3, 2);
        network_.send(0, 1);
        network_.advance(300ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), network_.caller(1).resets_allowed);
        network_.open(1, 1);
        network_.send(0, 1, 1U << 30U);
        network_.advance(300ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), network_.caller(1).resets);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), network_.caller(1).answers);
    }

    static flow_key flow(std::uint16_t port)
    {
        flow_key key;
        key.source = host_endpoint(200, 0).address;
        key.source_port = port;
        return key;
    }

    void queries_of_one_agent_share_a_datagram()
    {
        flow_query_queue queue(clock_);
        std::vector<std::size_t> sent;
        queue.send = [&sent](agent_index, std::uint32_t, const auto& flows)
        { sent.push_back(flows.size()); };
        for (std::uint16_t port = 1; port <= 20; ++port)
            CPPUNIT_ASSERT(queue.add(7, flow(port)));
        queue.flush();
        CPPUNIT_ASSERT(sent == (std::vector<std::size_t>{16, 4}));
    }

    /// Searches of many flows at once would send more than links carry.
    void queries_in_progress_are_limited()
    {
        flow_query_queue::options options;
        options.max_in_progress = 2;
        flow_query_queue queue(clock_, options);
        CPPUNIT_ASSERT(queue.add(1, flow(1)));
        CPPUNIT_ASSERT(queue.add(1, flow(2)));
        CPPUNIT_ASSERT(!queue.add(1, flow(3)));
        queue.flush();
        clock_.advance(options.answer_ttl + 1ms);
        CPPUNIT_ASSERT(queue.add(1, flow(3)));
    }

    void answer_of_another_agent_is_ignored()
    {
        flow_query_queue queue(clock_);
        (void)queue.add(1, flow(1));
        queue.flush();
        CPPUNIT_ASSERT(!queue.take(2, 1));
        CPPUNIT_ASSERT(queue.take(1, 1));
        CPPUNIT_ASSERT(!queue.take(1, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), queue.in_progress());
    }

    void timeout_follows_the_round_trip_time()
    {
        rtt_estimator rtt;
        CPPUNIT_ASSERT(rtt.timeout(1) == rtt_estimator::initial_timeout);
        rtt.record(40ms);
        CPPUNIT_ASSERT(rtt.timeout(1) == 120ms);
        CPPUNIT_ASSERT(rtt.timeout(2) == 240ms);
        for (int i = 0; i < 50; ++i)
            rtt.record(2ms);
        CPPUNIT_ASSERT(rtt.timeout(1) == rtt_estimator::min_timeout);
        rtt.record(5s);
        CPPUNIT_ASSERT(rtt.timeout(1) == rtt_estimator::max_timeout);
    }

    void records_are_complete_after_the_longest_life_of_a_flow()
    {
        flow_completeness records(clock_, 60s);
        clock_.advance(59s);
        CPPUNIT_ASSERT(!records.complete());
        clock_.advance(1s);
        CPPUNIT_ASSERT(records.complete());
        records.on_table_full();
        CPPUNIT_ASSERT(!records.complete());
    }

    void records_are_complete_for_a_server_that_started_later()
    {
        flow_completeness records(clock_, 60s);
        clock_.advance(3s);
        records.on_heartbeat(1000, clock_.now());
        clock_.advance(1s);
        records.on_heartbeat(1000, clock_.now());
        CPPUNIT_ASSERT(!records.complete());
        records.on_heartbeat(2000, clock_.now());
        CPPUNIT_ASSERT(records.complete());
    }

    /// It may have been sent before the agent started, when the present server
    /// already had flows.
    void late_heartbeat_of_an_earlier_server_proves_nothing()
    {
        flow_completeness records(clock_, 60s);
        clock_.advance(1s);
        records.on_heartbeat(1000, clock_.now());
        clock_.advance(9s);
        records.on_heartbeat(2000, clock_.now());
        CPPUNIT_ASSERT(!records.complete());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(flow_query_test);

} // namespace
