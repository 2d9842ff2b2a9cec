#include "briarfield/dispatch/server_registration.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace briarfield;
using namespace std::chrono_literals;

class server_registration_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_registration_test);
    CPPUNIT_TEST(settings_give_the_service_before_the_first_heartbeat);
    CPPUNIT_TEST(older_heartbeat_is_rejected);
    CPPUNIT_TEST(late_heartbeat_of_an_earlier_incarnation_is_rejected);
    CPPUNIT_TEST(same_id_with_a_later_start_is_a_new_incarnation);
    CPPUNIT_TEST(late_heartbeat_does_not_end_the_drain);
    CPPUNIT_TEST(leave_of_an_earlier_incarnation_is_rejected);
    CPPUNIT_TEST(heartbeat_after_leave_is_rejected);
    CPPUNIT_TEST(server_times_out);
    CPPUNIT_TEST(changed_service_in_the_settings_applies);
    CPPUNIT_TEST_SUITE_END();

    manual_clock clock_;
    server_registration registration_{clock_, "a", 1900ms};

    static server_heartbeat make_heartbeat(const std::string& id,
                                           std::uint64_t born,
                                           std::uint64_t sequence)
    {
        server_heartbeat heartbeat;
        heartbeat.id = id;
        heartbeat.born_ms = born;
        heartbeat.sequence = sequence;
        heartbeat.service = "a";
        return heartbeat;
    }

    void settings_give_the_service_before_the_first_heartbeat()
    {
        CPPUNIT_ASSERT(registration_.state() == server_state::unknown);
        CPPUNIT_ASSERT_EQUAL(make_service_tag("a"), registration_.tag());
    }

    void older_heartbeat_is_rejected()
    {
        CPPUNIT_ASSERT(registration_.on_heartbeat(make_heartbeat("i", 1, 5)));
        server_heartbeat older = make_heartbeat("i", 1, 4);
        older.draining = true;
        CPPUNIT_ASSERT(registration_.on_heartbeat(older).error().code ==
                       errc::message_stale);
        CPPUNIT_ASSERT(registration_.state() == server_state::ready);
    }

    void late_heartbeat_of_an_earlier_incarnation_is_rejected()
    {
        CPPUNIT_ASSERT(registration_.on_heartbeat(make_heartbeat("new", 2, 1)));
        server_heartbeat late = make_heartbeat("old", 1, 90);
        late.service = "b";
        CPPUNIT_ASSERT(!registration_.on_heartbeat(late));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), registration_.service());
    }

    void same_id_with_a_later_start_is_a_new_incarnation()
    {
        CPPUNIT_ASSERT(registration_.on_heartbeat(make_heartbeat("i", 1, 50)));
        CPPUNIT_ASSERT(registration_.on_heartbeat(make_heartbeat("i", 2, 1)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), registration_.latest().born_ms);
    }

    void late_heartbeat_does_not_end_the_drain()
    {
        server_heartbeat draining = make_heartbeat("i", 1, 6);
        draining.draining = true;
        CPPUNIT_ASSERT(registration_.on_heartbeat(make_heartbeat("i", 1, 4)));
        CPPUNIT_ASSERT(registration_.on_heartbeat(draining));
        CPPUNIT_ASSERT(!registration_.on_heartbeat(make_heartbeat("i", 1, 5)));
        CPPUNIT_ASSERT(registration_.state() == server_state::draining);
    }

    void leave_of_an_earlier_incarnation_is_rejected()
    {
        CPPUNIT_ASSERT(registration_.on_heartbeat(make_heartbeat("new", 2, 1)));
        CPPUNIT_ASSERT(!registration_.on_leave("old"));
        CPPUNIT_ASSERT(registration_.state() == server_state::ready);
    }

    void heartbeat_after_leave_is_rejected()
    {
        CPPUNIT_ASSERT(registration_.on_heartbeat(make_heartbeat("i", 1, 3)));
        CPPUNIT_ASSERT(registration_.on_leave("i"));
        CPPUNIT_ASSERT(!registration_.on_heartbeat(make_heartbeat("i", 1, 4)));
        CPPUNIT_ASSERT(registration_.state() == server_state::gone);
        CPPUNIT_ASSERT(registration_.on_leave("i")); // A repeated message.
    }

    void server_times_out()
    {
        CPPUNIT_ASSERT(registration_.on_heartbeat(make_heartbeat("i", 1, 1)));
        clock_.advance(1900ms);
        CPPUNIT_ASSERT(!registration_.timed_out());
        clock_.advance(1ms);
        CPPUNIT_ASSERT(registration_.timed_out());
        registration_.record_activity();
        CPPUNIT_ASSERT(!registration_.timed_out());
    }

    void changed_service_in_the_settings_applies()
    {
        CPPUNIT_ASSERT(registration_.on_heartbeat(make_heartbeat("i", 1, 1)));
        registration_.set_configured_service("a");
        CPPUNIT_ASSERT(registration_.state() == server_state::ready);
        registration_.set_configured_service("b");
        CPPUNIT_ASSERT(registration_.state() == server_state::unknown);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), registration_.service());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_registration_test);

} // namespace
