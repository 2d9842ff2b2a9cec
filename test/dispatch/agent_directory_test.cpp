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
    CPPUNIT_TEST(older_heartbeats_change_nothing);
    CPPUNIT_TEST(earlier_incarnation_changes_nothing);
    CPPUNIT_TEST(silence_is_reported_once);
    CPPUNIT_TEST(agents_of_long_ago_give_way);
    CPPUNIT_TEST(named_agents_are_waited_for_until_heard);
    CPPUNIT_TEST_SUITE_END();

    manual_clock clock_;
    agent_directory d_{clock_};

    static agent_status
    status(std::uint8_t host, std::uint64_t incarnation, std::uint64_t sequence)
    {
        agent_status s;
        s.data = host_endpoint(host, 80);
        s.incarnation = incarnation;
        s.sequence = sequence;
        s.service = "a";
        s.state = server_state::ready;
        return s;
    }

    void older_heartbeats_change_nothing()
    {
        CPPUNIT_ASSERT(d_.take(status(1, 7, 5)));
        CPPUNIT_ASSERT(!d_.take(status(1, 7, 5)));
        CPPUNIT_ASSERT(!d_.take(status(1, 7, 4)));
        CPPUNIT_ASSERT(d_.take(status(1, 7, 6)));
    }

    void earlier_incarnation_changes_nothing()
    {
        d_.take(status(1, 7, 50));
        CPPUNIT_ASSERT(d_.take(status(1, 8, 1)));
        CPPUNIT_ASSERT(!d_.take(status(1, 7, 51)));
    }

    void silence_is_reported_once()
    {
        int silences = 0;
        d_.on_silent = [&silences](const auto&, duration) { ++silences; };
        d_.take(status(1, 7, 1));
        clock_.advance(2s);
        d_.check();
        d_.check();
        CPPUNIT_ASSERT_EQUAL(1, silences);
    }

    /// Instances come and go for years; positions must not run out.
    void agents_of_long_ago_give_way()
    {
        d_.take(status(1, 7, 1));
        clock_.advance(9min);
        d_.take(status(2, 7, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), d_.size());
        clock_.advance(2min);
        d_.take(status(3, 7, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), d_.size());
        CPPUNIT_ASSERT(d_.find(host_endpoint(1, 80)) == no_agent);
        CPPUNIT_ASSERT(d_.find(host_endpoint(2, 80)) != no_agent);
        CPPUNIT_ASSERT(d_.find(host_endpoint(3, 80)) != no_agent);
    }

    void named_agents_are_waited_for_until_heard()
    {
        d_.note_named(host_endpoint(1, 80));
        CPPUNIT_ASSERT(d_.awaits_named());
        d_.take(status(1, 7, 1));
        CPPUNIT_ASSERT(!d_.awaits_named());
        d_.note_named(host_endpoint(2, 80));
        clock_.advance(5s);
        d_.check();
        CPPUNIT_ASSERT(!d_.awaits_named());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(agent_directory_test);

} // namespace
