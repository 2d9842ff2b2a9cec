#include "briarfield/dispatch/flow_dispatcher.hpp"

#include "support/dispatch_world.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <set>

namespace
{

using namespace briarfield;
using namespace briarfield::test;
using namespace std::chrono_literals;

const std::string service = "a";

/// Tests where a balancer sends an opening that overloaded servers return, and
/// when it rejects it.
class overload_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(overload_test);
    CPPUNIT_TEST(opening_is_forced_after_enough_servers_were_asked);
    CPPUNIT_TEST(opening_is_forced_on_the_least_loaded_server);
    CPPUNIT_TEST(opening_that_would_miss_the_aim_is_rejected);
    CPPUNIT_TEST(opening_of_a_route_without_aim_is_not_rejected);
    CPPUNIT_TEST(openings_are_rejected_and_counted_by_priority);
    CPPUNIT_TEST(later_copy_of_an_opening_is_not_rejected);
    CPPUNIT_TEST(recently_started_balancer_rejects_no_overload);
    CPPUNIT_TEST(load_in_a_heartbeat_does_not_replace_a_newer_one);
    CPPUNIT_TEST(server_that_returned_an_opening_may_have_the_flow);
    CPPUNIT_TEST(late_copy_of_an_opening_does_not_hide_its_server);
    CPPUNIT_TEST_SUITE_END();

    manual_clock clock_;
    route_table routes_;
    agent_directory agents_{clock_};
    flow_dispatcher dispatcher_{clock_, flow_dispatcher::options{}, routes_,
                                agents_, place_by_load()};

public:
    void setUp() override { clock_.advance(1h); }

private:
    static endpoint agent(std::size_t i)
    {
        return host_endpoint(static_cast<std::uint8_t>(100 + i), 9000);
    }

    void send_heartbeats(std::size_t servers, std::uint64_t sequence)
    {
        for (std::size_t i = 0; i < servers; ++i)
        {
            agent_status status;
            status.relay_address = agent(i);
            status.incarnation = 1;
            status.sequence = sequence;
            status.service = service;
            status.state = server_state::ready;
            status.slots = 2;
            status.service_time = 50ms;
            agents_.on_heartbeat(status);
        }
    }

    void start(std::size_t servers, duration aim)
    {
        route_set routes;
        routes.version = 1;
        routes.routes = {{host_endpoint(250, 80), {{service, 1}}, aim}};
        routes_.apply(routes);
        send_heartbeats(servers, 1);
        for (int i = 0; i < 4; ++i)
        {
            clock_.advance(500ms);
            dispatcher_.expire();
        }
        send_heartbeats(servers, 2);
    }

    static flow_packet opening()
    {
        flow_packet p;
        p.key.source = host_endpoint(200, 0).address;
        p.key.source_port = 7;
        p.key.destination = host_endpoint(250, 0).address;
        p.key.destination_port = 80;
        p.kind = packet_kind::opening;
        return p;
    }

    /// Has the server that was asked return the opening.
    dispatch_verdict return_busy(const dispatch_verdict& asked,
                                 std::uint16_t requests)
    {
        return dispatcher_.on_returned_packet(
            opening(), agents_.at(asked.agent).status.relay_address,
            {return_reason::busy, requests});
    }

    void opening_is_forced_after_enough_servers_were_asked()
    {
        start(10, 0s);
        dispatch_verdict v = dispatcher_.on_caller_packet(opening());
        std::size_t asked = 0;
        for (; v.info.mode == forward_mode::opening; ++asked)
            v = return_busy(v, 9);
        CPPUNIT_ASSERT_EQUAL(flow_dispatcher::options().max_overloaded_asked,
                             asked);
        CPPUNIT_ASSERT(v.info.mode == forward_mode::opening_forced);
    }

    void opening_is_forced_on_the_least_loaded_server()
    {
        start(3, 0s);
        dispatch_verdict v = dispatcher_.on_caller_packet(opening());
        v = return_busy(v, 9);
        const agent_index least = v.agent;
        v = return_busy(v, 5);
        v = return_busy(v, 8);
        CPPUNIT_ASSERT(v.info.mode == forward_mode::opening_forced);
        CPPUNIT_ASSERT_EQUAL(least, v.agent);
    }

    dispatch_verdict overload_the_only_server(duration aim)
    {
        start(1, aim);
        return return_busy(dispatcher_.on_caller_packet(opening()), 9);
    }

    /// Ten requests on two slots take five turns of 50 ms.
    void opening_that_would_miss_the_aim_is_rejected()
    {
        const dispatch_verdict v = overload_the_only_server(300ms);
        CPPUNIT_ASSERT(v.decision == dispatch_verdict::action::reset);
        CPPUNIT_ASSERT(v.event == dispatch_event::refused_overloaded);
    }

