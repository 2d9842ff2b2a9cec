#include "briarfield/packet/overlay_header.hpp"

#include "briarfield/core/byte_order.hpp"

#include <algorithm>
#include <cstring>

namespace briarfield
{

namespace
{

constexpr std::size_t mac_offset = 24;
constexpr std::size_t v4_entry_size = 6;
constexpr std::size_t v6_entry_size = 18;
constexpr std::uint8_t trace_bit = 0x40;
constexpr std::uint8_t v6_bit = 0x80;
constexpr std::uint8_t length_mask = 0x0f;

bool needs_v6(const overlay_header& header) noexcept
{
    for (std::size_t i = 0; i < header.chain_length; ++i)
        if (!header.chain[i].address.is_v4())
            return true;
    return false;
}

std::uint8_t*
write_chain(const overlay_header& header, bool v6, std::uint8_t* p) noexcept
{
    for (std::size_t i = 0; i < header.chain_length; ++i)
    {
        const endpoint& entry = header.chain[i];
        const std::size_t bytes = v6 ? 16 : 4;
        std::memcpy(
            p, v6 ? entry.address.bytes().data() : entry.address.v4_bytes(),
            bytes);
        store_be16(p + bytes, entry.port);
        p += bytes + 2;
    }
    return p;
}

const std::uint8_t*
read_chain(overlay_header& header, bool v6, const std::uint8_t* p) noexcept
{
    for (std::size_t i = 0; i < header.chain_length; ++i)
    {
        const std::size_t bytes = v6 ? 16 : 4;
        header.chain[i].address =
            v6 ? ip_address::from_v6(p) : ip_address::from_v4(p);
        header.chain[i].port = load_be16(p + bytes);
        p += bytes + 2;
    }
    return p;
}

} // namespace

std::size_t overlay_size(const overlay_header& header) noexcept
{
    const std::size_t entry_size =
        needs_v6(header) ? v6_entry_size : v4_entry_size;
    return overlay_fixed_size + header.chain_length * entry_size +
           (header.traced ? overlay_trace_size : 0);
}

byte_span write_overlay(const overlay_header& header,
                        byte_span packet,
                        const overlay_keyring& keys) noexcept
{
    const bool v6 = needs_v6(header);
    const std::size_t size = overlay_size(header);
    std::uint8_t* begin = packet.data() - size;
    begin[0] = overlay_version;
    begin[1] = static_cast<std::uint8_t>(header.type);
    begin[2] = keys.signing_id();
    begin[3] = static_cast<std::uint8_t>(header.chain_length |
                                         (header.traced ? trace_bit : 0U) |
                                         (v6 ? v6_bit : 0U));
    begin[4] = header.hop;
    begin[5] = header.flags;
    store_be16(begin + 6, header.bucket);
    store_be64(begin + 8, header.service_id);
    store_be64(begin + 16, header.map_version);
    std::memset(begin + mac_offset, 0, overlay_mac_size);
    std::uint8_t* p = write_chain(header, v6, begin + overlay_fixed_size);
    if (header.traced)
    {
        std::memcpy(p, header.trace.trace_id.data(), 16);
        std::memcpy(p + 16, header.trace.span_id.data(), 8);
        p[24] = header.trace.flags;
    }
    return {begin, size + packet.size()};
}

overlay_mac_input make_overlay_mac_input(byte_span datagram,
                                         std::size_t packet_size) noexcept
{
    const std::size_t uncovered = packet_size > overlay_mac_payload
                                      ? packet_size - overlay_mac_payload
                                      : 0;
    return {datagram.take_front(datagram.size() - uncovered),
            static_cast<std::uint32_t>(datagram.size())};
}

void put_overlay_mac(byte_span datagram, const overlay_mac& mac) noexcept
{
    std::memcpy(datagram.data() + mac_offset, mac.data(), mac.size());
}

byte_span encode_overlay(const overlay_header& header,
                         byte_span packet,
                         const overlay_keyring& keys) noexcept
{
    const byte_span datagram = write_overlay(header, packet, keys);
    const overlay_mac_input input =
        make_overlay_mac_input(datagram, packet.size());
    overlay_mac mac{};
    keys.authenticate(keys.signing_id(), &input, &mac, 1);
    put_overlay_mac(datagram, mac);
    return datagram;
}

errc decode_overlay(byte_span datagram,
                    const overlay_keyring& keys,
                    overlay_header& header,
                    byte_span& packet) noexcept
{
    if (datagram.size() < overlay_fixed_size)
        return errc::packet_truncated;
    std::uint8_t* begin = datagram.data();
    if (begin[0] != overlay_version)
        return errc::header_version;
    header.type = static_cast<overlay_type>(begin[1]);
    header.key_id = begin[2];
    header.chain_length = begin[3] & length_mask;
    header.traced = (begin[3] & trace_bit) != 0;
    header.hop = begin[4];
    header.flags = begin[5];
    header.bucket = load_be16(begin + 6);
    header.service_id = load_be64(begin + 8);
    header.map_version = load_be64(begin + 16);
    const bool v6 = (begin[3] & v6_bit) != 0;
    if (header.chain_length == 0 || header.chain_length > max_chain_length ||
        header.hop >= header.chain_length)
        return errc::packet_malformed;
    const std::size_t entry_size = v6 ? v6_entry_size : v4_entry_size;
    const std::size_t size = overlay_fixed_size +
                             header.chain_length * entry_size +
                             (header.traced ? overlay_trace_size : 0);
    if (datagram.size() < size)
        return errc::packet_truncated;
    packet = datagram.drop_front(size);
    overlay_mac received;
    overlay_mac expected;
    std::memcpy(received.data(), begin + mac_offset, received.size());
    std::memset(begin + mac_offset, 0, received.size());
    const overlay_mac_input input =
        make_overlay_mac_input(datagram, packet.size());
    const bool key_valid =
        keys.authenticate(header.key_id, &input, &expected, 1);
    std::memcpy(begin + mac_offset, received.data(), received.size());
    if (!key_valid)
        return errc::header_key_unknown;
    std::uint8_t difference = 0;
    for (std::size_t i = 0; i < overlay_mac_size; ++i)
        difference |= static_cast<std::uint8_t>(received[i] ^ expected[i]);
    if (difference != 0)
        return errc::header_mac;
    const std::uint8_t* p = read_chain(header, v6, begin + overlay_fixed_size);
    if (header.traced)
    {
        std::memcpy(header.trace.trace_id.data(), p, 16);
        std::memcpy(header.trace.span_id.data(), p + 16, 8);
        header.trace.flags = p[24];
    }
    return errc::ok;
}

} // namespace briarfield
