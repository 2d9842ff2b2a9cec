#include "app/key_file.hpp"
#include "app/setting_row.hpp"
#include "app/settings.hpp"

#include "support/temporary_directory.hpp"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <set>

namespace
{

using namespace briarfield;
using namespace briarfield::app;
using namespace std::chrono_literals;

constexpr const char* agent_text = R"(
[instance]
name = agent-1
zone = a
region = bagmati
[keys]
overlay = /keys/overlay
control = /keys/control
[http]
address = 127.0.0.1:9000
[agent]
overlay = 127.0.0.1:9001
server = 127.0.0.1:9002
control = 127.0.0.1:9003
server_address = 127.0.0.1:9004
fabric_address = 127.0.0.1:9005
team = himal
service = datum-live
balancers = 127.0.0.1:9006
    127.0.0.1:9007
)";

class settings_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(settings_test);
    CPPUNIT_TEST(rows_are_complete);
    CPPUNIT_TEST(values_and_defaults_are_read);
    CPPUNIT_TEST(empty_value_leaves_the_default);
    CPPUNIT_TEST(empty_value_of_a_key_that_is_not_needed_is_passed_over);
    CPPUNIT_TEST(variables_of_the_environment_take_precedence);
    CPPUNIT_TEST(variables_without_a_value_leave_the_default);
    CPPUNIT_TEST(variables_can_give_required_keys);
    CPPUNIT_TEST(errors_name_the_variable);
    CPPUNIT_TEST(reload_keeps_what_the_environment_gives);
    CPPUNIT_TEST(effective_settings_parse_to_the_same_values);
    CPPUNIT_TEST(errors_state_file_line_key_found_and_expected);
    CPPUNIT_TEST(all_errors_are_reported);
    CPPUNIT_TEST(required_keys_depend_on_the_daemon);
    CPPUNIT_TEST(reload_applies_only_reloadable_keys);
    CPPUNIT_TEST(secrets_need_mode_0600);
    CPPUNIT_TEST(key_files_hold_id_and_key);
    CPPUNIT_TEST(reference_page_is_current);
    CPPUNIT_TEST_SUITE_END();

    static settings_report parse(const std::string& text,
                                 daemon_role role = daemon_role::any)
    {
        return parse_settings(text, "f.ini", role);
    }

    using variables = std::map<std::string, std::string>;

    static environment_lookup environment_of(const variables& all)
    {
        return [all](const std::string& name) -> std::optional<std::string>
        {
            const auto found = all.find(name);
            if (found == all.end())
                return std::nullopt;
            return found->second;
        };
    }

    static settings_report parse_with(const variables& all,
                                      const std::string& text = "",
                                      daemon_role role = daemon_role::any)
    {
        return parse_settings(text, "f.ini", role, environment_of(all));
    }

    static std::string first_error(const std::string& text)
    {
        const settings_report r = parse(text);
        CPPUNIT_ASSERT(!r.errors.empty());
        return r.errors.front().message();
    }

