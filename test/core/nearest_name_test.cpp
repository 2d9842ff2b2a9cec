#include "briarfield/core/nearest_name.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace briarfield;

class nearest_name_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(nearest_name_test);
    CPPUNIT_TEST(distance_counts_edits);
    CPPUNIT_TEST(only_near_names_are_suggested);
    CPPUNIT_TEST_SUITE_END();

public:
    void distance_counts_edits()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, edit_distance("", ""));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, edit_distance("abc", ""));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3},
                             edit_distance("kitten", "sitting"));
    }

    void only_near_names_are_suggested()
    {
        const std::vector<std::string> known{"apply", "watch", "delete"};
        CPPUNIT_ASSERT_EQUAL(std::string("apply"), nearest_name("aply", known));
        CPPUNIT_ASSERT_EQUAL(std::string(), nearest_name("restart", known));
        CPPUNIT_ASSERT_EQUAL(std::string("; did you mean 'watch'?"),
                             did_you_mean("wacth", known));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(nearest_name_test);

} // namespace
