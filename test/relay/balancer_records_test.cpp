#include "briarfield/relay/balancer_search.hpp"
#include "briarfield/relay/record_writer.hpp"

#include "support/dispatch_world.hpp"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace briarfield;
using namespace briarfield::test;
using namespace std::chrono_literals;

class balancer_records_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(balancer_records_test);
    CPPUNIT_TEST(record_is_written_once);
    CPPUNIT_TEST(failed_write_is_repeated);
    CPPUNIT_TEST(missing_record_is_written_again);
    CPPUNIT_TEST(check_in_progress_does_not_cancel_a_write);
    CPPUNIT_TEST(record_is_removed_when_the_balancer_stops);
    CPPUNIT_TEST(record_is_written_again_after_a_restore);
    CPPUNIT_TEST(balancers_that_start_together_write_at_different_times);
    CPPUNIT_TEST(nothing_is_read_while_balancers_are_heard);
    CPPUNIT_TEST(records_are_read_when_no_balancer_is_heard);
    CPPUNIT_TEST(failed_reads_back_off);
    CPPUNIT_TEST(all_records_are_tried_within_seconds);
    CPPUNIT_TEST_SUITE_END();

    manual_clock clock_;
    timer_queue timers_{clock_};
    random_source random_{1};
    std::size_t writes_ = 0;
    std::size_t removals_ = 0;
    std::size_t reads_ = 0;
    result<void> write_outcome_ = ok();
    bool holds_checks_ = false; ///< The next check stays in progress.
    std::function<void(result<bool>)> held_check_;
    result<std::vector<endpoint>> list_outcome_ = std::vector<endpoint>();
    std::vector<endpoint> found_;
    bool heard_ = false;
    result<bool> present_ = true;

    void wait(duration d)
    {
        for (const time_point end = clock_.now() + d; clock_.now() < end;)
        {
            clock_.advance(10ms);
            timers_.run_due();
        }
    }

    std::unique_ptr<record_writer> start_writer()
    {
        record_writer::calls calls;
        calls.write = [this](const std::function<void(result<void>)>& done)
        {
            ++writes_;
            done(write_outcome_);
        };
        calls.remove = [this] { ++removals_; };
        calls.check = [this](const auto& done)
        {
            if (holds_checks_)
                held_check_ = done;
            else
                done(present_);
        };
        auto writer = std::make_unique<record_writer>(timers_, random_, calls);
        writer->start();
        return writer;
    }

    std::unique_ptr<balancer_search> start_search()
    {
        auto search = std::make_unique<balancer_search>(
            timers_, random_,
            [this](
                const std::function<void(result<std::vector<endpoint>>)>& done)
            {
                ++reads_;
                done(list_outcome_);
            });
        search->needed = [this] { return !heard_; };
        search->on_found = [this](const std::vector<endpoint>& addresses)
        { found_.insert(found_.end(), addresses.begin(), addresses.end()); };
        search->start();
        return search;
    }

    void record_is_written_once()
    {
        const auto writer = start_writer();
        wait(1min);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), writes_);
    }

    void failed_write_is_repeated()
    {
        const auto writer = start_writer();
        write_outcome_ = error{errc::store_unreachable};
        wait(10s);
        CPPUNIT_ASSERT(writes_ >= 3);
        write_outcome_ = ok();
        wait(20s);
        const std::size_t written = writes_;
        wait(1min);
        CPPUNIT_ASSERT_EQUAL(written, writes_);
    }

    /// A balancer removes the record of an agent that was paused or cut off for
    /// a minute. Without a record, balancers that start do not await the agent.
    void missing_record_is_written_again()
    {
        const auto writer = start_writer();
        wait(3min);
        present_ = error{errc::store_unreachable};
        wait(3min);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), writes_);
        present_ = false;
        clock_.advance(2min);
        wait(3s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), writes_);
    }

    /// The record was lost in a restore of the store while a check was in
    /// progress; the write that the restore had caused was canceled.
    void check_in_progress_does_not_cancel_a_write()
    {
        const auto writer = start_writer();
        wait(3s);
        holds_checks_ = true;
        wait(1min);
        writer->start();
        held_check_(error{errc::store_outcome_unknown});
        wait(3s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), writes_);
    }

    void record_is_removed_when_the_balancer_stops()
    {
        const auto early = start_writer();
        early->remove();
        wait(10s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), writes_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), removals_);
        const auto writer = start_writer();
        wait(10s);
        writer->remove();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), removals_);
    }

    /// The users' two-year size: 550 balancers, of which each write counts.
    /// The record was lost in the restore. A balancer that stops must not come
    /// back with it.
    void record_is_written_again_after_a_restore()
    {
        const auto writer = start_writer();
        wait(2s);
        writer->start();
        wait(2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), writes_);
        writer->remove();
        writer->start();
        wait(2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), writes_);
    }

    void balancers_that_start_together_write_at_different_times()
    {
        std::vector<std::unique_ptr<record_writer>> all(550);
        for (auto& writer : all)
            writer = start_writer();
        for (int i = 0; i < 20; ++i)
        {
            const std::size_t before = writes_;
            wait(100ms);
            CPPUNIT_ASSERT(writes_ - before < 60);
        }
        CPPUNIT_ASSERT_EQUAL(all.size(), writes_);
    }

    void nothing_is_read_while_balancers_are_heard()
    {
        const auto search = start_search();
        wait(1900ms);
        heard_ = true;
        wait(1min);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), reads_);
    }

    /// All seeds were down when everything was killed: the agents and the
    /// balancer that was left never found each other.
    void records_are_read_when_no_balancer_is_heard()
    {
        const auto search = start_search();
        list_outcome_ = std::vector<endpoint>{host_endpoint(9, 80)};
        wait(4s);
        CPPUNIT_ASSERT(!found_.empty());
        CPPUNIT_ASSERT(found_.front() == host_endpoint(9, 80));
        heard_ = true;
        wait(1min);
        const std::size_t reads = reads_;
        heard_ = false;
        wait(4s);
        CPPUNIT_ASSERT(reads_ > reads);
    }

    void failed_reads_back_off()
    {
        const auto search = start_search();
        list_outcome_ = error{errc::store_unreachable};
        wait(10min);
        CPPUNIT_ASSERT(reads_ >= 30);
        CPPUNIT_ASSERT(reads_ <= 120);
        CPPUNIT_ASSERT(found_.empty());
    }

    /// 600 records of balancers that are gone hid the living one for good, as
    /// each read tried a sample of 16. RECOVER allows 12 s.
    void all_records_are_tried_within_seconds()
    {
        std::vector<endpoint> all;
        for (std::uint16_t port = 1; port <= 601; ++port)
            all.push_back(host_endpoint(9, port));
        list_outcome_ = all;
        const auto search = start_search();
        search->on_found = [this](const std::vector<endpoint>& addresses)
        {
            CPPUNIT_ASSERT(addresses.size() <=
                           balancer_search::options().batch);
            found_.insert(found_.end(), addresses.begin(), addresses.end());
        };
        wait(8s);
        CPPUNIT_ASSERT(found_.size() >= all.size());
        std::sort(found_.begin(), found_.begin() + 601);
        CPPUNIT_ASSERT(std::equal(all.begin(), all.end(), found_.begin()));
        heard_ = true;
        wait(1s);
        const std::size_t tried = found_.size();
        wait(1min);
        CPPUNIT_ASSERT_EQUAL(tried, found_.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(balancer_records_test);

} // namespace
