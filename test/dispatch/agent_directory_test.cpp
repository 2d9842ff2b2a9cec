#include "briarfield/dispatch/agent_directory.hpp"

#include "support/dispatch_world.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace briarfield;
using namespace briarfield::test;
using namespace std::chrono_literals;

class agent_directory_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(agent_directory_test);
    CPPUNIT_TEST(older_heartbeats_are_ignored);
    CPPUNIT_TEST(earlier_incarnation_is_ignored);
    CPPUNIT_TEST(timeout_is_reported_once);
    CPPUNIT_TEST(expired_records_are_reused);
    CPPUNIT_TEST(peer_reported_agent_is_awaited_until_its_heartbeat);
    CPPUNIT_TEST(agent_that_restarts_before_a_heartbeat_may_hold_flows);
    CPPUNIT_TEST_SUITE_END();

    manual_clock clock_;
    agent_directory directory_{clock_};

    static agent_status
    status(std::uint8_t host, std::uint64_t incarnation, std::uint64_t sequence)
    {
        agent_status s;
        s.relay_address = host_endpoint(host, 80);
        s.incarnation = incarnation;
        s.sequence = sequence;
        s.service = "a";
        s.state = server_state::ready;
        return s;
    }

    void older_heartbeats_are_ignored()
    {
        CPPUNIT_ASSERT(directory_.on_heartbeat(status(1, 7, 5)));
        CPPUNIT_ASSERT(!directory_.on_heartbeat(status(1, 7, 5)));
        CPPUNIT_ASSERT(!directory_.on_heartbeat(status(1, 7, 4)));
        CPPUNIT_ASSERT(directory_.on_heartbeat(status(1, 7, 6)));
    }

    void earlier_incarnation_is_ignored()
    {
        directory_.on_heartbeat(status(1, 7, 50));
        CPPUNIT_ASSERT(directory_.on_heartbeat(status(1, 8, 1)));
        CPPUNIT_ASSERT(!directory_.on_heartbeat(status(1, 7, 51)));
    }

    void timeout_is_reported_once()
    {
        int timeouts = 0;
        directory_.on_timeout = [&timeouts](const auto&, duration)
        { ++timeouts; };
        directory_.on_heartbeat(status(1, 7, 1));
        clock_.advance(2s);
        directory_.check();
        directory_.check();
        CPPUNIT_ASSERT_EQUAL(1, timeouts);
    }

    /// Records of removed instances are reused; otherwise a long-running
    /// balancer would run out of positions.
    void expired_records_are_reused()
    {
        directory_.on_heartbeat(status(1, 7, 1));
        clock_.advance(9min);
        directory_.on_heartbeat(status(2, 7, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), directory_.size());
        clock_.advance(2min);
        directory_.on_heartbeat(status(3, 7, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), directory_.size());
        CPPUNIT_ASSERT(directory_.find(host_endpoint(1, 80)) == no_agent);
        CPPUNIT_ASSERT(directory_.find(host_endpoint(2, 80)) != no_agent);
        CPPUNIT_ASSERT(directory_.find(host_endpoint(3, 80)) != no_agent);
    }

    void peer_reported_agent_is_awaited_until_its_heartbeat()
    {
        directory_.add_peer_reported(host_endpoint(1, 80));
        CPPUNIT_ASSERT(directory_.awaits_peer_reported());
        directory_.on_heartbeat(status(1, 7, 1));
        CPPUNIT_ASSERT(!directory_.awaits_peer_reported());
        directory_.add_peer_reported(host_endpoint(2, 80));
        clock_.advance(5s);
        directory_.check();
        CPPUNIT_ASSERT(!directory_.awaits_peer_reported());
    }

    /// An agent that was stopped twice in a row reported its server as unknown,
    /// and open flows of that server were reset a second later.
    void agent_that_restarts_before_a_heartbeat_may_hold_flows()
    {
        agent_status unknown = status(1, 7, 1);
        unknown.state = server_state::unknown;
        unknown.restarting = true;
        directory_.on_heartbeat(unknown);
        clock_.advance(2s);
        CPPUNIT_ASSERT(directory_.may_hold_flows(0));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(agent_directory_test);

} // namespace
