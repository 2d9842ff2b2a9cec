#ifndef BRIARFIELD_DISPATCH_RELAY_FRAME_HPP
#define BRIARFIELD_DISPATCH_RELAY_FRAME_HPP

#include "briarfield/dispatch/flow_packet.hpp"

#include <cstdint>

namespace briarfield
{

/// \brief Kind of a datagram between briarfield processes.
///
/// The first byte is the kind. In a forward frame the mode (1 byte) and the
/// service's tag (4 bytes, little endian) follow, in a return frame the reason
/// (1 byte), in an overload frame the number of requests at the server (2
/// bytes, little endian); then comes the packet, or the encoded message.
enum class frame_kind : std::uint8_t
{
    message = 1,       ///< A control message; not part of the data path.
    forward = 2,       ///< Balancer to agent: a packet for the server.
    return_packet = 3, ///< Agent to balancer: a packet that was not taken.
    /// Agent to balancer: an opening returned for return_reason::busy.
    return_overloaded = 4,
};

/// \brief A decoded frame; \ref body points into the datagram.
struct relay_frame
{
    frame_kind kind = frame_kind::message;
    forward_info info;    ///< Of a forward frame.
    return_info returned; ///< Of a return or overload frame.
    byte_span body;
};

/// \brief Maximum size in bytes of a frame's header.
constexpr std::size_t relay_frame_overhead = 6;

/// \brief Decodes a datagram of another briarfield process.
///
/// Errors: errc::message_malformed.
result<relay_frame> read_relay_frame(byte_span datagram);

/// \brief Writes the header of a forward frame before \a packet, in place.
///
/// There must be \ref relay_frame_overhead writable bytes before it. \returns
/// the whole frame.
byte_span write_forward_frame(byte_span packet, forward_info info);

/// \brief Writes the header of a return or overload frame before \a packet, in
/// place; see \ref write_forward_frame.
byte_span write_return_frame(byte_span packet, return_info info);

} // namespace briarfield

#endif
