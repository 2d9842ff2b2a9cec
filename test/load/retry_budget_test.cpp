#include "briarfield/load/retry_budget.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace briarfield;
using namespace std::chrono_literals;

class retry_budget_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(retry_budget_test);
    CPPUNIT_TEST(retries_stay_a_ratio_of_first_attempts);
    CPPUNIT_TEST(infrequent_caller_may_retry);
    CPPUNIT_TEST(saved_retries_are_capped);
    CPPUNIT_TEST_SUITE_END();

public:
    void retries_stay_a_ratio_of_first_attempts()
    {
        retry_budget budget({0.1, 0, 10}, clock_);
        CPPUNIT_ASSERT(retries(budget, 1000) <= 10 + 100);
    }

    void infrequent_caller_may_retry()
    {
        retry_budget budget({0.1, 0.5, 10}, clock_);
        while (budget.try_retry())
            continue;
        clock_.advance(2s);
        CPPUNIT_ASSERT(budget.try_retry());
        CPPUNIT_ASSERT(!budget.try_retry());
    }

    void saved_retries_are_capped()
    {
        retry_budget budget({0.1, 0.5, 10}, clock_);
        clock_.advance(24h);
        for (int i = 0; i < 100000; ++i)
            budget.record_first_attempt();
        int retried = 0;
        while (budget.try_retry())
            ++retried;
        CPPUNIT_ASSERT_EQUAL(10, retried);
    }

private:
    /// Number of retries allowed if each of \a attempts requests is retried
    /// until the budget rejects it.
    static int retries(retry_budget& budget, int attempts)
    {
        int retried = 0;
        for (int i = 0; i < attempts; ++i)
        {
            budget.record_first_attempt();
            while (budget.try_retry())
                ++retried;
        }
        return retried;
    }

    manual_clock clock_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(retry_budget_test);

} // namespace
