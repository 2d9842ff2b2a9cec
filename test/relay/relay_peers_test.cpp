#include "briarfield/relay/relay_peers.hpp"

#include "support/dispatch_world.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace briarfield;
using namespace briarfield::test;
using namespace std::chrono_literals;

class relay_peers_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(relay_peers_test);
    CPPUNIT_TEST(seeds_are_never_removed);
    CPPUNIT_TEST(unresponsive_peers_are_removed);
    CPPUNIT_TEST(reported_peers_stay_addresses_but_are_not_alive);
    CPPUNIT_TEST(restart_is_detected);
    CPPUNIT_TEST(leaving_peer_is_not_alive_but_found_after_a_restart);
    CPPUNIT_TEST_SUITE_END();

    manual_clock clock_;
    relay_peers peers_{clock_};
    const endpoint seed_ = host_endpoint(1, 80);
    const endpoint other_ = host_endpoint(2, 80);

    void seeds_are_never_removed()
    {
        peers_.add_seed(seed_);
        clock_.advance(1h);
        CPPUNIT_ASSERT(peers_.recipients() == std::vector<endpoint>{seed_});
        CPPUNIT_ASSERT(peers_.alive().empty());
        CPPUNIT_ASSERT(peers_.on_notice(seed_, 1));
        CPPUNIT_ASSERT(peers_.alive() == std::vector<endpoint>{seed_});
    }

    void unresponsive_peers_are_removed()
    {
        peers_.add_seed(seed_);
        peers_.on_notice(seed_, 1);
        peers_.on_notice(other_, 1);
        clock_.advance(relay_peers::peer_timeout + 1ms);
        CPPUNIT_ASSERT(peers_.alive().empty());
        CPPUNIT_ASSERT(peers_.recipients() == std::vector<endpoint>{seed_});
    }

    /// An agent gets notices of a few balancers only, which report the others.
    void reported_peers_stay_addresses_but_are_not_alive()
    {
        peers_.on_notice(other_, 1);
        for (int i = 0; i < 20; ++i)
        {
            clock_.advance(1s);
            peers_.on_peer_reported(other_);
        }
        CPPUNIT_ASSERT(peers_.alive().empty());
        CPPUNIT_ASSERT(peers_.recipients() == std::vector<endpoint>{other_});
        clock_.advance(relay_peers::peer_timeout + 1ms);
        CPPUNIT_ASSERT(peers_.recipients().empty());
    }

    void restart_is_detected()
    {
        CPPUNIT_ASSERT(peers_.on_peer_reported(other_));
        CPPUNIT_ASSERT(!peers_.on_peer_reported(other_));
        CPPUNIT_ASSERT(peers_.on_notice(other_, 1));
        CPPUNIT_ASSERT(!peers_.on_notice(other_, 1));
        CPPUNIT_ASSERT(peers_.on_notice(other_, 2));
    }

    /// The last balancer was restarted as planned: the agents had no address to
    /// send heartbeats to, and nothing was served any more.
    void leaving_peer_is_not_alive_but_found_after_a_restart()
    {
        const std::vector<endpoint> both = {seed_, other_};
        peers_.add_seed(seed_);
        peers_.on_notice(seed_, 1);
        peers_.on_notice(other_, 1);
        peers_.on_leave(seed_);
        peers_.on_leave(other_);
        CPPUNIT_ASSERT(peers_.alive().empty());
        CPPUNIT_ASSERT(peers_.recipients() == both);
        CPPUNIT_ASSERT(peers_.on_notice(other_, 2));
        peers_.on_leave(other_);
        clock_.advance(relay_peers::peer_timeout + 1ms);
        CPPUNIT_ASSERT(peers_.recipients() == std::vector<endpoint>{seed_});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_peers_test);

} // namespace
