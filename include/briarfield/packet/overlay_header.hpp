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

/// \brief Owners a packet can name: the current one and earlier ones.
constexpr std::size_t max_chain_length = 4;

/// \brief What an overlay datagram is for.
enum class overlay_type : std::uint8_t
{
    data = 0,    ///< Carries a caller's IP packet to an agent.
    map_hint = 1 ///< Tells a balancer that its map is older than the agent's.
};

/// \brief Bits of overlay_header::flags.
struct overlay_flags
{
    /// Every earlier owner has been asked and none knew the flow.
    static constexpr std::uint8_t searched = 0x01;

    /// No agent knew the flow; it may be one of an earlier run of an agent.
    static constexpr std::uint8_t recover = 0x02;

    /// Someone who may know the flow could not be asked: the chain is full.
    static constexpr std::uint8_t incomplete = 0x08;

    /// An agent that was asked may have known the flow in an earlier run.
    static constexpr std::uint8_t ambiguous = 0x04;

    /// With unsure: log2 of the seconds since the start of the youngest agent
    /// that may have known the flow, in the upper four bits.
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

/// \brief Header between balancers and agents, before the caller's packet.
///
/// On the wire, in network order (\ref overlay_fixed_size bytes, then the
/// chain with 6 bytes an IPv4 and 18 an IPv6 entry, then 25 bytes of trace
/// context if present):
///
///     0 version  1 type  2 key id  3 chain length, 0x40 trace, 0x80 IPv6
///     4 hop      5 flags 6 bucket  8 service id  16 map version  24 MAC
///
/// The MAC covers the header with the MAC as zeros, the first
/// \ref overlay_mac_payload bytes of the packet and the datagram's length.
struct overlay_header
{
    overlay_type type = overlay_type::data;
    std::uint8_t key_id = 0;
    std::uint8_t hop = 0; ///< Position in the chain that is addressed.
    std::uint8_t flags = 0;
    std::uint16_t bucket = 0;
    std::uint64_t service_id = 0;
    std::uint64_t map_version = 0;
    std::uint8_t chain_length = 0;
    std::array<endpoint, max_chain_length> chain{}; ///< Current owner first.
    bool traced = false;
    trace_context trace;
};

constexpr std::uint8_t overlay_version = 1;
constexpr std::size_t overlay_mac_size = 16;    // Bytes.
constexpr std::size_t overlay_mac_payload = 64; // Bytes.
constexpr std::size_t overlay_fixed_size = 40;  // Bytes.
constexpr std::size_t overlay_trace_size = 25;  // Bytes.
constexpr std::size_t overlay_max_size =
    overlay_fixed_size + max_chain_length * 18 + overlay_trace_size;
constexpr std::size_t overlay_max_covered =
    overlay_max_size + overlay_mac_payload;

/// \brief Message authentication code of a datagram.
using overlay_mac = std::array<std::uint8_t, overlay_mac_size>;

/// \brief What the MAC of one datagram is computed from.
struct overlay_mac_input
{
    const_byte_span covered; ///< At most \ref overlay_max_covered bytes.
    std::uint32_t total = 0; ///< Bytes of the whole datagram.
};

/// \brief Keys of the overlay's MAC: one signs, up to two verify.
///
/// During a rotation the old and the new key are both valid. A key is 16
/// bytes. The MAC is AES-CMAC (RFC 4493) over a block with the datagram's
/// length and the bytes covered. A batch of messages goes through the cipher
/// side by side, so that they share its calls.
class overlay_keyring
{
public:
    using key_type = std::array<std::uint8_t, 16>;

    /// \brief Sets the key that signs; it also verifies.
    void set_signing_key(std::uint8_t id, const key_type& key);

    /// \brief Sets the other key that verifies; replaces an earlier one.
    void set_other_key(std::uint8_t id, const key_type& key);

    /// \brief Forgets the other key: a rotation has ended.
    void clear_other_key();

    std::uint8_t signing_id() const { return signing_.id; }

    /// \brief MACs of \a count datagrams under key \a id.
    ///
    /// \returns false if no such key is valid; nothing is then written.
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

/// \brief Bytes that \a header takes on the wire.
std::size_t overlay_size(const overlay_header& header) noexcept;

/// \brief Writes and signs a header that ends where \a packet begins.
///
/// There must be \ref overlay_max_size writable bytes before \a packet. The
/// header's key id is that of the ring's signing key.
///
/// \returns the whole datagram: header and packet.
byte_span encode_overlay(const overlay_header& header,
                         byte_span packet,
                         const overlay_keyring& keys) noexcept;

/// \brief Like \ref encode_overlay, but leaves the MAC zero.
byte_span write_overlay(const overlay_header& header,
                        byte_span packet,
                        const overlay_keyring& keys) noexcept;

/// \brief What to authenticate of a datagram that \ref write_overlay made.
///
/// overlay_keyring::authenticate makes the MAC of it, \ref put_overlay_mac
/// puts it in its place. Reading a datagram that was written just before is
/// slow; write a whole batch first.
overlay_mac_input make_overlay_mac_input(byte_span datagram,
                                         std::size_t packet_size) noexcept;

/// \brief Writes the MAC of a datagram.
void put_overlay_mac(byte_span datagram, const overlay_mac& mac) noexcept;

/// \brief Reads and verifies a datagram.
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