public:
    void rows_are_complete()
    {
        std::set<std::string> paths;
        for (const auto* r = setting_rows_begin(); r != setting_rows_end(); ++r)
        {
            CPPUNIT_ASSERT_MESSAGE(r->path(), paths.insert(r->path()).second);
            CPPUNIT_ASSERT_MESSAGE(r->path(), !r->text.empty());
            settings s;
            for (const auto value :
                 {r->default_value, r->min_value, r->max_value})
                if (!value.empty())
                    CPPUNIT_ASSERT_MESSAGE(r->path(),
                                           set_value(*r, s, value).has_value());
        }
    }

    void values_and_defaults_are_read()
    {
        const settings_report r = parse(agent_text, daemon_role::agent);
        CPPUNIT_ASSERT(r.errors.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("agent-1"), r.values.instance_name);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, r.values.balancers.size());
        CPPUNIT_ASSERT(r.values.agent_drain_limit == duration(24h));
        CPPUNIT_ASSERT_EQUAL(std::string("info"), r.values.log_level);
    }

    /// Templates are filled in with nothing where the platform has no value.
    void empty_value_leaves_the_default()
    {
        const settings_report r = parse("[store]\nconfig_bound_ms =\n");
        CPPUNIT_ASSERT(r.errors.empty());
        CPPUNIT_ASSERT_EQUAL(3000U, r.values.store_config_bound_ms);
        CPPUNIT_ASSERT(!parse("[store]\naddress =\n").errors.empty());
    }

    /// A platform that gives no region must not keep a daemon from starting
    /// that needs none.
    void empty_value_of_a_key_that_is_not_needed_is_passed_over()
    {
        const std::string text = "[instance]\nregion =\n";
        const auto names_region = [](const settings_report& r)
        {
            return std::any_of(r.errors.begin(), r.errors.end(),
                               [](const error& e) {
                                   return e.detail.find("instance.region") !=
                                          std::string::npos;
                               });
        };
        CPPUNIT_ASSERT(!names_region(parse(text, daemon_role::relay_balancer)));
        CPPUNIT_ASSERT(names_region(parse(text, daemon_role::balancer)));
    }

    void variables_of_the_environment_take_precedence()
    {
        const settings_report r =
            parse_with({{"BRIARFIELD_RELAY_MAX_FLOW_AGE_S", "45"},
                        {"BRIARFIELD_LOG_LEVEL", "debug"}},
                       "[relay]\nmax_flow_age_s = 30\n");
        CPPUNIT_ASSERT(r.errors.empty());
        CPPUNIT_ASSERT_EQUAL(45U, r.values.relay_max_flow_age_s);
        CPPUNIT_ASSERT_EQUAL(std::string("debug"), r.values.log_level);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, r.values.environment_keys.size());
        CPPUNIT_ASSERT_EQUAL(std::string("relay.max_flow_age_s"),
                             r.values.environment_keys.front());
    }

    /// A platform leaves a variable empty, or a placeholder as it is, for what
    /// it does not have.
    void variables_without_a_value_leave_the_default()
    {
        const settings_report r =
            parse_with({{"BRIARFIELD_RELAY_MAX_FLOW_AGE_S", "{{A.Field}}"},
                        {"BRIARFIELD_STORE_EVACUATION_BOUND_MS", ""}},
                       "[store]\nevacuation_bound_ms = 500\n");
        CPPUNIT_ASSERT(r.errors.empty());
        CPPUNIT_ASSERT_EQUAL(60U, r.values.relay_max_flow_age_s);
        CPPUNIT_ASSERT_EQUAL(500U, r.values.store_evacuation_bound_ms);
        CPPUNIT_ASSERT(r.values.environment_keys.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             r.values.unfilled_variables.size());
    }

    void variables_can_give_required_keys()
    {
        std::string text = agent_text;
        text.erase(text.find("region = bagmati\n"), 17);
        CPPUNIT_ASSERT(!parse(text, daemon_role::agent).errors.empty());
        const settings_report r =
            parse_with({{"BRIARFIELD_INSTANCE_REGION", "himal"}}, text,
                       daemon_role::agent);
        CPPUNIT_ASSERT(r.errors.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("himal"), r.values.instance_region);
    }

    void errors_name_the_variable()
    {
        const settings_report r =
            parse_with({{"BRIARFIELD_RELAY_MAX_FLOW_AGE_S", "0"}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, r.errors.size());
        CPPUNIT_ASSERT_EQUAL(
            std::string("settings_bad_value (103): "
                        "BRIARFIELD_RELAY_MAX_FLOW_AGE_S: found '0', expected "
                        "a whole number, from 1 to 86400"),
            r.errors.front().message());
    }

    /// A reload must not take what the environment gives for a change of the
    /// file, which it would refuse.
    void reload_keeps_what_the_environment_gives()
    {
        const temporary_directory directory;
        const std::string file = directory.write("s.ini", "");
        const environment_lookup environment =
            environment_of({{"BRIARFIELD_RELAY_MAX_FLOW_AGE_S", "45"}});
        settings current =
            load_settings(file, daemon_role::any, environment).value();
        directory.write("s.ini", "[log]\nlevel = debug\n");
        const auto changed = load_settings(file, daemon_role::any, environment);
        CPPUNIT_ASSERT(apply_reload(current, changed.value()).has_value());
        CPPUNIT_ASSERT_EQUAL(45U, current.relay_max_flow_age_s);
        CPPUNIT_ASSERT_EQUAL(std::string("debug"), current.log_level);
    }

    void effective_settings_parse_to_the_same_values()
    {
        const std::string text = effective_settings(parse(agent_text).values);
        const settings_report reparsed = parse(text, daemon_role::agent);
        CPPUNIT_ASSERT(reparsed.errors.empty());
        CPPUNIT_ASSERT_EQUAL(text, effective_settings(reparsed.values));
    }

    void errors_state_file_line_key_found_and_expected()
    {
        struct row
        {
            const char* text;
            const char* expected;
        };
        const row rows[] = {
            {"[instance]\nnmae = a\n",
             "settings_unknown_key (102): f.ini:2: found key "
             "'instance.nmae', expected a known key; did you mean "
             "'instance.name'?"},
            {"[instance]\nname = a b\n",
             "settings_bad_value (103): f.ini:2: instance.name: found 'a b', "
             "expected a name of letters, digits, '.', '_' and '-'"},
            {"[balancer]\n\ndrain_limit = 30\n",
             "settings_bad_value (103): f.ini:3: balancer.drain_limit: found "
             "'30', expected a duration such as 250ms, 30s, 5min or 2h, from "
             "1s to 24h"},
            {"[balancer]\ndrain_limit = 25h\n",
             "settings_bad_value (103): f.ini:2: balancer.drain_limit: found "
             "'25h', expected a duration such as 250ms, 30s, 5min or 2h, from "
             "1s to 24h"},
            {"[log]\nlevel = loud\n",
             "settings_bad_value (103): f.ini:2: log.level: found 'loud', "
             "expected trace or debug or info or warn or error"},
            {"[http]\naddress = localhost:80\n",
             "settings_bad_value (103): f.ini:2: http.address: found "
             "'localhost:80', expected an address and port such as "
             "192.0.2.1:80 or [2001:db8::1]:80"},
            {"[instance]\nname = a\nname = b\n",
             "settings_bad_value (103): f.ini:3: instance.name: found a "
             "second value, expected one; the first is in line 2"},
            {"[instance]\nname\n",
             "settings_syntax (101): f.ini:2: found neither a [section], a "
             "key = value nor a comment"},
        };
        for (const row& r : rows)
            CPPUNIT_ASSERT_EQUAL(std::string(r.expected), first_error(r.text));
    }

    void all_errors_are_reported()
    {
        const settings_report r =
            parse("[instance]\nname = ?\nzone = ?\nregion = ?\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, r.errors.size());
    }

    void required_keys_depend_on_the_daemon()
    {
        const settings_report r = parse(agent_text, daemon_role::balancer);
        CPPUNIT_ASSERT(!r.errors.empty());
        for (const error& e : r.errors)
            CPPUNIT_ASSERT(e.code == errc::settings_missing_key);
    }

    void reload_applies_only_reloadable_keys()
    {
        const settings before = parse(agent_text).values;
        settings current = before;
        settings changed = before;
        changed.log_level = "debug";
        CPPUNIT_ASSERT(apply_reload(current, changed).has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("debug"), current.log_level);
        changed.log_level = "warn";
        changed.instance_name = "other";
        const auto rejected = apply_reload(current, changed);
        CPPUNIT_ASSERT(rejected.has_error());
        CPPUNIT_ASSERT(rejected.error().code == errc::settings_bad_value);
        CPPUNIT_ASSERT_EQUAL(std::string("debug"), current.log_level);
    }

    void secrets_need_mode_0600()
    {
        const temporary_directory directory;
        const std::string file = directory.write("secret", "1 00");
        CPPUNIT_ASSERT(read_secret(file).has_value());
        directory.set_mode("secret", 0640);
        const auto rejected = read_secret(file);
        CPPUNIT_ASSERT(rejected.has_error());
        CPPUNIT_ASSERT(rejected.error().code == errc::file_permissions);
        CPPUNIT_ASSERT(read_secret(file + ".no").error().code ==
                       errc::file_unreadable);
    }

    void key_files_hold_id_and_key()
    {
        const std::string hex = "000102030405060708090a0b0c0d0e0f";
        const auto key = parse_key_file("7 " + hex + "\n", "k");
        CPPUNIT_ASSERT(key.has_value());
        CPPUNIT_ASSERT_EQUAL(7U, unsigned{key.value().id});
        CPPUNIT_ASSERT_EQUAL(std::size_t{16}, key.value().bytes.size());
        for (const std::string& text :
             {std::string(), std::string("7"), "256 " + hex, "7 " + hex + "0",
              "7 " + hex.substr(2), "7  " + hex, "x " + hex,
              std::string("\x01\x02", 2)})
            CPPUNIT_ASSERT_MESSAGE(text, parse_key_file(text, "k").has_error());
        const auto binary = parse_key_file(std::string(32, '\x80'), "k");
        CPPUNIT_ASSERT(binary.has_value());
        CPPUNIT_ASSERT_EQUAL(1U, unsigned{binary.value().id});
    }

    void reference_page_is_current()
    {
        CPPUNIT_ASSERT_EQUAL(read_source_file("docs/reference/settings.md"),
                             settings_reference());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(settings_test);

} // namespace
