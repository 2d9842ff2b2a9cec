#include "app/logging.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace briarfield;
using namespace briarfield::app;
using namespace std::chrono_literals;

class logging_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(logging_test);
    CPPUNIT_TEST(pairs_become_members);
    CPPUNIT_TEST(other_lines_become_a_message);
    CPPUNIT_TEST(bursts_are_limited_and_counted);
    CPPUNIT_TEST_SUITE_END();

public:
    void pairs_become_members()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string(R"({"time":"t","level":"info","event":"x",)"
                        R"("error":"a \\ b=c","n":"1"})"),
            json_log_line("t", "info", R"(event=x error="a \ b=c" n=1)"));
    }

    void other_lines_become_a_message()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string(
                R"({"time":"t","level":"info","message":"just \"words\""})"),
            json_log_line("t", "info", R"(just "words")"));
    }

    void bursts_are_limited_and_counted()
    {
        line_budget budget;
        const time_point start{1h};
        for (int i = 0; i < 250; ++i)
            budget.try_take(start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{50}, budget.suppressed());
        CPPUNIT_ASSERT(!budget.try_take(start));
        CPPUNIT_ASSERT(budget.try_take(start + 1s));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(logging_test);

} // namespace
