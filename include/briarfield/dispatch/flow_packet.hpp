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

/// \brief What a packet does to its flow.
enum class packet_kind : std::uint8_t
{
    opening, ///< Asks for a new flow; nothing of it can have run.
    segment, ///< Data or an acknowledgment.
    closing, ///< The sender will send no more data.
    reset,   ///< The flow is over at once.
    count_
};

/// \brief Label of \a kind in logs and metrics.
std::string_view packet_kind_name(packet_kind kind) noexcept;

/// \brief A packet as decisions see it, whatever header it came under.
///
/// \sa packet_codec
struct flow_packet
{
    flow_key key; ///< From the caller to the service, in both directions.
    packet_kind kind = packet_kind::segment;
    bool accepts = false;  ///< The server's answer to an opening.
    bool returned = false; ///< The server did not take it; still valid.
    unsigned retransmission_count =
        0; ///< Openings: earlier copies the caller has sent.
    std::uint16_t payload_size = 0;   ///< Bytes.
    std::uint32_t acknowledgment = 0; ///< What the sender expects next.
    const_byte_span bytes; ///< The whole packet; valid while it is handled.
};

/// \brief Identity of a service within a datagram: a hash of its name.
using service_tag = std::uint32_t;

/// \brief Tag of the service \a name; the same in every process.
service_tag make_service_tag(std::string_view name) noexcept;

/// \brief Why a balancer sends a packet to an agent.
enum class forward_mode : std::uint8_t
{
    opening,        ///< The balancer would like a new flow to be here.
    opening_forced, ///< The same; servers that are less busy were not found.
    known,  ///< The flow is at this server, as far as the balancer knows.
    search, ///< The balancer asks whether the flow is at this server.
    count_
};

/// \brief Why an agent gives a packet back to the balancer.
enum class return_reason : std::uint8_t
{
    not_taken,     ///< The server does not hold the flow, or has no room.
    other_service, ///< The server belongs to another service.
    draining,      ///< The server is leaving, or has left.
    silent,        ///< Nothing was heard of the server for too long.
    busy,          ///< Openings do better at a server with fewer requests.
    count_
};

/// \brief Label of \a reason in logs and metrics.
std::string_view return_reason_name(return_reason reason) noexcept;

/// \brief What a balancer tells an agent with a packet.
struct forward_info
{
    forward_mode mode = forward_mode::known;
    service_tag service = 0; ///< Of the route; checked for openings.
};

/// \brief The bytes of a packet without payload, kept.
class short_packet
{
public:
    /// \brief Bytes that fit; headers of every codec do.
    static constexpr std::size_t capacity = 40;

    short_packet() = default;

    /// \brief Copies \a bytes; stays empty if they do not fit.
    explicit short_packet(const_byte_span bytes);

    bool empty() const { return size_ == 0; }
    const_byte_span span() const { return {bytes_.data(), size_}; }

private:
    std::uint8_t size_ = 0;
    std::array<std::uint8_t, capacity> bytes_{};
};

/// \brief Reads and marks packets of one kind of header.
///
/// Decisions know no header: each way into the system brings a codec. The
/// others may assume that one of the decoders has accepted the bytes.
struct packet_codec
{
    /// Errors: errc::packet_truncated, errc::packet_malformed.
    std::function<result<flow_packet>(const_byte_span)> decode_caller;

    /// The same for what a server sends or returns.
    std::function<result<flow_packet>(const_byte_span)> decode_server;

    /// Puts a tag into a packet for the server, which leaves it there when it
    /// returns the packet.
    std::function<void(byte_span, std::uint32_t)> put_tag;
    std::function<std::uint32_t(const_byte_span)> tag;

    /// Makes a packet as its sender wrote it: no tag, no mark of a return.
    std::function<void(byte_span)> clear_marks;

    /// A reset of ours towards the caller of a flow.
    std::function<std::vector<std::uint8_t>(const flow_key&,
                                            std::uint32_t sequence)>
        build_reset;
};

} // namespace briarfield

#endif
