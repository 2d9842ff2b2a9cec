#ifndef BRIARFIELD_PACKET_IP_PACKET_HPP
#define BRIARFIELD_PACKET_IP_PACKET_HPP

#include "briarfield/core/byte_span.hpp"
#include "briarfield/core/endpoint.hpp"
#include "briarfield/core/error.hpp"

#include <cstdint>
#include <vector>

namespace briarfield
{

/// \brief Protocol numbers (IANA) used in IP headers.
///
/// TCP and UDP are balanced; ICMP and ICMPv6 are only sent, as errors.
enum class transport : std::uint8_t
{
    icmp = 1,
    tcp = 6,
    udp = 17,
    icmp_v6 = 58
};

/// \brief The 5-tuple that identifies a flow, in the caller's direction.
struct flow_key
{
    ip_address source;
    ip_address destination;
    std::uint16_t source_port = 0;
    std::uint16_t destination_port = 0;
    transport protocol = transport::tcp;

    /// \brief The key of packets in the other direction.
    flow_key reversed() const
    {
        return {destination, source, destination_port, source_port, protocol};
    }

    friend bool operator==(const flow_key& a, const flow_key& b)
    {
        return a.source_port == b.source_port &&
               a.destination_port == b.destination_port &&
               a.protocol == b.protocol && a.source == b.source &&
               a.destination == b.destination;
    }
    friend bool operator!=(const flow_key& a, const flow_key& b)
    {
        return !(a == b);
    }
};

/// \brief TCP header bits (RFC 9293, section 3.1).
struct tcp_flags
{
    static constexpr std::uint8_t fin = 0x01;
    static constexpr std::uint8_t syn = 0x02;
    static constexpr std::uint8_t rst = 0x04;
    static constexpr std::uint8_t psh = 0x08;
    static constexpr std::uint8_t ack = 0x10;
};

/// \brief Result of parsing an IP packet; offsets count from its first byte.
struct ip_packet_view
{
    flow_key key;
    std::uint16_t transport_offset = 0; ///< Start of the TCP or UDP header.
    std::uint16_t payload_offset = 0;   ///< First byte after that header.
    std::uint16_t total_length = 0;     ///< Bytes, as the IP header gives.
    std::uint8_t tcp_bits = 0;          ///< Bits of tcp_flags; 0 for UDP.
    std::uint32_t tcp_sequence = 0;
    std::uint32_t tcp_acknowledgment = 0;

    /// \brief Whether the packet may open a flow: a UDP datagram, or a TCP
    /// segment with SYN but neither ACK nor RST.
    bool may_open() const
    {
        return key.protocol == transport::udp ||
               (tcp_bits & (tcp_flags::syn | tcp_flags::ack |
                            tcp_flags::rst)) == tcp_flags::syn;
    }
};

/// \brief Parses an IPv4 or IPv6 packet that carries TCP or UDP.
///
/// Checks lengths and the IPv4 header checksum, and rejects fragments. Does not
/// check the transport checksum, see \ref transport_checksum_valid. Never reads
/// past the end of \a packet.
///
/// \returns errc::ok, or the reason why the packet cannot be balanced:
/// errc::packet_truncated, errc::packet_malformed, errc::packet_checksum,
/// errc::packet_fragment or errc::packet_unsupported.
errc parse_ip_packet(const_byte_span packet, ip_packet_view& out) noexcept;

/// \brief Verifies the TCP or UDP checksum of a parsed packet.
///
/// A UDP checksum of zero (none) is valid over IPv4 and invalid over IPv6.
bool transport_checksum_valid(const_byte_span packet,
                              const ip_packet_view& view) noexcept;

/// \brief Internet checksum (RFC 1071) of \a bytes.
///
/// \param sum Initial value, such as the sum of a pseudo header.
std::uint16_t internet_checksum(const_byte_span bytes,
                                std::uint32_t sum = 0) noexcept;

/// \brief Contents of a TCP segment for \ref build_tcp_packet.
struct tcp_segment
{
    flow_key key;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgment = 0;
    std::uint8_t bits = 0; ///< Bits of tcp_flags.
    const_byte_span payload;
};

/// \brief Builds an IP packet that carries a TCP segment, with checksums.
std::vector<std::uint8_t> build_tcp_packet(const tcp_segment& segment);

/// \brief Builds an IP packet that carries a UDP datagram, with checksums.
std::vector<std::uint8_t> build_udp_packet(const flow_key& key,
                                           const_byte_span payload);

/// \brief Builds the TCP reset in response to \a packet (RFC 9293, 3.10.7.1).
///
/// \a view must be the result of parsing \a packet, a TCP segment.
std::vector<std::uint8_t> build_tcp_reset(const_byte_span packet,
                                          const ip_packet_view& view);

/// \brief Reason given in an ICMP error.
enum class icmp_reason : std::uint8_t
{
    port_unreachable,
    administratively_prohibited,
    packet_too_big
};

/// \brief Builds an ICMP or ICMPv6 error in response to \a packet.
///
/// The error goes to the packet's source and quotes the start of the packet.
///
/// \param mtu Largest packet that fits the path, in bytes; only used for
/// icmp_reason::packet_too_big.
std::vector<std::uint8_t> build_icmp_error(const_byte_span packet,
                                           const ip_packet_view& view,
                                           icmp_reason reason,
                                           std::uint16_t mtu = 0);

} // namespace briarfield

#endif
