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
    CPPUNIT_TEST(server_that_has_left_gets_no_flows_by_a_late_heartbeat);
    CPPUNIT_TEST(late_leave_does_not_end_a_running_server);
    CPPUNIT_TEST(leave_before_the_first_heartbeat_is_not_final);
    CPPUNIT_TEST(heartbeat_of_another_service_is_rejected);
    CPPUNIT_TEST(heartbeat_of_another_address_is_rejected);
    CPPUNIT_TEST(packets_that_waited_during_a_pause_show_nothing);
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
        CPPUNIT_ASSERT(
            !registration_.on_heartbeat(make_heartbeat("old", 1, 90)));
        CPPUNIT_ASSERT_EQUAL(std::string("new"), registration_.latest().id);
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

    void
    drain(const std::string& id, std::uint64_t born, std::uint64_t sequence)
    {
        server_heartbeat draining = make_heartbeat(id, born, sequence);
        draining.draining = true;
        CPPUNIT_ASSERT(registration_.on_heartbeat(draining));
    }

    /// Heartbeats sent before the drain are older; one sent during it says so.
    void server_that_has_left_gets_no_flows_by_a_late_heartbeat()
    {
        CPPUNIT_ASSERT(registration_.on_heartbeat(make_heartbeat("i", 1, 3)));
        drain("i", 1, 5);
        CPPUNIT_ASSERT(registration_.on_leave("i"));
        CPPUNIT_ASSERT(registration_.state() == server_state::gone);
        CPPUNIT_ASSERT(registration_.on_leave("i")); // A repeated message.
        CPPUNIT_ASSERT(!registration_.on_heartbeat(make_heartbeat("i", 1, 4)));
        CPPUNIT_ASSERT(registration_.state() == server_state::gone);
        drain("i", 1, 6);
        CPPUNIT_ASSERT(registration_.state() == server_state::draining);
    }

    /// The leave message of an earlier incarnation with the same id was held
    /// up. All heartbeats of the running server were rejected from then on, and
    /// balancers reset its flows.
    void late_leave_does_not_end_a_running_server()
    {
        CPPUNIT_ASSERT(registration_.on_heartbeat(make_heartbeat("i", 1, 9)));
        drain("i", 1, 10);
        CPPUNIT_ASSERT(registration_.on_heartbeat(make_heartbeat("i", 2, 1)));
        CPPUNIT_ASSERT(registration_.on_leave("i"));
        CPPUNIT_ASSERT(registration_.state() == server_state::draining);
        CPPUNIT_ASSERT(registration_.on_heartbeat(make_heartbeat("i", 2, 2)));
        CPPUNIT_ASSERT(registration_.state() == server_state::ready);
    }

    void leave_before_the_first_heartbeat_is_not_final()
    {
        CPPUNIT_ASSERT(registration_.on_leave("i"));
        CPPUNIT_ASSERT(registration_.state() == server_state::draining);
        CPPUNIT_ASSERT(registration_.on_heartbeat(make_heartbeat("i", 0, 2)));
        CPPUNIT_ASSERT(registration_.state() == server_state::ready);
    }

    /// An agent that had just started took the late heartbeat of a crashed
    /// server for one of the server that has its address now.
    void heartbeat_of_another_service_is_rejected()
    {
        server_heartbeat late = make_heartbeat("old", 1, 7);
        late.service = "b";
        CPPUNIT_ASSERT(registration_.on_heartbeat(late).error().code ==
                       errc::message_stale);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), registration_.service());
        CPPUNIT_ASSERT(registration_.state() == server_state::unknown);
        registration_.set_configured_service("b");
        CPPUNIT_ASSERT(registration_.on_heartbeat(late));
    }

    void heartbeat_of_another_address_is_rejected()
    {
        const endpoint own = endpoint::parse("10.0.0.7:8080").value();
        server_registration beside(clock_, "a", 1900ms, own);
        server_heartbeat heartbeat = make_heartbeat("i", 1, 1);
        heartbeat.address = endpoint::parse("10.0.0.8:8080").value();
        CPPUNIT_ASSERT(beside.on_heartbeat(heartbeat).error().code ==
                       errc::message_stale);
        heartbeat.address = own;
        CPPUNIT_ASSERT(beside.on_heartbeat(heartbeat));
    }

    /// An agent that had been paused read the last packets of a crashed server
    /// and delivered openings to the service that had its address by then.
    void packets_that_waited_during_a_pause_show_nothing()
    {
        CPPUNIT_ASSERT(registration_.on_heartbeat(make_heartbeat("i", 1, 1)));
        clock_.advance(2900ms);
        registration_.record_activity();
        CPPUNIT_ASSERT(registration_.timed_out());
        CPPUNIT_ASSERT(registration_.on_heartbeat(make_heartbeat("i", 1, 2)));
        CPPUNIT_ASSERT(registration_.timed_out());
        clock_.advance(server_registration::settle_time);
        registration_.record_activity();
        CPPUNIT_ASSERT(!registration_.timed_out());
    }

    void server_times_out()
    {
        CPPUNIT_ASSERT(registration_.on_heartbeat(make_heartbeat("i", 1, 1)));
        for (int i = 0; i < 19; ++i)
        {
            clock_.advance(100ms);
            registration_.detect_pause();
        }
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
