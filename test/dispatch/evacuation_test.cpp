#include "briarfield/dispatch/evacuation_set.hpp"
#include "briarfield/dispatch/flow_dispatcher.hpp"

#include "support/dispatch_world.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace briarfield;
using namespace briarfield::test;
using namespace std::chrono_literals;

using zone_list = std::vector<std::string>;

/// A balancer with one agent in zone "a" and one in zone "b".
class evacuation_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(evacuation_test);
    CPPUNIT_TEST(older_set_never_replaces_a_newer_one);
    CPPUNIT_TEST(later_era_replaces_a_higher_revision);
    CPPUNIT_TEST(changes_are_reported_once);
    CPPUNIT_TEST(no_opening_is_placed_in_an_evacuated_zone);
    CPPUNIT_TEST(opening_is_reset_if_all_zones_are_evacuated);
    CPPUNIT_TEST(copy_of_an_opening_leaves_the_evacuated_zone);
    CPPUNIT_TEST(open_flow_stays_in_the_evacuated_zone);
    CPPUNIT_TEST(placements_use_up_the_room_for_openings);
    CPPUNIT_TEST(returned_opening_finds_no_room_until_the_next_heartbeat);
    CPPUNIT_TEST(opening_without_room_is_reset_only_as_a_late_copy);
    CPPUNIT_TEST_SUITE_END();

    manual_clock clock_;
    route_table routes_;
    evacuation_set evacuations_;
    agent_directory agents_{clock_};
    flow_dispatcher dispatcher_{clock_, flow_dispatcher::options{}, routes_,
                                agents_, place_by_load()};
    std::uint64_t sequence_ = 0;
    const endpoint agent_a_ = host_endpoint(101, 9000);
    const endpoint agent_b_ = host_endpoint(102, 9000);

public:
    void setUp() override
    {
        clock_.advance(1h);
        agents_.set_evacuations(evacuations_);
        route_set routes;
        routes.version = 1;
        routes.routes = {{host_endpoint(250, 80), {{"s", 1}}}};
        routes_.apply(routes);
        for (int i = 0; i < 8; ++i)
        {
            send_heartbeats();
            dispatcher_.expire();
            clock_.advance(300ms);
        }
        send_heartbeats();
    }

