#include "briarfield/core/error.hpp"

#include "support/temporary_directory.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <set>
#include <string>

namespace
{

using namespace briarfield;

class error_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(error_test);
    CPPUNIT_TEST(numbers_and_names_are_unique);
    CPPUNIT_TEST(message_contains_name_number_and_detail);
    CPPUNIT_TEST(every_code_is_documented);
    CPPUNIT_TEST_SUITE_END();

public:
    void numbers_and_names_are_unique()
    {
        std::set<errc> codes;
        std::set<std::string_view> names;
        for (const auto* row = errc_table_begin(); row != errc_table_end();
             ++row)
        {
            CPPUNIT_ASSERT(codes.insert(row->code).second);
            CPPUNIT_ASSERT(names.insert(row->name).second);
        }
    }

    void message_contains_name_number_and_detail()
    {
        const error e(errc::store_conflict, "Service himal/datum-live");
        CPPUNIT_ASSERT_EQUAL(
            std::string("store_conflict (202): Service himal/datum-live"),
            e.message());
    }

    void every_code_is_documented()
    {
        const std::string page = read_source_file("docs/ERRORS.md");
        std::size_t documented = 0;
        for (const auto* row = errc_table_begin(); row != errc_table_end();
             ++row)
        {
            const std::string line =
                "\n| " + std::to_string(static_cast<unsigned>(row->code)) +
                " | `" + std::string(row->name) + "` | " +
                std::string(row->summary) + " | ";
            CPPUNIT_ASSERT_MESSAGE(line, page.find(line) != std::string::npos);
            ++documented;
        }
        std::size_t lines = 0;
        for (auto at = page.find("` | "); at != std::string::npos;
             at = page.find("` | ", at + 1))
            ++lines;
        CPPUNIT_ASSERT_EQUAL(documented, lines);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(error_test);

} // namespace
