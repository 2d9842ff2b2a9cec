#include "app/ctl.hpp"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <sstream>

namespace
{

using namespace briarfield;
using namespace briarfield::app;
using json = nlohmann::json;

json team(const std::string& name)
{
    return {{"apiVersion", "briarfield.dev/v1"},
            {"kind", "Team"},
            {"metadata", {{"name", name}}},
            {"spec", json::object()}};
}

class ctl_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ctl_test);
    CPPUNIT_TEST(one_object_or_a_list_is_read);
    CPPUNIT_TEST(errors_name_file_object_and_field);
    CPPUNIT_TEST(difference_lists_changed_fields);
    CPPUNIT_TEST(table_has_one_line_per_object);
    CPPUNIT_TEST_SUITE_END();

public:
    void one_object_or_a_list_is_read()
    {
        const auto one = parse_manifest(team("himal").dump(), "f");
        CPPUNIT_ASSERT(one.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("himal"), one.value()[0].key.name);
        const json list = {team("himal"), team("wadi-rum")};
        const auto two = parse_manifest(list.dump(), "f");
        CPPUNIT_ASSERT(two.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, two.value().size());
    }

    void errors_name_file_object_and_field()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("f: not JSON"), detail("{"));
        json bad = team("himal");
        bad["spec"]["colour"] = "red";
        const std::string text = detail(json{team("a"), bad}.dump());
        for (const char* part : {"f: object 2", "Team himal", "spec.colour"})
            CPPUNIT_ASSERT_MESSAGE(text, text.find(part) != std::string::npos);
    }

    void difference_lists_changed_fields()
    {
        const json before = {{"share", 1}, {"pool", "a"}};
        const json after = {{"share", 2}, {"pool", "a"}, {"urgency", "high"}};
        CPPUNIT_ASSERT_EQUAL(std::string("  - share: 1\n  + share: 2\n"
                                         "  + urgency: \"high\"\n"),
                             spec_difference(before, after));
        CPPUNIT_ASSERT(spec_difference(before, before).empty());
    }

    void table_has_one_line_per_object()
    {
        stored_object object;
        object.key = {object_kind::service, "himal", "datum-live"};
        object.version = 7;
        std::ostringstream out;
        print_table({object, object}, out);
        const std::string text = out.str();
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{3},
                             std::count(text.begin(), text.end(), '\n'));
        CPPUNIT_ASSERT(text.find("datum-live") != std::string::npos);
    }

private:
    static std::string detail(const std::string& text)
    {
        const auto parsed = parse_manifest(text, "f");
        CPPUNIT_ASSERT(parsed.has_error());
        return parsed.error().detail;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ctl_test);

} // namespace
