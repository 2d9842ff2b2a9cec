#ifndef BRIARFIELD_CORE_ERROR_HPP
#define BRIARFIELD_CORE_ERROR_HPP

#include <boost/outcome.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace briarfield
{

/// \brief Result codes of the whole project.
///
/// The numbers are stable: a released number never changes its meaning. A test
/// compares the table of result codes with `docs/ERRORS.md`.
///
/// \sa errc_name(), errc_table()
enum class errc : std::uint16_t
{
    ok = 0,

    // 1xx: user input: command line, settings, objects.
    usage = 100,
    settings_syntax = 101,
    settings_unknown_key = 102,
    settings_bad_value = 103,
    settings_missing_key = 104,
    file_unreadable = 105,
    file_permissions = 106,
    object_invalid = 110,
    object_unknown_field = 111,
    object_address_conflict = 112,

    // 2xx: the platform's object API.
    store_unreachable = 200,
    store_timeout = 201,
    store_conflict = 202,
    store_not_found = 203,
    store_already_exists = 204,
    store_rate_limited = 205,
    store_history_compacted = 206,
    store_protocol = 207,
    store_refused = 208,
    store_outcome_unknown = 209,

    // 3xx: received packets and messages.
    packet_truncated = 300,
    packet_malformed = 301,
    packet_checksum = 302,
    packet_fragment = 303,
    packet_too_big = 304,
    packet_unsupported = 305,
    header_version = 310,
    header_key_unknown = 311,
    header_mac = 312,
    message_malformed = 320,
    message_too_large = 321,
    message_stale = 322,

    // 4xx: the local system.
    socket_failed = 400,
    address_in_use = 401,
    loop_failed = 402,
    tls_failed = 403,
    service_missing = 404,
    service_start_failed = 405,

    // 5xx: limits and placement decisions.
    capacity_exhausted = 500,
    retry_budget_exhausted = 501,
    not_lease_holder = 502,
    no_target = 503,
    table_full = 504,

    internal = 900
};

/// \brief One row of the table of result codes.
struct errc_row
{
    errc code;
    std::string_view name;
    std::string_view summary;
};

/// \brief First row of the table of result codes, which is sorted by number.
const errc_row* errc_table_begin() noexcept;

/// \brief End of the table of result codes (one past the last row).
const errc_row* errc_table_end() noexcept;

/// \brief Name of \a code in the table, or "unknown" if it is not listed.
std::string_view errc_name(errc code) noexcept;

/// \brief A result code with a description of the specific cause.
struct error
{
    errc code = errc::internal;
    std::string detail;

    error() = default;
    error(errc c, std::string d = {}) : code(c), detail(std::move(d)) {}

    /// \brief Text for logs and the command line: "name (number): detail".
    std::string message() const;
};

/// \brief Value of type \a T or an \ref error.
///
/// Accessing the value of a failed result is undefined behavior; check first.
template <class T>
using result = BOOST_OUTCOME_V2_NAMESPACE::unchecked<T, error>;

/// \brief Returns a failed result with \a code and \a detail.
inline auto fail(errc code, std::string detail = {})
{
    return BOOST_OUTCOME_V2_NAMESPACE::failure(error{code, std::move(detail)});
}

/// \brief Returns a successful `result<void>`.
inline auto ok()
{
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace briarfield

#endif
