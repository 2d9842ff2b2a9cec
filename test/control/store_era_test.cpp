#include "briarfield/control/store_era.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace briarfield;

class store_era_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_era_test);
    CPPUNIT_TEST(only_a_rise_is_a_restore);
    CPPUNIT_TEST(eras_that_are_no_whole_numbers_change_nothing);
    CPPUNIT_TEST_SUITE_END();

    /// The first era would make each start write twice; a late response of an
    /// earlier era would undo the restore.
    void only_a_rise_is_a_restore()
    {
        store_era era;
        CPPUNIT_ASSERT(era.observe("") == era_verdict::absent);
        CPPUNIT_ASSERT(era.observe("7") == era_verdict::same);
        CPPUNIT_ASSERT(era.observe("9") == era_verdict::newer);
        CPPUNIT_ASSERT(era.observe("9") == era_verdict::same);
        CPPUNIT_ASSERT(era.observe("8") == era_verdict::older);
        CPPUNIT_ASSERT(era.observe("10") == era_verdict::newer);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), era.restores());
    }

    /// A prefix that is a number must not count as an era.
    void eras_that_are_no_whole_numbers_change_nothing()
    {
        store_era era;
        for (const char* text : {"8x", "-8", "8.5", " 8", "+8", "0x8", "era",
                                 "99999999999999999999"})
            CPPUNIT_ASSERT_MESSAGE(text, era.observe(text) ==
                                             era_verdict::unreadable);
        CPPUNIT_ASSERT(!era.current());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_era_test);

} // namespace
