#include "briarfield/core/error.hpp"

#include <algorithm>
#include <iterator>

namespace briarfield
{

namespace
{

constexpr errc_row table[] = {
    {errc::ok, "ok", "success"},
    {errc::usage, "usage", "the command line is wrong"},
    {errc::settings_syntax, "settings_syntax",
     "a settings line is neither section, key nor comment"},
    {errc::settings_unknown_key, "settings_unknown_key",
     "a settings key that this version does not know"},
    {errc::settings_bad_value, "settings_bad_value",
     "a settings value of the wrong type or out of range"},
    {errc::settings_missing_key, "settings_missing_key",
     "a required settings key is absent"},
    {errc::file_unreadable, "file_unreadable", "a named file cannot be read"},
    {errc::file_permissions, "file_permissions",
     "a secret file is readable by group or others"},
    {errc::object_invalid, "object_invalid",
     "an object does not satisfy its schema"},
    {errc::object_unknown_field, "object_unknown_field",
     "an object has a field its schema does not name"},
    {errc::object_address_conflict, "object_address_conflict",
     "an address and port is already claimed by another service"},
    {errc::store_unreachable, "store_unreachable",
     "no connection to the object API"},
    {errc::store_timeout, "store_timeout",
     "the object API did not answer in time"},
    {errc::store_conflict, "store_conflict",
     "the object has changed since it was read"},
    {errc::store_not_found, "store_not_found", "no such object"},
    {errc::store_already_exists, "store_already_exists",
     "an object of that name exists"},
    {errc::store_rate_limited, "store_rate_limited",
     "the object API asked for fewer calls"},
    {errc::store_history_compacted, "store_history_compacted",
     "the watch position is too old; list again"},
    {errc::store_protocol, "store_protocol",
     "an answer of the object API could not be understood"},
    {errc::store_refused, "store_refused",
     "the object API refused the caller's rights"},
    {errc::store_outcome_unknown, "store_outcome_unknown",
     "a write may or may not have taken effect"},
    {errc::packet_truncated, "packet_truncated",
     "a packet is shorter than its lengths say"},
    {errc::packet_malformed, "packet_malformed",
     "a packet's fields contradict each other"},
    {errc::packet_checksum, "packet_checksum", "a packet's checksum is wrong"},
    {errc::packet_fragment, "packet_fragment", "a fragment of a packet"},
    {errc::packet_too_big, "packet_too_big",
     "a packet does not fit the path after encapsulation"},
    {errc::packet_unsupported, "packet_unsupported",
     "a packet of a protocol that is not balanced"},
    {errc::header_version, "header_version",
     "an overlay header of an unknown version"},
    {errc::header_key_unknown, "header_key_unknown",
     "an overlay header under a key that is not valid now"},
    {errc::header_mac, "header_mac", "an overlay header whose MAC is wrong"},
    {errc::message_malformed, "message_malformed",
     "a control message could not be decoded"},
    {errc::message_too_large, "message_too_large",
     "a control message exceeds its limit"},
    {errc::message_stale, "message_stale",
     "a control message older than what is known"},
    {errc::socket_failed, "socket_failed", "a socket call failed"},
    {errc::address_in_use, "address_in_use",
     "a local address is already in use"},
    {errc::loop_failed, "loop_failed", "the event loop could not be created"},
    {errc::tls_failed, "tls_failed", "TLS material could not be loaded"},
    {errc::service_missing, "service_missing",
     "a service of the runtime was not found by its name"},
    {errc::service_start_failed, "service_start_failed",
     "a service of the runtime did not start"},
    {errc::capacity_exhausted, "capacity_exhausted",
     "a limit of work in progress is reached"},
    {errc::retry_budget_exhausted, "retry_budget_exhausted",
     "no retry is left in the budget"},
    {errc::not_lease_holder, "not_lease_holder",
     "the lease is held by another or has lapsed"},
    {errc::no_target, "no_target", "no backend server can take the flow"},
    {errc::table_full, "table_full", "a bounded table has no room"},
    {errc::internal, "internal", "a condition that should not occur"},
};

} // namespace

const errc_row* errc_table_begin() noexcept
{
    return std::begin(table);
}

const errc_row* errc_table_end() noexcept
{
    return std::end(table);
}

std::string_view errc_name(errc code) noexcept
{
    const auto* row =
        std::find_if(std::begin(table), std::end(table),
                     [code](const errc_row& r) { return r.code == code; });
    return row == std::end(table) ? std::string_view("unknown") : row->name;
}

std::string error::message() const
{
    std::string text(errc_name(code));
    text += " (" + std::to_string(static_cast<unsigned>(code)) + ")";
    if (!detail.empty())
        text += ": " + detail;
    return text;
}

} // namespace briarfield
