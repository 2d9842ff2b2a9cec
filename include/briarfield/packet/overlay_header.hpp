#ifndef BRIARFIELD_PACKET_OVERLAY_HEADER_HPP
#define BRIARFIELD_PACKET_OVERLAY_HEADER_HPP

#include "briarfield/core/byte_span.hpp"
#include "briarfield/core/endpoint.hpp"
#include "briarfield/core/error.hpp"

#include <array>
#include <cstdint>
#include <memory>

namespace briarfield
{

/// \brief Maximum number of owners in a header: the current one and earlier
/// ones.
constexpr std::size_t max_chain_length = 4;

/// \brief Kind of an overlay datagram.
enum class overlay_type : std::uint8_t
{
    data = 0,    ///< Carries a caller's IP packet to an agent.
    map_hint = 1 ///< Notifies a balancer that the agent has a newer map.
};

/// \brief Bits of overlay_header::flags, which hold the state of the search for
/// a flow's owner.
struct overlay_flags
{
    /// All earlier owners were queried and none has a record of the flow.
    static constexpr std::uint8_t searched = 0x01;

    /// No agent has a record of the flow; it may belong to an earlier
    /// incarnation of an agent.
    static constexpr std::uint8_t recover = 0x02;

    /// An agent that may hold the flow was not queried: the chain is full, or
    /// lacks an owner because the map is older than the start of the agent.
    static constexpr std::uint8_t incomplete = 0x08;

    /// A queried agent may have held the flow in an earlier incarnation.
    static constexpr std::uint8_t ambiguous = 0x04;

    /// With ambiguous, the upper four bits hold the age class of the agent
    /// that started last of those that may have held the flow: log2 of the
    /// seconds since its start.
    static constexpr unsigned age_shift = 4;
    static constexpr std::uint8_t age_mask = 0xf0;
};

/// \brief W3C trace context of a sampled packet.
struct trace_context
{
    std::array<std::uint8_t, 16> trace_id{};
    std::array<std::uint8_t, 8> span_id{};
    std::uint8_t flags = 0;
};

/// \brief Header that precedes the caller's packet between balancers and
/// agents.
///
/// Wire format, in network byte order: \ref overlay_fixed_size bytes, then the
/// chain with 6 bytes per IPv4 entry or 18 bytes per IPv6 entry, then 25 bytes
/// of trace context if present. Offsets of the fixed part, in bytes:
///
///     0 version  1 type  2 key id  3 chain length, 0x40 trace, 0x80 IPv6
///     4 hop      5 flags 6 bucket  8 service id  16 map version  24 MAC
///
/// The MAC covers the header (with the MAC field set to zero), the first
/// \ref overlay_mac_payload bytes of the packet and the datagram's length.
struct overlay_header
{
    overlay_type type = overlay_type::data;
    std::uint8_t key_id = 0;
    std::uint8_t hop = 0; ///< Index in the chain of the agent addressed.
    std::uint8_t flags = 0;
    std::uint16_t bucket = 0;
    std::uint64_t service_id = 0;
    std::uint64_t map_version = 0;
    std::uint8_t chain_length = 0;
    std::array<endpoint, max_chain_length> chain{}; ///< Current owner first.
    bool traced = false; ///< Whether \ref trace is present.
    trace_context trace;
};

constexpr std::uint8_t overlay_version = 1;
constexpr std::size_t overlay_mac_size = 16;    // Bytes.
constexpr std::size_t overlay_mac_payload = 64; // Bytes of the packet.
constexpr std::size_t overlay_fixed_size = 40;  // Bytes.
constexpr std::size_t overlay_trace_size = 25;  // Bytes.
constexpr std::size_t overlay_max_size =
    overlay_fixed_size + max_chain_length * 18 + overlay_trace_size;
constexpr std::size_t overlay_max_covered =
    overlay_max_size + overlay_mac_payload;

/// \brief Message authentication code of a datagram.
using overlay_mac = std::array<std::uint8_t, overlay_mac_size>;

/// \brief Input of the MAC of one datagram.
struct overlay_mac_input
{
    const_byte_span covered;         ///< Bytes that the MAC covers, at most
                                     ///< \ref overlay_max_covered.
    std::uint32_t datagram_size = 0; ///< Bytes of the whole datagram,
                                     ///< including those not covered.
};

/// \brief Keys of the overlay's MAC: one signs, up to two verify.
///
/// During a key rotation both the old and the new key verify. Keys are 16
/// bytes long. The MAC is AES-CMAC (RFC 4493) over a block that holds the
/// datagram's length, followed by the covered bytes. The messages of a batch
/// are encrypted in parallel lanes, which saves calls of the cipher.
class overlay_keyring
{
public:
    using key_type = std::array<std::uint8_t, 16>;

    /// \brief Sets the signing key, which also verifies.
    void set_signing_key(std::uint8_t id, const key_type& key);

    /// \brief Sets the second key, which only verifies; replaces any earlier
    /// one.
    void set_other_key(std::uint8_t id, const key_type& key);

    /// \brief Removes the second key, at the end of a rotation.
    void clear_other_key();

    std::uint8_t signing_id() const { return signing_.id; }

    /// \brief Computes the MACs of \a count datagrams with key \a id.
    ///
    /// \returns false if there is no key \a id; \a macs is then not written.
    bool authenticate(std::uint8_t id,
                      const overlay_mac_input* inputs,
                      overlay_mac* macs,
                      std::size_t count) const noexcept;

private:
    struct schedule;

    struct slot
    {
        std::uint8_t id = 0;
        std::shared_ptr<const schedule> keys; ///< Null: no key.
    };

    const schedule* find(std::uint8_t id) const noexcept;

    slot signing_;
    slot other_;
};

/// \brief Encoded size of \a header in bytes.
std::size_t overlay_size(const overlay_header& header) noexcept;

/// \brief Writes and signs a header directly in front of \a packet.
///
/// There must be \ref overlay_max_size writable bytes before \a packet. The
/// key id written is that of the signing key; overlay_header::key_id is
/// ignored.
///
/// \returns the whole datagram: header and packet.
byte_span encode_overlay(const overlay_header& header,
                         byte_span packet,
                         const overlay_keyring& keys) noexcept;

/// \brief Like \ref encode_overlay, but sets the MAC to zero.
byte_span write_overlay(const overlay_header& header,
                        byte_span packet,
                        const overlay_keyring& keys) noexcept;

/// \brief MAC input of a datagram that \ref write_overlay returned.
///
/// overlay_keyring::authenticate computes the MAC from it and
/// \ref put_overlay_mac stores the MAC in the datagram. Reading back a datagram
/// directly after writing it is slow, so write a whole batch before computing
/// its MACs.
overlay_mac_input make_overlay_mac_input(byte_span datagram,
                                         std::size_t packet_size) noexcept;

/// \brief Stores \a mac in the header of \a datagram.
void put_overlay_mac(byte_span datagram, const overlay_mac& mac) noexcept;

/// \brief Decodes a datagram and verifies its MAC.
///
/// \param[out] packet The caller's packet within \a datagram.
/// \returns errc::ok, errc::packet_truncated, errc::header_version,
/// errc::packet_malformed, errc::header_key_unknown or errc::header_mac.
errc decode_overlay(byte_span datagram,
                    const overlay_keyring& keys,
                    overlay_header& header,
                    byte_span& packet) noexcept;

} // namespace briarfield

#endif
