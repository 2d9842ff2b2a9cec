#include "briarfield/dispatch/flow_packet.hpp"

#include <algorithm>
#include <iterator>
#include <xxhash.h>

namespace briarfield
{

namespace
{

constexpr std::string_view kind_names[] = {"opening", "segment", "closing",
                                           "reset"};
static_assert(std::size(kind_names) ==
              static_cast<std::size_t>(packet_kind::count_));

constexpr std::string_view reason_names[] = {
    "not_taken", "other_service", "draining", "silent",
    "busy",      "warming",       "not_held"};
static_assert(std::size(reason_names) ==
              static_cast<std::size_t>(return_reason::count_));

} // namespace

std::string_view packet_kind_name(packet_kind kind) noexcept
{
    return kind_names[static_cast<std::size_t>(kind)];
}

std::string_view return_reason_name(return_reason reason) noexcept
{
    return reason_names[static_cast<std::size_t>(reason)];
}

short_packet::short_packet(const_byte_span bytes)
{
    if (bytes.size() > capacity)
        return;
    std::copy(bytes.begin(), bytes.end(), bytes_.begin());
    size_ = static_cast<std::uint8_t>(bytes.size());
}

service_tag make_service_tag(std::string_view name) noexcept
{
    return static_cast<service_tag>(XXH3_64bits(name.data(), name.size()));
}

} // namespace briarfield