private:
    void send_heartbeats(std::uint16_t room = unlimited_openings)
    {
        ++sequence_;
        for (const char* zone : {"a", "b"})
        {
            agent_status status;
            status.relay_address = *zone == 'a' ? agent_a_ : agent_b_;
            status.incarnation = 1;
            status.sequence = sequence_;
            status.service = "s";
            status.zone = zone;
            status.state = server_state::ready;
            status.opening_room = room;
            agents_.on_heartbeat(status);
        }
    }

    static flow_packet
    packet(std::uint16_t port, packet_kind kind, unsigned copies = 0)
    {
        flow_packet p;
        p.key.source = host_endpoint(200, 0).address;
        p.key.source_port = port;
        p.key.destination = host_endpoint(250, 0).address;
        p.key.destination_port = 80;
        p.kind = kind;
        p.sequence = 1;
        p.retransmission_count = copies;
        return p;
    }

    dispatch_verdict open(std::uint16_t port, unsigned copies = 0)
    {
        return dispatcher_.on_caller_packet(
            packet(port, packet_kind::opening, copies));
    }

    /// Evacuates \a zones with the next revision.
    void evacuate(const zone_list& zones)
    {
        const std::uint64_t revision = evacuations_.current().revision + 1;
        CPPUNIT_ASSERT(evacuations_.apply({1, revision, zones}));
    }

    /// Returns the caller port of a flow that was placed on \a agent.
    std::uint16_t port_placed_on(const endpoint& agent)
    {
        for (std::uint16_t port = 1000; port < 1100; ++port)
            if (open(port).agent == agents_.find(agent))
                return port;
        CPPUNIT_FAIL("no flow is placed on the agent");
        return 0;
    }

    /// A notice of an outdated balancer must not take back an evacuation.
    void older_set_never_replaces_a_newer_one()
    {
        evacuation_set set;
        CPPUNIT_ASSERT(!set.known());
        CPPUNIT_ASSERT(set.apply({1, 10, {"a"}}));
        CPPUNIT_ASSERT(!set.apply({1, 9, {}}));
        CPPUNIT_ASSERT(!set.apply({1, 10, {}}));
        CPPUNIT_ASSERT(!set.apply({0, 99, {}}));
        CPPUNIT_ASSERT(set.known() && set.contains("a"));
    }

    /// The store assigns revisions again when it comes back from an older copy.
    void later_era_replaces_a_higher_revision()
    {
        evacuation_set set;
        set.apply({1, 100, {"a"}});
        CPPUNIT_ASSERT(set.apply({2, 5, {"b"}}));
        CPPUNIT_ASSERT(!set.contains("a") && set.contains("b"));
    }

    /// A zone that stays evacuated must not be logged again.
    void changes_are_reported_once()
    {
        std::string log;
        evacuation_set set;
        set.on_change = [&log](const std::string& zone, bool evacuated)
        { log += (evacuated ? "+" : "-") + zone; };
        set.apply({1, 1, {"a"}});
        set.apply({1, 2, {"a", "b"}});
        set.apply({1, 3, {"b"}});
        CPPUNIT_ASSERT_EQUAL(std::string("+a+b-a"), log);
    }

    void no_opening_is_placed_in_an_evacuated_zone()
    {
        evacuate({"a"});
        for (std::uint16_t port = 2000; port < 2050; ++port)
            CPPUNIT_ASSERT(open(port).agent == agents_.find(agent_b_));
    }

    /// Not dropped: the caller would wait for servers that must not take it.
    void opening_is_reset_if_all_zones_are_evacuated()
    {
        evacuate({"b", "a", "zone-without-agents"});
        CPPUNIT_ASSERT(open(2000).decision == dispatch_verdict::action::reset);
    }

    /// A retransmission goes to the server chosen first; not after its zone was
    /// evacuated.
    void copy_of_an_opening_leaves_the_evacuated_zone()
    {
        const std::uint16_t port = port_placed_on(agent_a_);
        evacuate({"a"});
        CPPUNIT_ASSERT(open(port, 1).agent == agents_.find(agent_b_));
    }

    /// A late copy of its opening must not move an open flow to another server.
    void open_flow_stays_in_the_evacuated_zone()
    {
        const std::uint16_t port = port_placed_on(agent_a_);
        const flow_packet segment = packet(port, packet_kind::segment);
        dispatcher_.on_flow_held(segment.key, agent_a_);
        evacuate({"a"});
        CPPUNIT_ASSERT(open(port, 1).decision ==
                       dispatch_verdict::action::drop);
        CPPUNIT_ASSERT(dispatcher_.on_caller_packet(segment).agent ==
                       agents_.find(agent_a_));
    }

    /// Otherwise a balancer would send a warming server all openings between
    /// two heartbeats, which come back.
    void placements_use_up_the_room_for_openings()
    {
        send_heartbeats(2);
        for (std::uint16_t port = 2000; port < 2004; ++port)
            CPPUNIT_ASSERT(open(port).event == dispatch_event::placed);
        CPPUNIT_ASSERT(open(2004).event == dispatch_event::dropped_warming);
        send_heartbeats(1);
        CPPUNIT_ASSERT(open(2004).event == dispatch_event::placed);
    }

    void returned_opening_finds_no_room_until_the_next_heartbeat()
    {
        send_heartbeats(9);
        const std::uint16_t port = port_placed_on(agent_a_);
        return_info info;
        info.reason = return_reason::warming;
        const auto verdict = dispatcher_.on_returned_packet(
            packet(port, packet_kind::opening), agent_a_, info);
        CPPUNIT_ASSERT(verdict.agent == agents_.find(agent_b_));
        CPPUNIT_ASSERT(open(2000).agent == agents_.find(agent_b_));
        CPPUNIT_ASSERT(open(2001).agent == agents_.find(agent_b_));
    }

    /// A reset makes the caller spend its retries before a server has room.
    void opening_without_room_is_reset_only_as_a_late_copy()
    {
        send_heartbeats(0);
        CPPUNIT_ASSERT(open(2000).event == dispatch_event::dropped_warming);
        CPPUNIT_ASSERT(open(2000, 1).event == dispatch_event::dropped_warming);
        CPPUNIT_ASSERT(open(2000, 2).decision ==
                       dispatch_verdict::action::reset);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(evacuation_test);

} // namespace
