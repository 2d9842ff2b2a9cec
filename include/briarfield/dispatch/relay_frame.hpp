#ifndef BRIARFIELD_DISPATCH_RELAY_FRAME_HPP
#define BRIARFIELD_DISPATCH_RELAY_FRAME_HPP

#include "briarfield/dispatch/flow_packet.hpp"

#include <cstdint>

namespace briarfield
{

/// \brief What a datagram between our own processes carries.
///
/// The first byte is the kind. A forward frame goes on with the mode (1 byte)
/// and the service's tag (4 bytes, little endian), a give_back frame with the
/// reason (1 byte); then comes the packet, or the encoded message.
enum class frame_kind : std::uint8_t
{
    message = 1,       ///< A control message; nothing of the data path.
    forward = 2,       ///< Balancer to agent: a packet for the server.
    return_packet = 3, ///< Agent to balancer: a packet that was not taken.
};

/// \brief A frame that was read; \ref body points into the datagram.
struct relay_frame
{
    frame_kind kind = frame_kind::message;
    forward_info info;                               ///< Of a forward frame.
    return_reason reason = return_reason::not_taken; ///< Of give_back.
    byte_span body;
};

/// \brief Bytes that a frame needs before its body, at most.
constexpr std::size_t relay_frame_overhead = 6;

/// \brief Reads a datagram of another process of ours.
///
/// Errors: errc::message_malformed.
result<relay_frame> read_relay_frame(byte_span datagram);

/// \brief Writes the head of a forward frame before \a packet, in place.
///
/// There must be \ref relay_frame_overhead writable bytes before it.
/// \returns the whole frame.
byte_span write_forward_frame(byte_span packet, forward_info info);

/// \brief Writes the head of a give_back frame before \a packet, in place.
byte_span write_return_frame(byte_span packet, return_reason reason);

} // namespace briarfield

#endif
