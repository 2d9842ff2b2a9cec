#ifndef BRIARFIELD_SRC_APP_COMMAND_LINE_HPP
#define BRIARFIELD_SRC_APP_COMMAND_LINE_HPP

#include "settings.hpp"

#include "briarfield/core/error.hpp"

#include <string>
#include <vector>

namespace briarfield::app
{

/// Subcommand, from the first argument of the command line.
enum class subcommand : std::uint8_t
{
    none,
    balancer,
    agent,
    check
};

/// A parsed command line.
struct command
{
    subcommand verb = subcommand::none;
    std::string settings_file;
    std::string log_level;               ///< Empty: from the settings.
    std::string log_format;              ///< Empty: from the settings.
    bool reference = false;              ///< check: print the reference page.
    daemon_role role = daemon_role::any; ///< check: whose required keys.
    std::string text; ///< Help or version text to print; nothing else is run.
};

/// Parses the arguments after the program's name.
///
/// Errors: errc::usage; for an unknown option or subcommand the detail suggests
/// the closest valid one.
result<command> parse_command_line(const std::vector<std::string>& words);

/// Runs the command given by the arguments after the program's name.
///
/// \returns an \ref exit_code.
int run_command_line(const std::vector<std::string>& words);

} // namespace briarfield::app

#endif
