#include "briarfield/dispatch/server_registration.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace briarfield;
using namespace std::chrono_literals;

class server_registration_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_registration_test);
    CPPUNIT_TEST(settings_count_before_the_first_heartbeat);
    CPPUNIT_TEST(older_heartbeat_changes_nothing);
    CPPUNIT_TEST(late_heartbeat_of_an_earlier_life_changes_nothing);
    CPPUNIT_TEST(same_id_may_start_again);
    CPPUNIT_TEST(drain_stays_through_late_heartbeats);
    CPPUNIT_TEST(leave_of_an_earlier_life_changes_nothing);
    CPPUNIT_TEST(heartbeat_after_leave_changes_nothing);
    CPPUNIT_TEST(silence_is_noticed);
    CPPUNIT_TEST(new_service_in_the_settings_counts);
    CPPUNIT_TEST_SUITE_END();

    manual_clock clock_;
    server_registration r_{clock_, "a", 1900ms};

    static server_heartbeat
    beat(const std::string& id, std::uint64_t born, std::uint64_t sequence)
    {
        server_heartbeat b;
        b.id = id;
        b.born_ms = born;
        b.sequence = sequence;
        b.service = "a";
        return b;
    }

    void settings_count_before_the_first_heartbeat()
    {
        CPPUNIT_ASSERT(r_.state() == server_state::unknown);
        CPPUNIT_ASSERT_EQUAL(make_service_tag("a"), r_.tag());
    }

    void older_heartbeat_changes_nothing()
    {
        CPPUNIT_ASSERT(r_.take(beat("i", 1, 5)));
        server_heartbeat older = beat("i", 1, 4);
        older.draining = true;
        CPPUNIT_ASSERT(r_.take(older).error().code == errc::message_stale);
        CPPUNIT_ASSERT(r_.state() == server_state::ready);
    }

    void late_heartbeat_of_an_earlier_life_changes_nothing()
    {
        CPPUNIT_ASSERT(r_.take(beat("new", 2, 1)));
        server_heartbeat late = beat("old", 1, 90);
        late.service = "b";
        CPPUNIT_ASSERT(!r_.take(late));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), r_.service());
    }

    void same_id_may_start_again()
    {
        CPPUNIT_ASSERT(r_.take(beat("i", 1, 50)));
        CPPUNIT_ASSERT(r_.take(beat("i", 2, 1)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), r_.latest().born_ms);
    }

    void drain_stays_through_late_heartbeats()
    {
        server_heartbeat draining = beat("i", 1, 6);
        draining.draining = true;
        CPPUNIT_ASSERT(r_.take(beat("i", 1, 4)));
        CPPUNIT_ASSERT(r_.take(draining));
        CPPUNIT_ASSERT(!r_.take(beat("i", 1, 5)));
        CPPUNIT_ASSERT(r_.state() == server_state::draining);
    }

    void leave_of_an_earlier_life_changes_nothing()
    {
        CPPUNIT_ASSERT(r_.take(beat("new", 2, 1)));
        CPPUNIT_ASSERT(!r_.leave("old"));
        CPPUNIT_ASSERT(r_.state() == server_state::ready);
    }

    void heartbeat_after_leave_changes_nothing()
    {
        CPPUNIT_ASSERT(r_.take(beat("i", 1, 3)));
        CPPUNIT_ASSERT(r_.leave("i"));
        CPPUNIT_ASSERT(!r_.take(beat("i", 1, 4)));
        CPPUNIT_ASSERT(r_.state() == server_state::gone);
        CPPUNIT_ASSERT(r_.leave("i")); // Said twice.
    }

    void silence_is_noticed()
    {
        CPPUNIT_ASSERT(r_.take(beat("i", 1, 1)));
        clock_.advance(1900ms);
        CPPUNIT_ASSERT(!r_.silent());
        clock_.advance(1ms);
        CPPUNIT_ASSERT(r_.silent());
        r_.note_alive();
        CPPUNIT_ASSERT(!r_.silent());
    }

    void new_service_in_the_settings_counts()
    {
        CPPUNIT_ASSERT(r_.take(beat("i", 1, 1)));
        r_.set_configured_service("a");
        CPPUNIT_ASSERT(r_.state() == server_state::ready);
        r_.set_configured_service("b");
        CPPUNIT_ASSERT(r_.state() == server_state::unknown);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), r_.service());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_registration_test);

} // namespace
