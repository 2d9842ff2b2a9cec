#include "briarfield/packet/ip_packet.hpp"

#include "briarfield/core/byte_order.hpp"

#include <algorithm>
#include <cstring>

namespace briarfield
{

namespace
{

constexpr std::size_t ipv4_header_size = 20;
constexpr std::size_t ipv6_header_size = 40;
constexpr std::size_t tcp_header_size = 20;
constexpr std::size_t udp_header_size = 8;
constexpr std::size_t icmp_header_size = 8;
constexpr std::uint8_t default_hop_limit = 64;
constexpr std::uint8_t ipv6_fragment_header = 44;
// Bytes quoted after the IP header of the packet.
constexpr std::size_t icmp_v4_quote = 8;
// Limit of the whole error packet in bytes: the minimum MTU of IPv6.
constexpr std::size_t icmp_v6_limit = 1280;

/// Adds big-endian 16-bit words to \a sum, folded to 32 bits only; an odd last
/// byte is padded with zero.
std::uint32_t sum_words(const_byte_span bytes, std::uint32_t sum) noexcept
{
    std::uint64_t wide = sum;
    std::size_t i = 0;
    for (; i + 1 < bytes.size(); i += 2)
        wide += load_be16(bytes.data() + i);
    if (i < bytes.size())
        wide += static_cast<std::uint32_t>(bytes[i]) << 8U;
    while (wide >> 32U)
        wide = (wide & 0xffffffffU) + (wide >> 32U);
    return static_cast<std::uint32_t>(wide);
}

/// Folds a sum of 16-bit words to 16 bits and returns its complement.
std::uint16_t fold(std::uint32_t sum) noexcept
{
    std::uint64_t wide = sum;
    while (wide >> 16U)
        wide = (wide & 0xffffU) + (wide >> 16U);
    return static_cast<std::uint16_t>(~wide);
}

/// Sum over the pseudo header (RFC 9293, section 3.1).
std::uint32_t pseudo_header_sum(const flow_key& key,
                                std::uint8_t protocol,
                                std::size_t length) noexcept
{
    std::uint32_t sum = 0;
    if (key.source.is_v4())
    {
        sum = sum_words({key.source.v4_bytes(), 4}, sum);
        sum = sum_words({key.destination.v4_bytes(), 4}, sum);
    }
    else
    {
        sum = sum_words({key.source.bytes().data(), 16}, sum);
        sum = sum_words({key.destination.bytes().data(), 16}, sum);
    }
    sum += static_cast<std::uint32_t>(length >> 16U);
    sum += static_cast<std::uint32_t>(length & 0xffffU);
    return sum + protocol;
}

errc parse_ipv4(const_byte_span packet, ip_packet_view& out) noexcept
{
    if (packet.size() < ipv4_header_size)
        return errc::packet_truncated;
    const std::size_t header = std::size_t{packet[0] & 0x0fU} * 4;
    if (header < ipv4_header_size)
        return errc::packet_malformed;
    out.total_length = load_be16(&packet[2]);
    if (out.total_length < header)
        return errc::packet_malformed;
    if (out.total_length > packet.size())
        return errc::packet_truncated;
    if (internet_checksum(packet.take_front(header)) != 0)
        return errc::packet_checksum;
    if ((load_be16(&packet[6]) & 0x3fffU) != 0)
        return errc::packet_fragment;
    out.key.protocol = static_cast<transport>(packet[9]);
    out.key.source = ip_address::from_v4(&packet[12]);
    out.key.destination = ip_address::from_v4(&packet[16]);
    out.transport_offset = static_cast<std::uint16_t>(header);
    return errc::ok;
}

errc parse_ipv6(const_byte_span packet, ip_packet_view& out) noexcept
{
    if (packet.size() < ipv6_header_size)
        return errc::packet_truncated;
    const std::size_t length = ipv6_header_size + load_be16(&packet[4]);
    if (length > packet.size())
        return errc::packet_truncated;
    if (length > 0xffffU)
        return errc::packet_malformed;
    if (packet[6] == ipv6_fragment_header)
        return errc::packet_fragment;
    out.total_length = static_cast<std::uint16_t>(length);
    out.key.protocol = static_cast<transport>(packet[6]);
    out.key.source = ip_address::from_v6(&packet[8]);
    out.key.destination = ip_address::from_v6(&packet[24]);
    out.transport_offset = ipv6_header_size;
    return errc::ok;
}

errc parse_tcp(const_byte_span packet, ip_packet_view& out) noexcept
{
    const std::size_t available = out.total_length - out.transport_offset;
    if (available < tcp_header_size)
        return errc::packet_truncated;
    const std::uint8_t* tcp = packet.data() + out.transport_offset;
    const std::size_t header = std::size_t{tcp[12]} / 16 * 4;
    if (header < tcp_header_size || header > available)
        return errc::packet_malformed;
    out.key.source_port = load_be16(tcp);
    out.key.destination_port = load_be16(tcp + 2);
    out.tcp_sequence = load_be32(tcp + 4);
    out.tcp_acknowledgment = load_be32(tcp + 8);
    out.tcp_bits = tcp[13];
    out.payload_offset =
        static_cast<std::uint16_t>(out.transport_offset + header);
    return errc::ok;
}

errc parse_udp(const_byte_span packet, ip_packet_view& out) noexcept
{
    const std::size_t available = out.total_length - out.transport_offset;
    if (available < udp_header_size)
        return errc::packet_truncated;
    const std::uint8_t* udp = packet.data() + out.transport_offset;
    const std::size_t length = load_be16(udp + 4);
    if (length < udp_header_size || length > available)
        return errc::packet_malformed;
    out.key.source_port = load_be16(udp);
    out.key.destination_port = load_be16(udp + 2);
    out.payload_offset =
        static_cast<std::uint16_t>(out.transport_offset + udp_header_size);
    return errc::ok;
}

/// Resizes \a packet for an IP header and \a length bytes after it, and writes
/// the header. Returns the offset of the first byte after it.
std::size_t begin_packet(std::vector<std::uint8_t>& packet,
                         const flow_key& key,
                         std::uint8_t protocol,
                         std::size_t length)
{
    if (key.source.is_v4())
    {
        packet.resize(ipv4_header_size + length);
        packet[0] = 0x45;
        store_be16(&packet[2], static_cast<std::uint16_t>(packet.size()));
        store_be16(&packet[6], 0x4000); // Don't Fragment flag.
        packet[8] = default_hop_limit;
        packet[9] = protocol;
        std::memcpy(&packet[12], key.source.v4_bytes(), 4);
        std::memcpy(&packet[16], key.destination.v4_bytes(), 4);
        store_be16(&packet[10],
                   internet_checksum({packet.data(), ipv4_header_size}));
        return ipv4_header_size;
    }
    packet.resize(ipv6_header_size + length);
    packet[0] = 0x60;
    store_be16(&packet[4], static_cast<std::uint16_t>(length));
    packet[6] = protocol;
    packet[7] = default_hop_limit;
    std::memcpy(&packet[8], key.source.bytes().data(), 16);
    std::memcpy(&packet[24], key.destination.bytes().data(), 16);
    return ipv6_header_size;
}

/// Type, code and second 32-bit word ("rest of header") of an ICMP error.
struct icmp_fields
{
    std::uint8_t type;
    std::uint8_t code;
    std::uint32_t rest;
};

icmp_fields icmp_v4_fields(icmp_reason reason, std::uint16_t mtu)
{
    switch (reason)
    {
    case icmp_reason::administratively_prohibited:
        return {3, 13, 0};
    case icmp_reason::packet_too_big:
        return {3, 4, mtu};
    case icmp_reason::port_unreachable:
        break;
    }
    return {3, 3, 0};
}

icmp_fields icmp_v6_fields(icmp_reason reason, std::uint16_t mtu)
{
    switch (reason)
    {
    case icmp_reason::administratively_prohibited:
        return {1, 1, 0};
    case icmp_reason::packet_too_big:
        return {2, 0, mtu};
    case icmp_reason::port_unreachable:
        break;
    }
    return {1, 4, 0};
}

} // namespace

std::uint16_t internet_checksum(const_byte_span bytes,
                                std::uint32_t sum) noexcept
{
    return fold(sum_words(bytes, sum));
}

errc parse_ip_packet(const_byte_span packet, ip_packet_view& out) noexcept
{
    out = ip_packet_view{};
    if (packet.empty())
        return errc::packet_truncated;
    const unsigned version = packet[0] >> 4U;
    if (version != 4 && version != 6)
        return errc::packet_malformed;
    const errc outcome =
        version == 4 ? parse_ipv4(packet, out) : parse_ipv6(packet, out);
    if (outcome != errc::ok)
        return outcome;
    if (out.key.protocol == transport::tcp)
        return parse_tcp(packet, out);
    if (out.key.protocol == transport::udp)
        return parse_udp(packet, out);
    return errc::packet_unsupported;
}

bool transport_checksum_valid(const_byte_span packet,
                              const ip_packet_view& view) noexcept
{
    const std::uint8_t* begin = packet.data() + view.transport_offset;
    std::size_t length = view.total_length - view.transport_offset;
    if (view.key.protocol == transport::udp)
    {
        length = load_be16(begin + 4);
        const bool absent = load_be16(begin + 6) == 0;
        if (absent)
            return view.key.source.is_v4(); // Optional over IPv4 only.
    }
    const std::uint32_t sum = pseudo_header_sum(
        view.key, static_cast<std::uint8_t>(view.key.protocol), length);
    return internet_checksum({begin, length}, sum) == 0;
}

std::vector<std::uint8_t> build_tcp_packet(const tcp_segment& segment)
{
    constexpr std::uint16_t window = 0xffff;
    const std::size_t length = tcp_header_size + segment.payload.size();
    std::vector<std::uint8_t> packet;
    const std::size_t offset = begin_packet(
        packet, segment.key, static_cast<std::uint8_t>(transport::tcp), length);
    std::uint8_t* tcp = &packet[offset];
    store_be16(tcp, segment.key.source_port);
    store_be16(tcp + 2, segment.key.destination_port);
    store_be32(tcp + 4, segment.sequence);
    store_be32(tcp + 8, segment.acknowledgment);
    tcp[12] = (tcp_header_size / 4) << 4U;
    tcp[13] = segment.bits;
    store_be16(tcp + 14, window);
    std::copy(segment.payload.begin(), segment.payload.end(),
              tcp + tcp_header_size);
    const std::uint32_t sum = pseudo_header_sum(
        segment.key, static_cast<std::uint8_t>(transport::tcp), length);
    store_be16(tcp + 16, internet_checksum({tcp, length}, sum));
    return packet;
}

std::vector<std::uint8_t> build_udp_packet(const flow_key& key,
                                           const_byte_span payload)
{
    const std::size_t length = udp_header_size + payload.size();
    std::vector<std::uint8_t> packet;
    const std::size_t offset = begin_packet(
        packet, key, static_cast<std::uint8_t>(transport::udp), length);
    std::uint8_t* udp = &packet[offset];
    store_be16(udp, key.source_port);
    store_be16(udp + 2, key.destination_port);
    store_be16(udp + 4, static_cast<std::uint16_t>(length));
    std::copy(payload.begin(), payload.end(), udp + udp_header_size);
    const std::uint32_t sum = pseudo_header_sum(
        key, static_cast<std::uint8_t>(transport::udp), length);
    const std::uint16_t checksum = internet_checksum({udp, length}, sum);
    store_be16(udp + 6, checksum == 0 ? 0xffff : checksum);
    return packet;
}

std::vector<std::uint8_t> build_tcp_reset(const_byte_span packet,
                                          const ip_packet_view& view)
{
    (void)packet;
    tcp_segment reset;
    reset.key = view.key.reversed();
    if ((view.tcp_bits & tcp_flags::ack) != 0)
    {
        reset.sequence = view.tcp_acknowledgment;
        reset.bits = tcp_flags::rst;
        return build_tcp_packet(reset);
    }
    const std::uint32_t payload = view.total_length - view.payload_offset;
    const std::uint32_t control_length =
        ((view.tcp_bits & tcp_flags::syn) != 0 ? 1U : 0U) +
        ((view.tcp_bits & tcp_flags::fin) != 0 ? 1U : 0U);
    reset.acknowledgment = view.tcp_sequence + payload + control_length;
    reset.bits = tcp_flags::rst | tcp_flags::ack;
    return build_tcp_packet(reset);
}

std::vector<std::uint8_t> build_icmp_error(const_byte_span packet,
                                           const ip_packet_view& view,
                                           icmp_reason reason,
                                           std::uint16_t mtu)
{
    const bool v4 = view.key.source.is_v4();
    const std::size_t quote =
        v4 ? std::min<std::size_t>(view.transport_offset + icmp_v4_quote,
                                   view.total_length)
           : std::min<std::size_t>(view.total_length, icmp_v6_limit -
                                                          ipv6_header_size -
                                                          icmp_header_size);
    const std::size_t length = icmp_header_size + quote;
    const auto protocol =
        static_cast<std::uint8_t>(v4 ? transport::icmp : transport::icmp_v6);
    const flow_key reply_key = view.key.reversed();
    std::vector<std::uint8_t> out;
    const std::size_t offset = begin_packet(out, reply_key, protocol, length);
    std::uint8_t* icmp = &out[offset];
    const icmp_fields fields =
        v4 ? icmp_v4_fields(reason, mtu) : icmp_v6_fields(reason, mtu);
    icmp[0] = fields.type;
    icmp[1] = fields.code;
    store_be32(icmp + 4, fields.rest);
    std::copy(packet.begin(), packet.begin() + quote, icmp + icmp_header_size);
    const std::uint32_t sum =
        v4 ? 0 : pseudo_header_sum(reply_key, protocol, length);
    store_be16(icmp + 2, internet_checksum({icmp, length}, sum));
    return out;
}

} // namespace briarfield
