#include "support/dispatch_world.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace
{

using namespace briarfield;
using namespace briarfield::test;
using namespace std::chrono_literals;

const std::string datum = "datum-live";
const std::string depot = "grid-depot";

class flow_dispatcher_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(flow_dispatcher_test);
    CPPUNIT_TEST(opening_goes_to_the_service_of_the_route);
    CPPUNIT_TEST(returned_opening_is_placed_again);
    CPPUNIT_TEST(opening_rejected_by_all_servers_is_reset);
    CPPUNIT_TEST(port_of_a_lost_flow_may_open_a_new_flow);
    CPPUNIT_TEST(opening_is_not_reset_during_the_startup_grace);
    CPPUNIT_TEST(unresponsive_server_costs_one_retransmission);
    CPPUNIT_TEST(another_balancer_finds_the_flow);
    CPPUNIT_TEST(searching_balancer_is_notified_again);
    CPPUNIT_TEST(restarted_agent_keeps_its_flows);
    CPPUNIT_TEST(lost_flow_is_reset_immediately);
    CPPUNIT_TEST(recently_started_balancer_searches_twice);
    CPPUNIT_TEST(unconfirmed_list_of_agents_prevents_resets);
    CPPUNIT_TEST(search_goes_on_past_agents_that_do_not_respond);
    CPPUNIT_TEST(lost_query_is_repeated);
    CPPUNIT_TEST(agent_that_comes_back_during_a_search_is_queried);
    CPPUNIT_TEST(flow_of_a_restarting_agent_is_found_when_it_is_back);
    CPPUNIT_TEST(restarting_agents_are_queried_last);
    CPPUNIT_TEST(new_server_gets_flows_once_all_balancers_track_it);
    CPPUNIT_TEST(flow_on_an_unresponsive_agent_is_kept_until_the_timeout);
    CPPUNIT_TEST(flow_on_a_restarting_agent_is_kept_longer);
    CPPUNIT_TEST(stopped_agent_does_not_delay_a_reset);
    CPPUNIT_TEST(agent_without_server_does_not_delay_a_reset);
    CPPUNIT_TEST(restarted_balancer_learns_of_unresponsive_agents_from_peers);
    CPPUNIT_TEST(flow_of_a_removed_route_is_reset);
    CPPUNIT_TEST(flow_of_an_unknown_route_is_not_reset);
    CPPUNIT_TEST(open_flow_is_served_before_the_first_configuration);
    CPPUNIT_TEST(draining_server_gets_no_opening);
    CPPUNIT_TEST(reused_address_gets_no_opening_of_the_old_service);
    CPPUNIT_TEST(reused_port_gets_a_service_of_the_route);
    CPPUNIT_TEST(reused_port_is_not_bound_to_a_draining_server);
    CPPUNIT_TEST(copy_of_an_opening_follows_a_changed_route);
    CPPUNIT_TEST(returned_packets_do_not_keep_a_crashed_server_alive);
    CPPUNIT_TEST(crashed_server_is_not_tried_for_each_opening);
    CPPUNIT_TEST(flows_spread_over_servers);
    CPPUNIT_TEST(simultaneous_flows_spread_over_servers);
    CPPUNIT_TEST(overloaded_servers_take_flows_that_no_other_server_can);
    CPPUNIT_TEST(search_among_many_servers_queries_few);
    CPPUNIT_TEST(load_spreads_over_many_servers);
    CPPUNIT_TEST(servers_with_a_recent_negative_response_are_not_queried);
    CPPUNIT_TEST(reused_port_is_searched_for_on_all_servers);
    CPPUNIT_TEST(paused_balancer_resets_no_open_flow);
    CPPUNIT_TEST(paused_balancer_rejects_no_opening);
    CPPUNIT_TEST(flows_survive_generated_schedules);
    CPPUNIT_TEST_SUITE_END();

    dispatch_network network_;

    /// Starts \a servers of one service and \a balancers, and advances past all
    /// startup limits.
    void start(std::size_t servers, std::size_t balancers)
    {
        start(network_, servers, balancers);
    }

    static void
    start(dispatch_network& network, std::size_t servers, std::size_t balancers)
    {
        for (std::size_t s = 0; s < servers; ++s)
            network.add_server(datum);
        for (std::size_t b = 0; b < balancers; ++b)
            network.add_balancer();
        network.set_routes(1, {{datum, 1}});
        network.advance(5s);
    }

    /// Routes of version 1: \a address to servers of the service datum.
    static route_set datum_routes(const endpoint& address)
    {
        route_set routes;
        routes.version = 1;
        routes.routes = {{address, {{datum, 1}}}};
        return routes;
    }

    std::size_t openings_of(const std::string& service)
    {
        std::size_t n = 0;
        for (std::size_t s = 0; s < network_.servers(); ++s)
            if (network_.server(s).service == service)
                n += network_.server(s).openings;
        return n;
    }

    void opening_goes_to_the_service_of_the_route()
    {
        start(3, 1);
        network_.add_server(depot);
        network_.advance(1s);
        for (std::uint16_t c = 1; c <= 20; ++c)
            network_.open(0, c);
        CPPUNIT_ASSERT_EQUAL(std::size_t(20), openings_of(datum));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), openings_of(depot));
    }

    void returned_opening_is_placed_again()
    {
        start(3, 1);
        network_.server(0).takes_openings = false;
        network_.server(1).takes_openings = false;
        network_.open(0, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), network_.holder(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), network_.caller(1).resets_allowed);
    }

    void opening_rejected_by_all_servers_is_reset()
    {
        start(3, 1);
        for (std::size_t s = 0; s < 3; ++s)
            network_.server(s).takes_openings = false;
        network_.open(0, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), network_.caller(1).resets_allowed);
    }

    /// Agents tried for the old flow must not be skipped for the new one.
    void port_of_a_lost_flow_may_open_a_new_flow()
    {
        start(3, 1);
        network_.send(0, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), network_.caller(1).resets_allowed);
        network_.open(0, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), network_.caller(1).accepted);
    }

    void opening_is_not_reset_during_the_startup_grace()
    {
        start(3, 1);
        network_.restart_balancer(0);
        network_.open(0, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), network_.caller(1).resets_allowed);
    }

    void unresponsive_server_costs_one_retransmission()
    {
        start(2, 1);
        network_.open(0, 1);
        const std::size_t first = network_.holder(1);
        network_.server(first).agent_up = false;
        network_.open(0, 2);
        network_.open(0, 3);
        network_.advance_without_heartbeats(200ms);
        network_.open(0, 2, 1);
        network_.open(0, 3, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), network_.caller(2).accepted);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), network_.caller(3).accepted);
    }

    void another_balancer_finds_the_flow()
    {
        start(5, 2);
        for (std::uint16_t c = 1; c <= 20; ++c)
            network_.open(0, c);
        for (std::uint16_t c = 1; c <= 20; ++c)
            network_.send(1, c);
        for (std::uint16_t c = 1; c <= 20; ++c)
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), network_.caller(c).answers);
    }

    /// The agent had notified the balancer of the flow before the balancer
    /// restarted, and did not notify it again. Packets were sent from server to
    /// server and answered after 1.4 s.
    void searching_balancer_is_notified_again()
    {
        start(5, 1);
        network_.open(0, 1);
        network_.send(0, 1);
        network_.restart_balancer(0);
        network_.advance(2s);
        network_.send(0, 1);
        network_.advance(200ms);
        network_.send(0, 1);
        network_.advance(200ms);
        network_.send(0, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), network_.caller(1).answers);
    }

    void restarted_agent_keeps_its_flows()
    {
        start(3, 2);
        network_.open(0, 1);
        network_.restart_agent(network_.holder(1));
        network_.send_heartbeats();
        network_.send(0, 1);
        network_.send(1, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), network_.caller(1).answers);
    }

    /// A second search cost callers 0.35 s, beyond the target of most requests.
    void lost_flow_is_reset_immediately()
    {
        start(3, 1);
        network_.open(0, 1);
        network_.replace_server(network_.holder(1), datum);
        network_.send_heartbeats();
        network_.send(0, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), network_.caller(1).resets_allowed);
    }

    /// The caller retransmits a request on a lost flow after 0.2, 0.4, 0.8 and
    /// 1.6 s. The balancer searches again without waiting for that, so that the
    /// caller learns of the loss sooner.
    void recently_started_balancer_searches_twice()
    {
        start(3, 1);
        network_.open(0, 1);
        network_.replace_server(network_.holder(1), datum);
        network_.restart_balancer(0);
        network_.advance(1200ms);
        network_.send(0, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), network_.caller(1).resets_allowed);
        CPPUNIT_ASSERT(network_.uncertainty() == search_uncertainty::young);
        network_.advance_without_heartbeats(400ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), network_.caller(1).resets_allowed);
    }

    /// Balancers that replaced all others reset flows of agents that found them
    /// only after 2 s.
    void unconfirmed_list_of_agents_prevents_resets()
    {
        start(3, 1);
        network_.open(0, 1);
        network_.replace_server(network_.holder(1), datum);
        network_.restart_balancer(0);
        bool confirmed = false;
        network_.balancer(0).agents_confirmed = [&confirmed]
        { return confirmed; };
        network_.advance(5s);
        network_.send(0, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), network_.caller(1).resets_allowed);
        CPPUNIT_ASSERT(network_.uncertainty() ==
                       search_uncertainty::unconfirmed_agents);
        confirmed = true;
        network_.advance_without_heartbeats(400ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), network_.caller(1).resets_allowed);
    }

    /// Each agent on the way that was down cost a retransmission of the caller;
    /// these follow each other after up to 1.6 s.
    void search_goes_on_past_agents_that_do_not_respond()
    {
        start(12, 2);
        network_.open(0, 1);
        const std::size_t holder = network_.holder(1);
        for (std::size_t s = 0; s < network_.servers(); ++s)
            network_.server(s).agent_up = s == holder || s % 2 == 0;
        network_.send(1, 1);
        network_.advance(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), network_.caller(1).answers);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), network_.caller(1).resets);
    }

    /// The flow's own agent missed one query; all other servers were queried
    /// before it was its turn again, each time a balancer joined or left.
    void lost_query_is_repeated()
    {
        start(40, 2);
        network_.open(0, 1);
        const std::size_t holder = network_.holder(1);
        network_.server(holder).agent_up = false;
        network_.send(1, 1);
        network_.server(holder).agent_up = true;
        network_.advance(200ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), network_.caller(1).answers);
        CPPUNIT_ASSERT(foreign_packets() <= 16);
    }

    /// The flow's agent had been given up when the search began, and came back
    /// while another one was waited for. It counted as having answered, and its
    /// flow was reset.
    void agent_that_comes_back_during_a_search_is_queried()
    {
        start(4, 2);
        network_.open(0, 1);
        const std::size_t holder = network_.holder(1);
        const std::size_t other = (holder + 1) % 4;
        network_.server(holder).agent_up = false;
        network_.advance(3000ms);
        network_.server(other).agent_up = false;
        network_.advance(1040ms);
        network_.send(0, 1);
        network_.server(holder).agent_up = true;
        network_.server(other).agent_up = true;
        network_.send_heartbeats();
        network_.advance(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), network_.caller(1).resets);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), network_.caller(1).answers);
    }

    void flow_of_a_restarting_agent_is_found_when_it_is_back()
    {
        start(6, 2);
        network_.open(0, 1);
        const std::size_t holder = network_.holder(1);
        send_last_heartbeat(holder, server_state::ready, true);
        network_.send(1, 1);
        network_.advance(900ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), network_.caller(1).answers);
        network_.restart_agent(holder);
        network_.server(holder).agent_up = true;
        network_.advance(500ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), network_.caller(1).answers);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), network_.caller(1).resets);
    }

    void restarting_agents_are_queried_last()
    {
        start(12, 2);
        network_.open(0, 1);
        const std::size_t holder = network_.holder(1);
        for (std::size_t s = 0; s < network_.servers(); ++s)
            if (s != holder)
                send_last_heartbeat(s, server_state::ready, true);
        network_.send(1, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), network_.caller(1).answers);
    }

    /// Otherwise a balancer that does not track the server yet would reset its
    /// flows.
    void new_server_gets_flows_once_all_balancers_track_it()
    {
        start(2, 2);
        network_.delayed_balancer = 1;
        const std::size_t added = network_.add_server(datum);
        std::uint16_t caller = 1;
        while (network_.server(added).flows.empty())
        {
            CPPUNIT_ASSERT(caller < 200);
            network_.open(0, caller++);
            network_.advance(20ms);
        }
        network_.send(1, static_cast<std::uint16_t>(caller - 1));
        const simulated_caller& c =
            network_.caller(static_cast<std::uint16_t>(caller - 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), c.resets);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), c.answers);
    }

    void flow_on_an_unresponsive_agent_is_kept_until_the_timeout()
    {
        start(3, 2);
        network_.open(0, 1);
        const std::size_t holder = network_.holder(1);
        network_.server(holder).agent_up = false;
        for (int i = 0; i < 18; ++i)
        {
            network_.advance(200ms);
            network_.send(1, 1);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), network_.caller(1).resets);
        network_.server(holder).agent_up = true;
        network_.advance(300ms);
        for (int i = 0; i < 4; ++i)
        {
            network_.send(1, 1);
            network_.advance(200ms);
        }
        CPPUNIT_ASSERT(network_.caller(1).answers > 0);
    }

    /// Delivers the heartbeat that the agent of server \a server_index sends
    /// when it stops.
    void send_last_heartbeat(std::size_t server_index,
                             server_state state,
                             bool restarting)
    {
        agent_status status;
        status.relay_address = network_.server(server_index).relay;
        status.incarnation = network_.server(server_index).incarnation;
        status.sequence = network_.server(server_index).sequence + 1;
        status.service = network_.server(server_index).service;
        status.state = state;
        status.restarting = restarting;
        network_.server(server_index).agent_up = false;
        network_.deliver_heartbeat(status);
    }

    void flow_on_a_restarting_agent_is_kept_longer()
    {
        start(3, 1);
        network_.open(0, 1);
        const std::size_t holder = network_.holder(1);
        send_last_heartbeat(holder, server_state::ready, true);
        for (int i = 0; i < 50; ++i)
        {
            network_.advance(200ms);
            network_.send(0, 1);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), network_.caller(1).resets);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), network_.caller(1).resets_allowed);
    }

    /// Balancers waited for the agent of a stopped server to come back, and for
    /// 15 s did not reset flows that were lost.
    void stopped_agent_does_not_delay_a_reset()
    {
        start(3, 1);
        network_.open(0, 1);
        const std::size_t holder = network_.holder(1);
        network_.server(holder).flows.clear();
        send_last_heartbeat(holder, server_state::gone, true);
        network_.send(0, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), network_.caller(1).resets_allowed);
    }

    /// After an outage of the whole deployment an agent ran for 0.1 s on an
    /// instance whose server was about to stop. Balancers waited for it, and
    /// for 4 s did not reset flows that were lost.
    void agent_without_server_does_not_delay_a_reset()
    {
        start(3, 1);
        network_.open(0, 1);
        const std::size_t holder = network_.holder(1);
        network_.server(holder).flows.clear();
        network_.server(holder).incarnation += 1;
        network_.server(holder).sequence = 0;
        send_last_heartbeat(holder, server_state::unknown, false);
        network_.advance(1500ms);
        network_.send(0, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), network_.caller(1).resets_allowed);
    }

    void restarted_balancer_learns_of_unresponsive_agents_from_peers()
    {
        start(3, 2);
        network_.open(0, 1);
        network_.server(network_.holder(1)).agent_up = false;
        network_.restart_balancer(0);
        for (int i = 0; i < 10; ++i)
        {
            network_.advance(300ms);
            network_.send(0, 1);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), network_.caller(1).resets);
        CPPUNIT_ASSERT(network_.uncertainty() ==
                       search_uncertainty::unheard_agent);
    }

    void flow_of_a_removed_route_is_reset()
    {
        start(2, 1);
        network_.open(0, 1);
        route_set none;
        none.version = 2;
        network_.set_routes_of(0, none);
        network_.send(0, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), network_.caller(1).resets);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), network_.caller(1).answers);
    }

    void flow_of_an_unknown_route_is_not_reset()
    {
        network_.add_server(datum);
        network_.add_balancer();
        network_.add_balancer();
        network_.set_routes_of(1, datum_routes(host_endpoint(251, 80)));
        network_.advance(5s);
        network_.send(1, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), network_.caller(1).resets_allowed);
        network_.open(1, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), network_.caller(1).resets_allowed);
    }

    /// Balancers that were restarted while the store was out dropped the
    /// packets of all open flows until it was back.
    void open_flow_is_served_before_the_first_configuration()
    {
        for (std::size_t s = 0; s < 3; ++s)
            network_.add_server(datum);
        const std::size_t configured = network_.add_balancer();
        const std::size_t restarted = network_.add_balancer();
        network_.set_routes_of(configured,
                               datum_routes(host_endpoint(250, 80)));
        network_.advance(5s);
        network_.open(configured, 1);
        network_.send(restarted, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), network_.caller(1).answers);
        network_.open(restarted, 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), network_.caller(2).accepted);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), network_.caller(2).resets_allowed);
    }

    void draining_server_gets_no_opening()
    {
        start(1, 1);
        server_heartbeat heartbeat = network_.server(0).registration->latest();
        heartbeat.sequence += 1;
        heartbeat.draining = true;
        network_.open(0, 1);
        CPPUNIT_ASSERT(
            network_.server(0).registration->on_heartbeat(heartbeat));
        network_.open(0, 2); // The balancer has no heartbeat of it yet.
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), network_.server(0).openings);
        network_.send(0, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), network_.caller(1).answers);
    }

    void reused_address_gets_no_opening_of_the_old_service()
    {
        start(1, 1);
        network_.replace_server(0, depot);
        network_.open(0, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), network_.server(0).openings);
    }

    /// The balancer sent the opening to the agent of the earlier flow, with
    /// the tag of the service that had taken over the address meanwhile.
    void reused_port_gets_a_service_of_the_route()
    {
        start(2, 1);
        network_.open(0, 1);
        const std::size_t first = network_.holder(1);
        network_.replace_server(first, depot);
        network_.advance(1s);
        const std::size_t before = openings_of(depot);
        network_.open(0, 1, 0, 2);
        CPPUNIT_ASSERT_EQUAL(before, openings_of(depot));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), network_.caller(1).accepted);
        CPPUNIT_ASSERT_EQUAL(1 - first, network_.holder(1));
    }

    /// The returned opening was taken for a late copy of the earlier one.
    void reused_port_is_not_bound_to_a_draining_server()
    {
        start(2, 1);
        network_.open(0, 1);
        const std::size_t first = network_.holder(1);
        network_.server(first).flows.clear();
        server_heartbeat heartbeat =
            network_.server(first).registration->latest();
        heartbeat.sequence += 1;
        heartbeat.draining = true;
        CPPUNIT_ASSERT(
            network_.server(first).registration->on_heartbeat(heartbeat));
        network_.open(0, 1, 0, 2);
        CPPUNIT_ASSERT_EQUAL(1 - first, network_.holder(1));
    }

    void copy_of_an_opening_follows_a_changed_route()
    {
        start(1, 1);
        network_.add_server(depot);
        network_.advance(1s);
        network_.server(0).takes_openings = false;
        network_.server(0).agent_up = false;
        network_.open(0, 1);
        network_.server(0).agent_up = true;
        network_.server(0).takes_openings = true;
        network_.set_routes(2, {{depot, 1}});
        network_.open(0, 1, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), openings_of(datum));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), openings_of(depot));
    }

    void crash(std::size_t server_index)
    {
        network_.server(server_index).crashed = true;
        network_.server(server_index).takes_openings = false;
        network_.server(server_index).flows.clear();
    }

    /// Returned packets counted as evidence that the server was running, so
    /// that an opening could have reached the next server at its address.
    void returned_packets_do_not_keep_a_crashed_server_alive()
    {
        start(2, 1);
        crash(0);
        for (std::uint16_t c = 1; c <= 120; ++c)
        {
            network_.open(0, c);
            network_.advance(20ms);
        }
        CPPUNIT_ASSERT(network_.server(0).registration->timed_out());
    }

    /// The crashed server had the fewest flows, so for 3 s each opening was
    /// sent there first.
    void crashed_server_is_not_tried_for_each_opening()
    {
        start(3, 1);
        crash(0);
        const std::size_t before = network_.server(0).openings;
        for (std::uint16_t c = 1; c <= 60; ++c)
        {
            network_.open(0, c);
            network_.advance(50ms);
        }
        CPPUNIT_ASSERT(network_.server(0).openings - before < 15);
    }

    std::size_t foreign_packets()
    {
        std::size_t n = 0;
        for (std::size_t s = 0; s < network_.servers(); ++s)
            n += network_.server(s).foreign_packets;
        return n;
    }

    /// Of the 60 servers of a zone, a balancer with an empty cache queries few.
    void search_among_many_servers_queries_few()
    {
        constexpr std::uint16_t flows = 300;
        start(60, 2);
        for (std::uint16_t c = 1; c <= flows; ++c)
            network_.open(0, c);
        for (std::uint16_t c = 1; c <= flows; ++c)
            network_.send(1, c);
        for (std::uint16_t c = 1; c <= flows; ++c)
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, network_.caller(c).answers);
        CPPUNIT_ASSERT(foreign_packets() <
                       flows * flow_dispatcher::options().max_candidates);
    }

    void load_spreads_over_many_servers()
    {
        start(60, 2);
        for (std::uint16_t c = 1; c <= 600; ++c)
        {
            network_.open(c % 2, c);
            network_.advance(20ms);
        }
        for (std::size_t s = 0; s < 60; ++s)
            CPPUNIT_ASSERT(network_.server(s).flows.size() <= 20);
    }

    void servers_with_a_recent_negative_response_are_not_queried()
    {
        start(20, 1);
        network_.restart_balancer(0);
        network_.send_heartbeats();
        network_.send(0, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, foreign_packets());
        network_.advance(300ms);
        network_.send(0, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, foreign_packets());
        network_.advance(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, foreign_packets());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, network_.caller(1).resets_allowed);
    }

    /// The flow is opened through another balancer, at a server that returned
    /// the earlier flow to the first balancer.
    void reused_port_is_searched_for_on_all_servers()
    {
        start(3, 2);
        network_.send(0, 1);
        network_.advance(flow_dispatcher::options().negative_response_ttl);
        network_.open(1, 1);
        network_.send(0, 1);
        network_.advance(500ms);
        network_.send(0, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, network_.caller(1).resets);
        CPPUNIT_ASSERT(network_.caller(1).answers > 0);
    }

    void flows_spread_over_servers()
    {
        start(7, 1);
        for (std::uint16_t c = 1; c <= 70; ++c)
        {
            network_.open(0, c);
            network_.send(0, c);
            network_.advance(20ms);
        }
        for (std::size_t s = 0; s < 7; ++s)
        {
            CPPUNIT_ASSERT(network_.server(s).flows.size() >= 8);
            CPPUNIT_ASSERT(network_.server(s).flows.size() <= 12);
        }
    }

    /// After an outage of the whole deployment the server whose heartbeat came
    /// first got 71 flows in 0.2 s, and each of the others 4 to 20.
    void simultaneous_flows_spread_over_servers()
    {
        start(7, 3);
        for (std::uint16_t c = 1; c <= 28; ++c)
            network_.open(c % 3U, c);
        for (std::size_t s = 0; s < 7; ++s)
            CPPUNIT_ASSERT_EQUAL(std::size_t(4),
                                 network_.server(s).flows.size());
    }

    void overloaded_servers_take_flows_that_no_other_server_can()
    {
        start(2, 1);
        for (std::uint16_t c = 1; c <= 40; ++c)
            network_.open(0, c);
        for (std::uint16_t c = 1; c <= 40; ++c)
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), network_.caller(c).accepted);
    }

    /// The agents' heartbeats of the time of the pause are read only after the
    /// packets of callers.
    void paused_balancer_resets_no_open_flow()
    {
        start(3, 2);
        network_.open(0, 1);
        network_.pause_balancers(6s);
        network_.send(1, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), network_.caller(1).resets);
        network_.advance(600ms);
        network_.send(1, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), network_.caller(1).answers);
    }

    void paused_balancer_rejects_no_opening()
    {
        start(3, 1);
        network_.pause_balancers(6s);
        network_.open(0, 1);
        network_.send_heartbeats();
        network_.open(0, 1, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), network_.caller(1).resets_allowed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), network_.caller(1).accepted);
    }

    /// Performs one operation of a generated schedule.
    static void step(dispatch_network& network,
                     int operation,
                     std::uint16_t flow,
                     std::size_t i)
    {
        switch (operation)
        {
        case 0:
            return network.restart_balancer(i % 3);
        case 1:
            return network.restart_agent(i % network.servers());
        case 2:
            network.server(i % network.servers()).takes_openings =
                !network.server(i % network.servers()).takes_openings;
            return;
        case 3:
            // An agent sends a heartbeat as soon as it is up.
            network.server(i % network.servers()).agent_up =
                !network.server(i % network.servers()).agent_up;
            network.send_heartbeats();
            return;
        case 4:
            network.add_server(datum);
            return;
        case 5:
            network.drop_flow_held = !network.drop_flow_held;
            network.drop_answers = i % 2 == 1;
            network.delayed_balancer = i % 4;
            return;
        case 6:
            return network.advance(std::chrono::milliseconds(40 * (i % 30)));
        default:
            return network.send(i % 3, flow);
        }
    }

    /// Balancers and agents restart, stop responding and lose messages, agents
    /// with and without complete records of their server's flows; servers join
    /// and reject openings. No open flow is ever reset, and each is answered in
    /// the end.
    void flows_survive_generated_schedules()
    {
        const bool holds = rc::check(
            "open flows are not reset",
            []
            {
                dispatch_network network;
                start(network, 4, 3);
                // Agents answer from their records, or the servers do.
                if (*rc::gen::arbitrary<bool>())
                    network.advance(server_gate::default_max_flow_age);
                for (std::uint16_t c = 1; c <= 5; ++c)
                    network.open(c % 3U, c);
                const auto steps = *rc::gen::container<
                    std::vector<std::tuple<int, std::uint16_t, std::size_t>>>(
                    rc::gen::tuple(rc::gen::inRange(0, 12),
                                   rc::gen::inRange<std::uint16_t>(1, 6),
                                   rc::gen::inRange<std::size_t>(0, 60)));
                for (const auto& [operation, flow, i] : steps)
                    step(network, operation, flow, i);
                network.drop_flow_held = false;
                network.drop_answers = false;
                for (std::size_t s = 0; s < network.servers(); ++s)
                    network.server(s).agent_up = true;
                // An agent sends a heartbeat as soon as it is up.
                network.send_heartbeats();
                network.advance(1s);
                for (std::uint16_t c = 1; c <= 5; ++c)
                {
                    const std::size_t before = network.caller(c).answers;
                    for (int i = 0; i < 4; ++i)
                    {
                        network.send(1, c);
                        network.advance(200ms);
                    }
                    RC_ASSERT(network.caller(c).resets == 0U);
                    RC_ASSERT(network.caller(c).answers > before);
                }
            });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(flow_dispatcher_test);

} // namespace
