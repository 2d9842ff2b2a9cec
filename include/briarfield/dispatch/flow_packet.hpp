#ifndef BRIARFIELD_DISPATCH_FLOW_PACKET_HPP
#define BRIARFIELD_DISPATCH_FLOW_PACKET_HPP

#include "briarfield/packet/ip_packet.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

namespace briarfield
{

/// \brief Effect of a packet on its flow.
enum class packet_kind : std::uint8_t
{
    opening, ///< Requests a new flow; no data has been exchanged on it.
    segment, ///< Data or an acknowledgment.
    closing, ///< The sender will send no more data.
    reset,   ///< Ends the flow immediately.
    count_
};

/// \brief Label of \a kind in logs and metrics.
std::string_view packet_kind_name(packet_kind kind) noexcept;

/// \brief A packet, independent of its header format.
///
/// \sa packet_codec
struct flow_packet
{
    /// From the caller to the service, also for packets of the server.
    flow_key key;
    packet_kind kind = packet_kind::segment;
    bool accepts = false; ///< The server's answer to an opening.
    /// The server did not take the packet; its content is still valid.
    bool returned = false;
    unsigned retransmission_count = 0; ///< For openings.
    std::uint16_t payload_size = 0;    ///< Bytes.
    /// Of the sender; all copies of an opening have the same one.
    std::uint32_t sequence = 0;
    /// Next sequence number that the sender expects.
    std::uint32_t acknowledgment = 0;
    const_byte_span bytes; ///< The whole packet; valid while it is handled.
};

/// \brief Identifies a service in a datagram: a hash of its name.
using service_tag = std::uint32_t;

/// \brief Tag of the service \a name; identical in every process.
service_tag make_service_tag(std::string_view name) noexcept;

/// \brief Why a balancer sends a packet to an agent.
enum class forward_mode : std::uint8_t
{
    opening, ///< A new flow; the server may reject it if it is overloaded.
    /// A new flow for which no server with less load was found.
    opening_forced,
    known,  ///< The location of the flow is cached.
    search, ///< Queries whether the server has the flow.
    count_
};

/// \brief Why an agent returns a packet to the balancer.
enum class return_reason : std::uint8_t
{
    not_taken,     ///< The server does not have the flow, or has no capacity.
    other_service, ///< The server belongs to another service.
    draining,      ///< The server is draining or has stopped.
    silent,        ///< The server has timed out.
    busy,          ///< The server is overloaded; another one answers sooner.
    warming,       ///< The server is warming up and takes no more openings now.
    /// Answer to a search whose packet the balancer has kept: the server does
    /// not have the flow. The returned packet has no payload.
    not_held,
    count_
};

/// \brief Label of \a reason in logs and metrics.
std::string_view return_reason_name(return_reason reason) noexcept;

/// \brief Data that an agent sends to a balancer with a returned packet.
struct return_info
{
    return_reason reason = return_reason::not_taken;
    /// Requests that are in progress, or expected, at the server now; for
    /// return_reason::busy.
    std::uint16_t requests = 0;
};

/// \brief Data that a balancer sends to an agent with a packet.
struct forward_info
{
    forward_mode mode = forward_mode::known;
    service_tag service = 0; ///< Service of the route; checked for openings.
    /// The balancer has kept the packet, so that an agent need not return its
    /// payload; for forward_mode::search.
    bool packet_kept = false;
};

/// \brief A stored packet without payload.
class short_packet
{
public:
    /// \brief Maximum size in bytes; headers of every codec fit.
    static constexpr std::size_t capacity = 40;

    short_packet() = default;

    /// \brief Copies \a bytes; the packet is empty if they do not fit.
    explicit short_packet(const_byte_span bytes);

    bool empty() const { return size_ == 0; }
    const_byte_span span() const { return {bytes_.data(), size_}; }

private:
    std::uint8_t size_ = 0;
    std::array<std::uint8_t, capacity> bytes_{};
};

/// \brief Decodes and marks packets of one header format.
///
/// The decisions are independent of the header format: each entry point of
/// packets has a codec. The functions besides the decoders may assume that one
/// of the decoders has accepted the bytes.
struct packet_codec
{
    /// Decodes a packet from a caller.
    ///
    /// Errors: errc::packet_truncated, errc::packet_malformed.
    std::function<result<flow_packet>(const_byte_span)> decode_caller;

    /// Decodes a packet that a server sends or returns. Errors: the same.
    std::function<result<flow_packet>(const_byte_span)> decode_server;

    /// Writes a tag into a packet for the server, which keeps the tag when it
    /// returns the packet.
    std::function<void(byte_span, std::uint32_t)> put_tag;

    /// Returns the tag in a packet that a server sends or returns.
    std::function<std::uint32_t(const_byte_span)> tag;

    /// Restores a packet as its sender wrote it: removes the tag and the mark
    /// of a returned packet.
    std::function<void(byte_span)> clear_marks;

    /// Removes the payload; the result is a valid packet in the same memory.
    std::function<byte_span(byte_span)> drop_payload;

    /// Builds a reset of a flow, with the given sequence number, for its
    /// caller.
    std::function<std::vector<std::uint8_t>(const flow_key&,
                                            std::uint32_t sequence)>
        build_reset;
};

} // namespace briarfield

#endif
