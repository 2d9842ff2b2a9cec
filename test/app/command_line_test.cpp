#include "app/command_line.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace briarfield;
using namespace briarfield::app;

using words = std::vector<std::string>;

class command_line_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(command_line_test);
    CPPUNIT_TEST(daemon_options_are_read);
    CPPUNIT_TEST(check_options_are_read);
    CPPUNIT_TEST(help_and_version_return_text);
    CPPUNIT_TEST(errors_suggest_the_closest_name);
    CPPUNIT_TEST_SUITE_END();

public:
    void daemon_options_are_read()
    {
        const auto parsed =
            parse_command_line({"agent", "-s", "a.ini", "--log-level=debug",
                                "--log-format", "json"});
        CPPUNIT_ASSERT(parsed.has_value());
        CPPUNIT_ASSERT(parsed.value().verb == subcommand::agent);
        CPPUNIT_ASSERT_EQUAL(std::string("a.ini"),
                             parsed.value().settings_file);
        CPPUNIT_ASSERT_EQUAL(std::string("debug"), parsed.value().log_level);
        CPPUNIT_ASSERT_EQUAL(std::string("json"), parsed.value().log_format);
    }

    void check_options_are_read()
    {
        const auto reference = parse_command_line({"check", "--reference"});
        CPPUNIT_ASSERT(reference.has_value() && reference.value().reference);
        const auto file =
            parse_command_line({"check", "-s", "b.ini", "--for", "balancer"});
        CPPUNIT_ASSERT(file.has_value());
        CPPUNIT_ASSERT(file.value().role == daemon_role::balancer);
    }

    void help_and_version_return_text()
    {
        for (const words& w :
             {words{"--help"}, words{"--version"}, words{"balancer", "--help"},
              words{"agent", "-h"}, words{"check", "--help"}})
        {
            const auto parsed = parse_command_line(w);
            CPPUNIT_ASSERT(parsed.has_value());
            CPPUNIT_ASSERT(!parsed.value().text.empty());
        }
    }

    void errors_suggest_the_closest_name()
    {
        struct row
        {
            words line;
            const char* expected;
        };
        const row rows[] = {
            {{}, "a subcommand is needed"},
            {{"balancr"},
             "unknown subcommand 'balancr'; did you mean 'balancer'?"},
            {{"zzzzzzz"}, "unknown subcommand 'zzzzzzz'"},
            {{"--verson"},
             "unknown option '--verson'; did you mean "
             "'--version'?"},
            {{"agent"}, "agent needs --settings FILE"},
            {{"agent", "--setings", "x"},
             "unknown option '--setings'; did you mean '--settings'?"},
            {{"agent", "--log-lvel=info", "-s", "x"},
             "unknown option '--log-lvel'; did you mean '--log-level'?"},
            {{"agent", "-s", "x", "extra"}, "unexpected argument 'extra'"},
            {{"agent", "--settings"},
             "option '--settings' lacks its value or has one too many"},
            {{"agent", "-s", "x", "--log-level", "loud"},
             "--log-level: found 'loud', expected trace or debug or info or "
             "warn or error"},
            {{"check", "-s", "x", "--for", "ctl"},
             "--for: found 'ctl', expected balancer or agent"},
        };
        for (const row& r : rows)
        {
            const auto parsed = parse_command_line(r.line);
            CPPUNIT_ASSERT_MESSAGE(r.expected, parsed.has_error());
            CPPUNIT_ASSERT(parsed.error().code == errc::usage);
            CPPUNIT_ASSERT_EQUAL(std::string(r.expected),
                                 parsed.error().detail);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(command_line_test);

} // namespace
