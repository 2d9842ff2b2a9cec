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
    CPPUNIT_TEST(seeds_are_written_to_for_ever);
    CPPUNIT_TEST(silent_peers_are_forgotten);
    CPPUNIT_TEST(restart_is_noticed);
    CPPUNIT_TEST(leaver_is_forgotten_at_once);
    CPPUNIT_TEST_SUITE_END();

    manual_clock clock_;
    relay_peers peers_{clock_};
    const endpoint seed_ = host_endpoint(1, 80);
    const endpoint other_ = host_endpoint(2, 80);

    void seeds_are_written_to_for_ever()
    {
        peers_.add_seed(seed_);
        clock_.advance(1h);
        CPPUNIT_ASSERT(peers_.contacts() == std::vector<endpoint>{seed_});
        CPPUNIT_ASSERT(peers_.alive().empty());
        CPPUNIT_ASSERT(peers_.heard(seed_, 1));
        CPPUNIT_ASSERT(peers_.alive() == std::vector<endpoint>{seed_});
    }

    void silent_peers_are_forgotten()
    {
        peers_.add_seed(seed_);
        peers_.heard(seed_, 1);
        peers_.heard(other_, 1);
        clock_.advance(relay_peers::forget_after + 1ms);
        CPPUNIT_ASSERT(peers_.alive().empty());
        CPPUNIT_ASSERT(peers_.contacts() == std::vector<endpoint>{seed_});
    }

    void restart_is_noticed()
    {
        CPPUNIT_ASSERT(peers_.introduced(other_));
        CPPUNIT_ASSERT(!peers_.introduced(other_));
        CPPUNIT_ASSERT(peers_.heard(other_, 1));
        CPPUNIT_ASSERT(!peers_.heard(other_, 1));
        CPPUNIT_ASSERT(peers_.heard(other_, 2));
    }

    void leaver_is_forgotten_at_once()
    {
        peers_.add_seed(seed_);
        peers_.heard(seed_, 1);
        peers_.heard(other_, 1);
        peers_.left(seed_);
        peers_.left(other_);
        CPPUNIT_ASSERT(peers_.alive().empty());
        CPPUNIT_ASSERT(peers_.contacts() == std::vector<endpoint>{seed_});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_peers_test);

} // namespace
