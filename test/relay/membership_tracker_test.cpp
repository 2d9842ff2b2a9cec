#include "briarfield/relay/membership_tracker.hpp"

#include "support/dispatch_world.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace briarfield;
using namespace briarfield::test;
using namespace std::chrono_literals;

class membership_tracker_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(membership_tracker_test);
    CPPUNIT_TEST(failed_reads_are_repeated);
    CPPUNIT_TEST(reads_may_be_stale_after_the_first_one);
    CPPUNIT_TEST(records_without_an_owner_are_removed_in_parts);
    CPPUNIT_TEST_SUITE_END();

    manual_clock clock_;
    timer_queue timers_{clock_};
    random_source random_{1};
    result<record_list> stored_ = record_list();
    std::vector<bool> reads_; ///< Whether each may have been stale.
    std::size_t removals_ = 0;
    std::size_t losses_ = 0;
    std::unique_ptr<membership_tracker> tracker_;

    void start()
    {
        membership_tracker::calls calls;
        calls.list = [this](member_kind, bool stale_allowed, const auto& done)
        {
            reads_.push_back(stale_allowed);
            done(stored_);
        };
        calls.remove =
            [this](member_kind, const membership_record&, const auto& done)
        {
            ++removals_;
            done(ok());
        };
        tracker_ = std::make_unique<membership_tracker>(timers_, random_, calls,
                                                        host_endpoint(1, 80));
        tracker_->send_hellos = [](const auto&) {};
        tracker_->balancers = [] { return std::vector<endpoint>(); };
        tracker_->on_lost = [this](member_kind, const error&) { ++losses_; };
        tracker_->start();
    }

    void wait(duration d)
    {
        for (const time_point end = clock_.now() + d; clock_.now() < end;)
        {
            clock_.advance(50ms);
            timers_.run_due();
        }
    }

    void failed_reads_are_repeated()
    {
        stored_ = error{errc::store_unreachable};
        start();
        wait(3s);
        CPPUNIT_ASSERT(reads_.size() >= 6);
        CPPUNIT_ASSERT(!reads_.back());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, losses_);
        CPPUNIT_ASSERT(!tracker_->view().confirmed());
        stored_ = record_list();
        wait(3s);
        CPPUNIT_ASSERT(tracker_->view().confirmed());
    }

    /// The rate of reads of the store is limited, and stale ones are not
    /// counted. The first one must show what the balancer has missed.
    void reads_may_be_stale_after_the_first_one()
    {
        start();
        CPPUNIT_ASSERT((reads_ == std::vector<bool>{false, false}));
        wait(3100ms);
        CPPUNIT_ASSERT((reads_ == std::vector<bool>{false, false, true, true}));
        reads_.clear();
        wait(60s);
        CPPUNIT_ASSERT(reads_.size() >= 8 && reads_.size() <= 10);
        reads_.clear();
        clock_.advance(2s);
        timers_.run_due();
        CPPUNIT_ASSERT((reads_ == std::vector<bool>{false, false}));
    }

    void records_without_an_owner_are_removed_in_parts()
    {
        record_list all;
        for (std::uint16_t port = 1; port <= 600; ++port)
            all.push_back({std::to_string(port), host_endpoint(9, port), 1, 1});
        stored_ = all;
        start();
        wait(60s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, removals_);
        wait(30s);
        CPPUNIT_ASSERT(removals_ > 0);
        CPPUNIT_ASSERT(removals_ <=
                       6 * membership_tracker::options().max_removals);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(membership_tracker_test);

} // namespace
