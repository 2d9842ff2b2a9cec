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
     "a settings line is not a section, key or comment"},
    {errc::settings_unknown_key, "settings_unknown_key",
     "a settings key is not recognized by this version"},
    {errc::settings_bad_value, "settings_bad_value",
     "a settings value has the wrong type or is out of range"},
    {errc::settings_missing_key, "settings_missing_key",
     "a required settings key is absent"},
    {errc::file_unreadable, "file_unreadable", "a named file cannot be read"},
    {errc::file_permissions, "file_permissions",
     "a secret file is readable by group or others"},
    {errc::object_invalid, "object_invalid",
     "an object does not satisfy its schema"},
    {errc::object_unknown_field, "object_unknown_field",
     "an object has a field that its schema does not define"},
    {errc::object_address_conflict, "object_address_conflict",
     "the address and port are already claimed by another service"},
    {errc::store_unreachable, "store_unreachable",
     "no connection to the object API"},
    {errc::store_timeout, "store_timeout",
     "a request to the object API timed out"},
    {errc::store_conflict, "store_conflict",
     "the object has changed since it was read"},
    {errc::store_not_found, "store_not_found", "no such object"},
    {errc::store_already_exists, "store_already_exists",
     "an object of that name already exists"},
    {errc::store_rate_limited, "store_rate_limited",
     "the object API rejected a request because of its rate limit"},
    {errc::store_history_compacted, "store_history_compacted",
     "the watch position is too old; list again"},
    {errc::store_protocol, "store_protocol",
     "an unexpected or malformed response from the object API"},
    {errc::store_refused, "store_refused", "the object API denied access"},
    {errc::store_outcome_unknown, "store_outcome_unknown",
     "a write may or may not have taken effect"},
    {errc::packet_truncated, "packet_truncated",
     "a packet is shorter than its length fields indicate"},
    {errc::packet_malformed, "packet_malformed",
     "a packet's fields are inconsistent"},
    {errc::packet_checksum, "packet_checksum", "a packet's checksum is wrong"},
    {errc::packet_fragment, "packet_fragment", "a packet is an IP fragment"},
    {errc::packet_too_big, "packet_too_big",
     "a packet exceeds the path MTU after encapsulation"},
    {errc::packet_unsupported, "packet_unsupported",
     "a packet of a protocol that is not load-balanced"},
    {errc::header_version, "header_version",
     "an overlay header of an unknown version"},
    {errc::header_key_unknown, "header_key_unknown",
     "an overlay header with a key that is not currently valid"},
    {errc::header_mac, "header_mac", "an overlay header whose MAC is wrong"},
    {errc::message_malformed, "message_malformed",
     "a control message could not be decoded"},
    {errc::message_too_large, "message_too_large",
     "a control message exceeds the size limit"},
    {errc::message_stale, "message_stale",
     "a control message is older than the recorded state"},
    {errc::socket_failed, "socket_failed", "a socket call failed"},
    {errc::address_in_use, "address_in_use",
     "a local address is already in use"},
    {errc::loop_failed, "loop_failed", "the event loop could not be created"},
    {errc::tls_failed, "tls_failed", "TLS material could not be loaded"},
    {errc::service_missing, "service_missing",
     "a runtime service was not found by name"},
    {errc::service_start_failed, "service_start_failed",
     "a runtime service failed to start"},
    {errc::capacity_exhausted, "capacity_exhausted",
     "a limit on work in progress has been reached"},
    {errc::retry_budget_exhausted, "retry_budget_exhausted",
     "the retry budget is exhausted"},
    {errc::not_lease_holder, "not_lease_holder",
     "the lease is held by another holder or has expired"},
    {errc::no_target, "no_target", "no backend server can accept the flow"},
    {errc::table_full, "table_full", "a bounded table is full"},
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
