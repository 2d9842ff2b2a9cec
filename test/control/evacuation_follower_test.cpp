#include "briarfield/control/evacuation_follower.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <optional>

namespace
{

using namespace briarfield;
using namespace std::chrono_literals;

/// A store whose responses are given by the test.
class evacuation_follower_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(evacuation_follower_test);
    CPPUNIT_TEST(changes_apply_to_the_list_that_was_read);
    CPPUNIT_TEST(unchanged_zones_are_not_reported_again);
    CPPUNIT_TEST(failed_watch_is_followed_by_a_read);
    CPPUNIT_TEST(late_events_do_not_apply_to_a_newer_list);
    CPPUNIT_TEST(list_of_an_earlier_era_is_discarded);
    CPPUNIT_TEST(later_era_is_read_in_full);
    CPPUNIT_TEST(silent_watch_fails_within_the_bound);
    CPPUNIT_TEST_SUITE_END();

    manual_clock clock_;
    timer_queue timers_{clock_};
    random_source random_{1};
    std::function<void(result<evacuated_zones>)> read_;
    std::function<void(result<zone_events>)> watch_;
    std::uint64_t watched_from_ = 0;
    watch_limits limits_{};
    std::vector<evacuated_zones> reported_;
    std::unique_ptr<evacuation_follower> follower_;

public:
    void setUp() override
    {
        evacuation_follower::calls calls;
        calls.read = [this](auto done) { read_ = std::move(done); };
        calls.watch =
            [this](std::uint64_t revision, const watch_limits& used, auto done)
        {
            watched_from_ = revision;
            limits_ = used;
            watch_ = std::move(done);
        };
        document_follower_options options;
        options.watch = watch_limits::within(5s);
        follower_ = std::make_unique<evacuation_follower>(timers_, random_,
                                                          calls, options);
        follower_->on_zones = [this](const evacuated_zones& zones)
        { reported_.push_back(zones); };
        follower_->start();
        answer_read({1, 10, {"a"}});
    }

private:
    void answer_read(const evacuated_zones& zones) { take(read_)(zones); }

    /// Takes a handler, so that a second response to one call is an error.
    template <class Handler>
    static Handler take(Handler& from)
    {
        CPPUNIT_ASSERT(from);
        return std::exchange(from, nullptr);
    }

    std::string last_zones() const
    {
        std::string all;
        for (const std::string& zone : reported_.back().zones)
            all += zone;
        return all + std::to_string(reported_.back().revision);
    }

    void wait_for_retry()
    {
        clock_.advance(500ms);
        timers_.run_due();
    }

    /// Each event tells one zone; the others must stay as they are.
    void changes_apply_to_the_list_that_was_read()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("a10"), last_zones());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, watched_from_);
        take(watch_)(zone_events{1, 12, {{"b", true}, {"a", true}}});
        CPPUNIT_ASSERT_EQUAL(std::string("ab12"), last_zones());
        take(watch_)(zone_events{1, 13, {{"a", false}, {"c", false}}});
        CPPUNIT_ASSERT_EQUAL(std::string("b13"), last_zones());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{13}, watched_from_);
    }

    void unchanged_zones_are_not_reported_again()
    {
        take(watch_)(zone_events{1, 20, {}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reported_.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{20}, watched_from_);
        take(watch_)(zone_events{1, 21, {{"b", true}}});
        CPPUNIT_ASSERT_EQUAL(std::string("ab21"), last_zones());
    }

    /// The change may have been in the response that was lost.
    void failed_watch_is_followed_by_a_read()
    {
        take(watch_)(fail(errc::store_unreachable, "cut"));
        wait_for_retry();
        answer_read({1, 30, {}});
        CPPUNIT_ASSERT_EQUAL(std::string("30"), last_zones());
    }

    /// A response to a watch that was given up must not evacuate a zone that a
    /// later list does not name.
    void late_events_do_not_apply_to_a_newer_list()
    {
        const auto late = watch_;
        take(watch_)(fail(errc::store_unreachable, "cut"));
        wait_for_retry();
        answer_read({1, 30, {"a"}});
        late(zone_events{1, 11, {{"b", true}}});
        take(watch_)(zone_events{1, 31, {{"c", true}}});
        CPPUNIT_ASSERT_EQUAL(std::string("ac31"), last_zones());
    }

    void list_of_an_earlier_era_is_discarded()
    {
        take(watch_)(fail(errc::store_unreachable, "cut"));
        wait_for_retry();
        answer_read({0, 99, {}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reported_.size());
        wait_for_retry();
        answer_read({1, 11, {"b"}});
        CPPUNIT_ASSERT_EQUAL(std::string("b11"), last_zones());
    }

    /// The events of another era do not continue the list.
    void later_era_is_read_in_full()
    {
        take(watch_)(zone_events{2, 4, {{"b", true}}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reported_.size());
        answer_read({2, 4, {"b"}});
        CPPUNIT_ASSERT_EQUAL(std::string("b4"), last_zones());
    }

    /// The read that follows a watch without a response needs the rest.
    void silent_watch_fails_within_the_bound()
    {
        CPPUNIT_ASSERT(limits_.timeout == 3600ms);
        CPPUNIT_ASSERT(limits_.wait < limits_.timeout);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(evacuation_follower_test);

} // namespace
