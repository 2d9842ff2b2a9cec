#include "briarfield/core/clock.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <ctime>
#include <vector>

namespace
{

using namespace briarfield;
using namespace std::chrono_literals;

class clock_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(clock_test);
    CPPUNIT_TEST(calls_run_in_order_of_due_time);
    CPPUNIT_TEST(cancelled_call_does_not_run);
    CPPUNIT_TEST(time_of_a_suspension_counts);
    CPPUNIT_TEST_SUITE_END();

public:
    void calls_run_in_order_of_due_time()
    {
        manual_clock c;
        timer_queue q(c);
        std::vector<int> ran;
        q.schedule(2s, [&] { ran.push_back(2); });
        q.schedule(1s, [&] { ran.push_back(1); });
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, q.run_due());
        c.advance(3s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, q.run_due());
        CPPUNIT_ASSERT(ran == (std::vector<int>{1, 2}));
    }

    static duration boot_time()
    {
        timespec t{};
        CPPUNIT_ASSERT_EQUAL(0, clock_gettime(CLOCK_BOOTTIME, &t));
        return std::chrono::seconds(t.tv_sec) +
               std::chrono::nanoseconds(t.tv_nsec);
    }

    /// A test cannot suspend the instance, so it compares with the clock of the
    /// system that counts such time.
    void time_of_a_suspension_counts()
    {
        const steady_clock c;
        const duration before = boot_time();
        const time_point now = c.now();
        CPPUNIT_ASSERT(before <= now.since_origin);
        CPPUNIT_ASSERT(now.since_origin <= boot_time());
    }

    void cancelled_call_does_not_run()
    {
        manual_clock c;
        timer_queue q(c);
        bool ran = false;
        const timer_id id = q.schedule(1s, [&] { ran = true; });
        q.cancel(id);
        c.advance(2s);
        q.run_due();
        CPPUNIT_ASSERT(!ran);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(clock_test);

} // namespace
