#include "command_line.hpp"

#include "ctl.hpp"

#include "daemon.hpp"
#include "exit_code.hpp"

#include "briarfield/core/nearest_name.hpp"

#include <algorithm>
#include <cxxopts.hpp>
#include <functional>
#include <iostream>

namespace briarfield::app
{

namespace
{

constexpr const char* program_help =
    R"(briarfield: a layer-4 load balancer

Usage:
  briarfield SUBCOMMAND [OPTION...]

Subcommands:
  balancer  Receives packets from the fabric and forwards them to agents
  agent     Runs beside a backend server and is the authority on its flows
  check     Validates a settings file and prints the effective settings
  ctl       Reads and writes the operators' objects in the object API

  -h, --help  Show this help, or that of a subcommand
  --version   Show the version

Exit codes:
  0  done
  1  the operation was rejected or failed
  2  the command line or the settings are wrong
  3  the daemon could not start
  4  the daemon stopped with flows still open
)";

constexpr const char* balancer_examples =
    R"(
Examples:
  briarfield balancer --settings /etc/briarfield/balancer.ini
  briarfield balancer -s balancer.ini --log-level debug --log-format json

Signals: SIGHUP reloads settings and keys, SIGTERM drains, a second SIGTERM
stops immediately.
)";

constexpr const char* agent_examples =
    R"(
Examples:
  briarfield agent --settings /etc/briarfield/agent.ini
  briarfield agent -s agent.ini --log-format json

Signals: SIGHUP reloads settings and keys, SIGTERM drains until no flow is
left, a second SIGTERM stops immediately.
)";

constexpr const char* check_examples =
    R"(
Examples:
  briarfield check -s balancer.ini --for balancer
  briarfield check --reference > docs/reference/settings.md
)";

struct subcommand_row
{
    subcommand verb;
    std::string_view name;
    std::string_view summary;
    const char* examples;
};

constexpr subcommand_row subcommands[] = {
    {subcommand::balancer, "balancer",
     "Receives packets from the fabric and forwards them to agents.",
     balancer_examples},
    {subcommand::agent, "agent",
     "Runs beside a backend server and is the authority on its flows.",
     agent_examples},
    {subcommand::check, "check",
     "Validates a settings file and prints the effective settings.",
     check_examples}};

using argument_list = std::vector<std::string>;

cxxopts::Options options_of(const subcommand_row& row)
{
    cxxopts::Options options("briarfield " + std::string(row.name),
                             std::string(row.summary));
    auto add = options.add_options();
    add("h,help", "Show this help");
    add("s,settings", "Settings file", cxxopts::value<std::string>(), "FILE");
    if (row.verb == subcommand::check)
    {
        add("for",
            "Check the keys that this daemon requires: balancer or agent",
            cxxopts::value<std::string>(), "DAEMON");
        add("reference", "Print the reference page of all keys");
    }
    else
    {
        add("log-level", "trace, debug, info, warn or error",
            cxxopts::value<std::string>(), "LEVEL");
        add("log-format", "text or json", cxxopts::value<std::string>(),
            "FORMAT");
    }
    options.allow_unrecognised_options();
    return options;
}

argument_list option_names(const cxxopts::Options& options)
{
    argument_list names;
    for (const std::string& group : options.groups())
        for (const auto& option : options.group_help(group).options)
            for (const std::string& name : option.l)
                names.push_back("--" + name);
    return names;
}

auto usage_error(const std::string& detail)
{
    return fail(errc::usage, detail);
}

result<void> check_unmatched(const cxxopts::Options& options,
                             const argument_list& unmatched)
{
    if (unmatched.empty())
        return ok();
    const std::string& word = unmatched.front();
    if (word.empty() || word.front() != '-')
        return usage_error("unexpected argument '" + word + "'");
    const std::string name = word.substr(0, word.find('='));
    return usage_error("unknown option '" + name + "'" +
                       did_you_mean(name, option_names(options)));
}

result<std::string> read_choice(const cxxopts::ParseResult& parsed,
                                const std::string& name,
                                const argument_list& choices)
{
    if (parsed.count(name) == 0)
        return std::string();
    const auto value = parsed[name].as<std::string>();
    if (std::find(choices.begin(), choices.end(), value) != choices.end())
        return value;
    std::string expected;
    for (const std::string& choice : choices)
        expected += (expected.empty() ? "" : " or ") + choice;
    return usage_error("--" + name + ": found '" + value + "', expected " +
                       expected);
}

result<void> read_daemon_options(const cxxopts::ParseResult& parsed,
                                 command& out)
{
    auto level = read_choice(parsed, "log-level",
                             {"trace", "debug", "info", "warn", "error"});
    if (!level)
        return usage_error(level.error().detail);
    auto format = read_choice(parsed, "log-format", {"text", "json"});
    if (!format)
        return usage_error(format.error().detail);
    out.log_level = level.value();
    out.log_format = format.value();
    return ok();
}