    void opening_of_a_route_without_aim_is_not_rejected()
    {
        CPPUNIT_ASSERT(overload_the_only_server(0s).info.mode ==
                       forward_mode::opening_forced);
    }

    /// Six requests on two slots take 150 ms: less than two thirds of the aim,
    /// more than the lowest priority may wait.
    void openings_are_rejected_and_counted_by_priority()
    {
        start(1, 300ms);
        route_set routes;
        routes.version = 2;
        routes.routes = {{host_endpoint(250, 80), {{service, 1}}, 300ms, 2},
                         {host_endpoint(250, 81), {{service, 1}}, 300ms, 0}};
        routes_.apply(routes);
        for (std::uint16_t port = 1000; port < 1100; ++port)
            for (const std::uint16_t destination :
                 std::vector<std::uint16_t>{80, 81})
            {
                flow_packet p = opening();
                p.key.source_port = port;
                p.key.destination_port = destination;
                clock_.advance(agent_directory::options().overload_ttl);
                send_heartbeats(1, port);
                dispatcher_.on_caller_packet(p);
                dispatcher_.on_returned_packet(p, agent(0),
                                               {return_reason::busy, 5});
            }
        const auto rejected = [this](priority_class c)
        { return dispatcher_.rejected().value(c); };
        CPPUNIT_ASSERT(rejected(priority_class::p2) > 70);
        CPPUNIT_ASSERT(rejected(priority_class::p2) < 100);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, rejected(priority_class::p2) +
                                                     dispatcher_.forced().value(
                                                         priority_class::p2));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, rejected(priority_class::p0));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{100},
                             dispatcher_.forced().value(priority_class::p0));
    }

    /// A server may have taken an earlier copy through another balancer.
    void later_copy_of_an_opening_is_not_rejected()
    {
        start(1, 300ms);
        flow_packet copy = opening();
        copy.retransmission_count = 1;
        const dispatch_verdict asked = dispatcher_.on_caller_packet(copy);
        const dispatch_verdict v = dispatcher_.on_returned_packet(
            copy, agents_.at(asked.agent).status.relay_address,
            {return_reason::busy, 9});
        CPPUNIT_ASSERT(v.info.mode == forward_mode::opening_forced);
    }

    void recently_started_balancer_rejects_no_overload()
    {
        start(1, 300ms);
        flow_dispatcher recent(clock_, flow_dispatcher::options{}, routes_,
                               agents_, place_by_load());
        recent.on_caller_packet(opening());
        const dispatch_verdict v = recent.on_returned_packet(
            opening(), agent(0), {return_reason::busy, 9});
        CPPUNIT_ASSERT(v.decision == dispatch_verdict::action::drop);
    }

    /// Sends a segment of the flow and returns it until no server is asked.
    dispatch_verdict return_segment(std::set<agent_index>& asked)
    {
        flow_packet segment = opening();
        segment.kind = packet_kind::segment;
        dispatch_verdict v = dispatcher_.on_caller_packet(segment);
        while (v.decision == dispatch_verdict::action::forward)
        {
            std::vector<agent_index> to = v.more_agents;
            to.push_back(v.agent);
            asked.insert(to.begin(), to.end());
            for (const agent_index i : to)
                v = dispatcher_.on_returned_packet(
                    segment, agents_.at(i).status.relay_address,
                    {return_reason::not_taken, 0});
        }
        return v;
    }

    /// The server may have taken another copy of the opening, through another
    /// balancer: a search asks it, too.
    void server_that_returned_an_opening_may_have_the_flow()
    {
        start(3, 0s);
        return_busy(dispatcher_.on_caller_packet(opening()), 9);
        std::set<agent_index> asked;
        return_segment(asked);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, asked.size());
    }

    void late_copy_of_an_opening_does_not_hide_its_server()
    {
        start(3, 0s);
        const dispatch_verdict first = dispatcher_.on_caller_packet(opening());
        const endpoint holder = agents_.at(first.agent).status.relay_address;
        dispatcher_.on_flow_held(opening().key, holder);
        const agent_index other = first.agent == 0 ? 1 : 0;
        // Another server has answered a copy, too.
        dispatcher_.on_flow_held(opening().key,
                                 agents_.at(other).status.relay_address);
        return_busy(first, 9);
        std::set<agent_index> asked;
        return_segment(asked);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, asked.size());
    }

    void load_in_a_heartbeat_does_not_replace_a_newer_one()
    {
        start(1, 0s);
        agents_.record_overloaded(0, 9);
        send_heartbeats(1, 3);
        CPPUNIT_ASSERT_EQUAL(9.0F, agents_.at(0).status.requests_in_progress);
        clock_.advance(agent_directory::options().overload_ttl);
        send_heartbeats(1, 4);
        CPPUNIT_ASSERT_EQUAL(0.0F, agents_.at(0).status.requests_in_progress);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(overload_test);

} // namespace
