#include "briarfield/control/document_follower.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <vector>

namespace
{

using namespace briarfield;
using namespace std::chrono_literals;

/// A store whose responses are given by the test.
struct scripted_store
{
    document_follower::handler read;
    document_follower::handler watch;
    std::size_t reads = 0;
    std::size_t watches = 0;
    std::uint64_t watch_revision = 0;
    watch_limits limits{};
    bool arriving = false;

    document_follower::calls calls()
    {
        document_follower::calls c;
        c.read = [this](document_follower::handler done)
        {
            ++reads;
            read = std::move(done);
        };
        c.watch = [this](std::uint64_t revision, const watch_limits& used,
                         document_follower::handler done)
        {
            ++watches;
            watch_revision = revision;
            limits = used;
            watch = std::move(done);
        };
        c.response_arriving = [this] { return arriving; };
        return c;
    }

    static document_state state(std::uint64_t revision, const char* body)
    {
        document_state s;
        s.revision = revision;
        if (body != nullptr)
            s.body = body;
        return s;
    }
};

class document_follower_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(document_follower_test);
    CPPUNIT_TEST(watch_starts_from_the_revision_of_the_read);
    CPPUNIT_TEST(watch_without_change_is_renewed);
    CPPUNIT_TEST(failed_watch_is_followed_by_a_read);
    CPPUNIT_TEST(compacted_history_is_read_immediately);
    CPPUNIT_TEST(outage_is_reported_once_and_retried);
    CPPUNIT_TEST(peer_notification_reads_if_the_watch_reports_nothing);
    CPPUNIT_TEST(peer_notification_needs_no_read_if_the_watch_reports_it);
    CPPUNIT_TEST(change_is_read_within_the_bound_despite_a_silent_connection);
    CPPUNIT_TEST(late_response_to_an_earlier_call_is_ignored);
    CPPUNIT_TEST(peer_notification_waits_for_a_response_that_is_arriving);
    CPPUNIT_TEST(restored_store_is_read_again);
    CPPUNIT_TEST_SUITE_END();

    manual_clock clock_;
    timer_queue timers_{clock_};
    random_source random_{1};
    scripted_store store_;
    document_follower follower_{timers_, random_, store_.calls()};
    std::vector<std::string> documents_;
    std::size_t lost_ = 0;
    std::size_t regained_ = 0;

public:
    void setUp() override
    {
        follower_.on_document = [this](const std::string& body)
        { documents_.push_back(body); };
        follower_.on_lost = [this](const error&) { ++lost_; };
        follower_.on_regained = [this](duration) { ++regained_; };
        follower_.start();
    }

private:
    void wait(duration d)
    {
        clock_.advance(d);
        timers_.run_due();
    }

    void watch_starts_from_the_revision_of_the_read()
    {
        store_.read(scripted_store::state(10, "one"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(10), store_.watch_revision);
        store_.watch(scripted_store::state(12, "two"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(12), store_.watch_revision);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), documents_.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), store_.reads);
    }

    void watch_without_change_is_renewed()
    {
        store_.read(scripted_store::state(10, "one"));
        store_.watch(scripted_store::state(11, nullptr));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), store_.watches);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), documents_.size());
    }

    void failed_watch_is_followed_by_a_read()
    {
        store_.read(scripted_store::state(10, "one"));
        store_.watch(error{errc::store_timeout});
        wait(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), store_.reads);
    }

    void compacted_history_is_read_immediately()
    {
        store_.read(scripted_store::state(10, "one"));
        store_.watch(error{errc::store_history_compacted});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), store_.reads);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), lost_);
    }

    void outage_is_reported_once_and_retried()
    {
        for (std::size_t i = 1; i <= 5; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(i, store_.reads);
            store_.read(error{errc::store_unreachable});
            wait(400ms); // The maximum retry delay.
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), lost_);
        store_.read(scripted_store::state(10, "one"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), regained_);
    }

    void peer_notification_reads_if_the_watch_reports_nothing()
    {
        store_.read(scripted_store::state(10, "one"));
        follower_.on_peer_notification();
        follower_.on_peer_notification();
        wait(300ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), store_.reads);
    }

    void peer_notification_needs_no_read_if_the_watch_reports_it()
    {
        store_.read(scripted_store::state(10, "one"));
        follower_.on_peer_notification();
        wait(100ms);
        store_.watch(scripted_store::state(11, "two"));
        wait(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), store_.reads);
    }

    /// A connection that went silent was noticed after 7 s, with a bound of 3.
    void change_is_read_within_the_bound_despite_a_silent_connection()
    {
        for (const duration bound : {duration(3s), duration(6s)})
        {
            scripted_store silent;
            document_follower_options options;
            options.watch = watch_limits::within(bound);
            document_follower follower(timers_, random_, silent.calls(),
                                       options);
            follower.start();
            silent.read(scripted_store::state(10, "one"));
            CPPUNIT_ASSERT(silent.limits.wait < silent.limits.timeout);
            const time_point change = clock_.now();
            wait(silent.limits.timeout);
            silent.watch(error{errc::store_timeout});
            while (silent.reads == 1 && clock_.now() - change < bound)
                wait(10ms);
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), silent.reads);
            CPPUNIT_ASSERT(clock_.now() - change < bound - bound / 10);
        }
    }

    void late_response_to_an_earlier_call_is_ignored()
    {
        store_.read(scripted_store::state(10, "one"));
        const auto old_watch = store_.watch;
        follower_.on_peer_notification();
        wait(300ms);
        old_watch(scripted_store::state(11, "two"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), documents_.size());
        store_.read(scripted_store::state(12, "three"));
        CPPUNIT_ASSERT_EQUAL(std::string("three"), documents_.back());
    }

    /// On a slow link, each notification discarded the response that was being
    /// received, so a large document never arrived.
    void peer_notification_waits_for_a_response_that_is_arriving()
    {
        store_.read(scripted_store::state(10, "one"));
        store_.arriving = true;
        follower_.on_peer_notification();
        wait(300ms);
        wait(300ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), store_.reads);
        store_.arriving = false;
        wait(300ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), store_.reads);
    }

    /// A watch from a revision of the earlier era would miss changes.
    void restored_store_is_read_again()
    {
        store_.read(scripted_store::state(10, "one"));
        const auto old_watch = store_.watch;
        follower_.on_store_restored();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), store_.reads);
        old_watch(scripted_store::state(11, "two"));
        store_.read(scripted_store::state(5, "three"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), store_.watch_revision);
        CPPUNIT_ASSERT_EQUAL(std::string("three"), documents_.back());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), documents_.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(document_follower_test);

} // namespace
