#include "briarfield/dispatch/outlier_ejection.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace briarfield;
using namespace std::chrono_literals;

class outlier_ejection_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(outlier_ejection_test);
    CPPUNIT_TEST(one_failure_does_not_eject);
    CPPUNIT_TEST(failures_between_answers_do_not_eject);
    CPPUNIT_TEST(consecutive_failures_eject_for_the_base_time);
    CPPUNIT_TEST(failure_during_an_ejection_restarts_its_time);
    CPPUNIT_TEST(failed_trial_ejects_again_for_twice_as_long);
    CPPUNIT_TEST(answered_trial_ends_the_trial);
    CPPUNIT_TEST(ejection_time_has_a_maximum);
    CPPUNIT_TEST(old_failures_are_forgotten);
    CPPUNIT_TEST(new_incarnation_starts_anew);
    CPPUNIT_TEST_SUITE_END();

    manual_clock clock_;
    outlier_ejection ejection_{clock_};

public:
    void setUp() override { clock_.advance(1h); }

private:
    void fail_until_ejected()
    {
        while (!ejection_.record_failure())
            CPPUNIT_ASSERT(!ejection_.ejected());
    }

    /// Time until the server gets new flows again.
    duration remaining()
    {
        duration waited{};
        for (; ejection_.ejected(); waited += 100ms)
            clock_.advance(100ms);
        return waited;
    }

    void one_failure_does_not_eject()
    {
        CPPUNIT_ASSERT(!ejection_.record_failure());
        CPPUNIT_ASSERT(!ejection_.ejected());
    }

    void failures_between_answers_do_not_eject()
    {
        for (int i = 0; i < 10; ++i)
        {
            CPPUNIT_ASSERT(!ejection_.record_failure());
            ejection_.record_success();
        }
    }

    void consecutive_failures_eject_for_the_base_time()
    {
        CPPUNIT_ASSERT(!ejection_.record_failure());
        CPPUNIT_ASSERT(ejection_.record_failure());
        CPPUNIT_ASSERT(remaining() == outlier_ejection::base_time);
    }

    void failure_during_an_ejection_restarts_its_time()
    {
        fail_until_ejected();
        clock_.advance(outlier_ejection::base_time - 100ms);
        CPPUNIT_ASSERT(!ejection_.record_failure());
        CPPUNIT_ASSERT(remaining() == outlier_ejection::base_time);
    }

    void failed_trial_ejects_again_for_twice_as_long()
    {
        fail_until_ejected();
        remaining();
        CPPUNIT_ASSERT(ejection_.record_failure());
        CPPUNIT_ASSERT(remaining() == 2 * outlier_ejection::base_time);
    }

    void answered_trial_ends_the_trial()
    {
        fail_until_ejected();
        remaining();
        ejection_.record_success();
        CPPUNIT_ASSERT(!ejection_.record_failure());
        CPPUNIT_ASSERT(ejection_.record_failure());
    }

    void ejection_time_has_a_maximum()
    {
        duration longest{};
        for (int i = 0; i < 10; ++i)
        {
            fail_until_ejected();
            longest = remaining();
        }
        CPPUNIT_ASSERT(longest == outlier_ejection::max_time);
    }

    void old_failures_are_forgotten()
    {
        fail_until_ejected();
        remaining();
        fail_until_ejected();
        remaining();
        ejection_.record_success();
        clock_.advance(outlier_ejection::memory);
        fail_until_ejected();
        CPPUNIT_ASSERT(remaining() == outlier_ejection::base_time);
    }

    void new_incarnation_starts_anew()
    {
        fail_until_ejected();
        ejection_.clear();
        CPPUNIT_ASSERT(!ejection_.ejected());
        CPPUNIT_ASSERT(!ejection_.record_failure());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(outlier_ejection_test);

} // namespace