result<void> read_check_options(const cxxopts::ParseResult& parsed,
                                command& out)
{
    auto daemon = read_choice(parsed, "for", {"balancer", "agent"});
    if (!daemon)
        return usage_error(daemon.error().detail);
    if (daemon.value() == "balancer")
        out.role = daemon_role::balancer;
    if (daemon.value() == "agent")
        out.role = daemon_role::agent;
    out.reference = parsed.count("reference") != 0;
    return ok();
}

result<command> make_command(const subcommand_row& row,
                             const cxxopts::Options& options,
                             const cxxopts::ParseResult& parsed)
{
    command out;
    out.verb = row.verb;
    auto matched = check_unmatched(options, parsed.unmatched());
    if (!matched)
        return usage_error(matched.error().detail);
    if (parsed.count("help") != 0)
    {
        out.text = options.help() + row.examples;
        return out;
    }
    if (parsed.count("settings") != 0)
        out.settings_file = parsed["settings"].as<std::string>();
    auto options_read = row.verb == subcommand::check
                            ? read_check_options(parsed, out)
                            : read_daemon_options(parsed, out);
    if (!options_read)
        return usage_error(options_read.error().detail);
    if (out.settings_file.empty() && !out.reference)
        return usage_error(std::string(row.name) + " needs --settings FILE");
    return out;
}

result<command> parse_subcommand(const subcommand_row& row,
                                 const argument_list& rest)
{
    cxxopts::Options options = options_of(row);
    std::vector<const char*> argv{"briarfield"};
    for (const std::string& word : rest)
        argv.push_back(word.c_str());
    try
    {
        const auto parsed =
            options.parse(static_cast<int>(argv.size()), argv.data());
        return make_command(row, options, parsed);
    }
    catch (const cxxopts::exceptions::exception&)
    {
        return usage_error(rest.empty()
                               ? "wrong option"
                               : "option '" + rest.back() +
                                     "' lacks its value or has one too many");
    }
}

const subcommand_row* find_subcommand(const std::string& name)
{
    const auto* found = std::find_if(
        std::begin(subcommands), std::end(subcommands),
        [&name](const subcommand_row& r) { return r.name == name; });
    return found == std::end(subcommands) ? nullptr : found;
}

argument_list subcommand_names()
{
    argument_list names;
    for (const subcommand_row& row : subcommands)
        names.emplace_back(row.name);
    return names;
}

int report(const std::vector<error>& errors)
{
    for (const error& e : errors)
        std::cerr << "briarfield: " << e.message() << "\n";
    return exit_usage;
}

int run_check(const command& c)
{
    if (c.reference)
    {
        std::cout << settings_reference();
        return exit_ok;
    }
    settings_report read = read_settings(c.settings_file, c.role);
    if (!read.errors.empty())
        return report(read.errors);
    auto secrets = check_secrets(read.values);
    if (!secrets)
        return report({secrets.error()});
    std::cout << effective_settings(read.values);
    return exit_ok;
}

int run_daemon(const command& c)
{
    const bool balancer = c.verb == subcommand::balancer;
    settings_report read = read_settings(
        c.settings_file, balancer ? daemon_role::balancer : daemon_role::agent);
    if (!read.errors.empty())
        return report(read.errors);
    settings& s = read.values;
    s.log_level_option = c.log_level;
    s.log_format_option = c.log_format;
    return balancer ? run_balancer(std::move(s)) : run_agent(std::move(s));
}

} // namespace

result<command> parse_command_line(const std::vector<std::string>& words)
{
    command out;
    const std::string first = words.empty() ? "" : words.front();
    if (first == "--version")
        out.text = std::string("briarfield ") + BRIARFIELD_VERSION + "\n";
    if (first == "--help" || first == "-h" || first == "help")
        out.text = program_help;
    if (!out.text.empty())
        return out;
    if (first.empty())
        return usage_error("a subcommand is needed");
    if (const subcommand_row* row = find_subcommand(first))
        return parse_subcommand(*row, {words.begin() + 1, words.end()});
    if (first.front() == '-')
        return usage_error("unknown option '" + first + "'" +
                           did_you_mean(first, {"--help", "--version"}));
    return usage_error("unknown subcommand '" + first + "'" +
                       did_you_mean(first, subcommand_names()));
}

int run_command_line(const std::vector<std::string>& words)
{
    if (!words.empty() && words[0] == "ctl")
        return run_ctl({words.begin() + 1, words.end()});
    auto parsed = parse_command_line(words);
    if (!parsed)
    {
        const int code = report({parsed.error()});
        std::cerr << "Try 'briarfield --help'.\n";
        return code;
    }
    const command& c = parsed.value();
    if (!c.text.empty())
    {
        std::cout << c.text;
        return exit_ok;
    }
    return c.verb == subcommand::check ? run_check(c) : run_daemon(c);
}

} // namespace briarfield::app
