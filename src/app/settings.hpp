#ifndef BRIARFIELD_SRC_APP_SETTINGS_HPP
#define BRIARFIELD_SRC_APP_SETTINGS_HPP

#include "briarfield/core/clock.hpp"
#include "briarfield/core/endpoint.hpp"
#include "briarfield/core/error.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarfield::app
{

/// Which daemon the settings are for.
enum class daemon_role : std::uint8_t
{
    any = 0, ///< Required keys are not checked.
    balancer = 1,
    agent = 2,
    relay_balancer = 4, ///< For servers that return packets of unknown flows.
    relay_agent = 8     ///< Runs beside such a server.
};

/// Settings of both daemons, read from an INI file.
///
/// Each member is described by one row of the table in settings_table.cpp,
/// which also holds its default.
struct settings
{
    std::string instance_name;
    std::string instance_zone;
    std::string instance_region;

    endpoint store_address;
    std::uint32_t store_config_bound_ms = 0;
    std::uint32_t store_evacuation_bound_ms = 0; ///< 0: not followed.
    std::string overlay_key_file;
    std::string overlay_other_key_file;
    std::string control_key_file;
    std::string control_other_key_file;
    std::string flow_hash_key_file;

    endpoint balancer_fabric;  ///< Receives GUE packets from the fabric.
    endpoint balancer_overlay; ///< Source of overlay datagrams.
    endpoint balancer_control; ///< Receives announcements.
    std::vector<endpoint> balancer_peers; ///< Control addresses of some peers.
    std::uint32_t balancer_new_flow_limit = 0; ///< Flows per second.
    duration balancer_withdrawal{};
    duration balancer_drain_limit{};

    endpoint http_address; ///< Serves /metrics, /healthz and /readyz.

    endpoint agent_overlay;  ///< Receives overlay datagrams.
    endpoint agent_server;   ///< Receives packets of the backend server.
    endpoint agent_control;  ///< Receives grants.
    endpoint server_address; ///< Backend server; it receives GUE packets.
    endpoint fabric_address; ///< Fabric; it receives packets for callers.
    std::string agent_team;
    std::string agent_service;
    std::vector<endpoint> balancers; ///< Destinations of announcements.
    duration agent_drain_limit{};

    endpoint relay_address;     ///< Receives frames of balancers and agents.
    endpoint relay_callers;     ///< Receives packets of callers.
    endpoint relay_from_server; ///< Receives packets of the backend server.
    endpoint relay_server;      ///< Backend server; it receives packets.
    endpoint relay_heartbeats;  ///< Receives the server's heartbeats by HTTP.
    std::string relay_service;  ///< Service that the backend server runs.
    std::uint32_t relay_caller_port = 0;
    std::vector<endpoint> relay_seeds;
    std::uint32_t relay_seed_port = 0;
    duration relay_silence_limit{};
    duration relay_checkpoint_interval{};
    double relay_warmup_overshoot = 0;
    double relay_warmup_slack = 0; ///< Openings a second.
    std::uint32_t relay_max_flow_age_s = 0;
    double relay_store_writes = 0; ///< Calls per second of all instances.

    endpoint trace_collector;
    double trace_ratio = 0;

    std::string log_level;
    std::string log_format;

    // Not keys of the file: daemon, sources and command line options.
    daemon_role role = daemon_role::any;
    std::string source_file;
    std::vector<std::string> environment_keys; ///< "section.key" of each.
    std::vector<std::string> unfilled_variables;
    std::string log_level_option;
    std::string log_format_option;
};

/// Outcome of parsing a settings text: the values and all errors.
struct settings_report
{
    settings values;
    std::vector<error> errors;
};

/// Value of the environment variable \a name; nothing if it is not set.
using environment_lookup =
    std::function<std::optional<std::string>(const std::string& name)>;

/// Environment of this process.
std::optional<std::string> process_environment(const std::string& name);

/// Parses an INI text, then the variables of \a environment, which take
/// precedence; errors name \a file or the variable.
///
/// The variable of a key is BRIARFIELD_SECTION_KEY, in capitals. A variable
/// that is empty, or still holds a placeholder in double braces, is passed
/// over, and so is an empty value of a key that the daemon does not need. An
/// unfilled variable is listed in settings::unfilled_variables.
///
/// Errors, each with file and line or variable, key, the value found and the
/// value expected: errc::settings_syntax, errc::settings_unknown_key,
/// errc::settings_bad_value, errc::settings_missing_key.
settings_report parse_settings(std::string_view text,
                               const std::string& file,
                               daemon_role role,
                               const environment_lookup& environment = {});

/// Reads \a file and \a environment; the report holds all errors.
///
/// Errors: those of \ref parse_settings and errc::file_unreadable.
settings_report
read_settings(const std::string& file,
              daemon_role role,
              const environment_lookup& environment = process_environment);

/// Reads \a file and \a environment; returns the first error if there is any.
result<settings>
load_settings(const std::string& file,
              daemon_role role = daemon_role::any,
              const environment_lookup& environment = process_environment);

/// Settings with all keys at their defaults.
settings default_settings();

/// Applies the reloadable keys of \a changed to \a current.
///
/// Errors: errc::settings_bad_value if a key that needs a restart has changed;
/// \a current is then unchanged.
result<void> apply_reload(settings& current, const settings& changed);

/// All settings as an INI text that parses to the same values.
std::string effective_settings(const settings& s);

/// Reference page of all keys, in Markdown.
std::string settings_reference();

/// Reads a file that holds a secret; group and others must have no access.
///
/// Errors: errc::file_unreadable, errc::file_permissions.
result<std::string> read_secret(const std::string& file);

/// Checks that each secret file named in \a s can be read and parsed.
///
/// Errors: as \ref read_secret, and those of \ref parse_key_file.
result<void> check_secrets(const settings& s);

} // namespace briarfield::app

#endif
