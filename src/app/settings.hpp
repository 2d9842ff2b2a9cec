#ifndef BRIARFIELD_SRC_APP_SETTINGS_HPP
#define BRIARFIELD_SRC_APP_SETTINGS_HPP

#include "briarfield/core/clock.hpp"
#include "briarfield/core/endpoint.hpp"
#include "briarfield/core/error.hpp"

#include <cstdint>
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
    relay_balancer = 4, ///< Before servers that return what they do not hold.
    relay_agent = 8     ///< Beside such a server.
};

/// Settings of both daemons, read from an INI file.
///
/// Each member is described by one row of the table in settings_table.cpp,
/// which holds its default too.
struct settings
{
    std::string instance_name;
    std::string instance_zone;
    std::string instance_region;

    endpoint store_address;
    std::string overlay_key_file;
    std::string overlay_other_key_file;
    std::string control_key_file;
    std::string control_other_key_file;
    std::string flow_hash_key_file;

    endpoint balancer_fabric;  ///< GUE from the fabric arrives here.
    endpoint balancer_overlay; ///< Overlay datagrams leave from here.
    endpoint balancer_control; ///< Announcements arrive here.
    std::vector<endpoint> balancer_peers;      ///< Control addresses of some.
    std::uint32_t balancer_new_flow_limit = 0; ///< Flows a second.
    duration balancer_withdrawal{};
    duration balancer_drain_limit{};

    endpoint http_address; ///< /metrics, /healthz and /readyz.

    endpoint agent_overlay;  ///< Overlay datagrams arrive here.
    endpoint agent_server;   ///< Packets of the backend server arrive here.
    endpoint agent_control;  ///< Grants arrive here.
    endpoint server_address; ///< GUE to the backend server goes there.
    endpoint fabric_address; ///< Packets for callers go there.
    std::string agent_team;
    std::string agent_service;
    std::vector<endpoint> balancers; ///< Announcements go there.
    duration agent_drain_limit{};

    endpoint relay_address;     ///< Frames of our own processes.
    endpoint relay_callers;     ///< Packets of callers arrive here.
    endpoint relay_from_server; ///< Packets of the server arrive here.
    endpoint relay_server;      ///< The server takes packets there.
    endpoint relay_heartbeats;  ///< HTTP; the server announces itself here.
    std::string relay_service;  ///< That the server runs.
    std::uint32_t relay_caller_port = 0;
    std::vector<endpoint> relay_seeds;
    std::uint32_t relay_seed_port = 0;
    duration relay_silence_limit{};
    duration relay_checkpoint_interval{};
    double relay_store_writes = 0; ///< Calls a second of all instances.

    endpoint trace_collector;
    double trace_ratio = 0;

    std::string log_level;
    std::string log_format;

    // Not keys: whose settings, from where, and the command line's words.
    daemon_role role = daemon_role::any;
    std::string source_file;
    std::string log_level_option;
    std::string log_format_option;
};

/// Outcome of reading a settings text: values, and all that is wrong.
struct settings_report
{
    settings values;
    std::vector<error> errors;
};

/// Reads an INI text; \a file is what errors name.
///
/// Errors, each with file, line, key, found and expected:
/// errc::settings_syntax, errc::settings_unknown_key,
/// errc::settings_bad_value, errc::settings_missing_key.
settings_report parse_settings(std::string_view text,
                               const std::string& file,
                               daemon_role role);

/// Reads \a file; all that is wrong with it is in the report.
///
/// Errors besides: errc::file_unreadable.
settings_report read_settings(const std::string& file, daemon_role role);

/// Reads \a file; the error is the first that was found.
result<settings> load_settings(const std::string& file,
                               daemon_role role = daemon_role::any);

/// Settings with every key at its default.
settings default_settings();

/// Takes over from \a changed what can change while a daemon runs.
///
/// Errors: errc::settings_bad_value if a key that cannot change has changed;
/// \a current is then as it was.
result<void> apply_reload(settings& current, const settings& changed);

/// All settings as an INI text that reads back to the same values.
std::string effective_settings(const settings& s);

/// Reference page of all keys, in Markdown.
std::string settings_reference();

/// Reads a file that holds a secret; group and others must have no access.
///
/// Errors: errc::file_unreadable, errc::file_permissions.
result<std::string> read_secret(const std::string& file);

/// Reads each secret file that \a s names, and forgets its content.
///
/// Errors: as \ref read_secret, and those of \ref parse_key_file.
result<void> check_secrets(const settings& s);

} // namespace briarfield::app

#endif
