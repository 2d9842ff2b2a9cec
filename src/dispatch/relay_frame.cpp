#include "briarfield/dispatch/relay_frame.hpp"

namespace briarfield
{

namespace
{

constexpr std::size_t message_header_size = 1;  // Bytes.
constexpr std::size_t return_header_size = 2;   // Bytes.
constexpr std::size_t overload_header_size = 3; // Bytes.

void write_tag(std::uint8_t* to, service_tag tag)
{
    for (unsigned i = 0; i < 4; ++i)
        to[i] = static_cast<std::uint8_t>(tag >> (8 * i));
}

service_tag read_tag(const std::uint8_t* from)
{
    service_tag tag = 0;
    for (unsigned i = 0; i < 4; ++i)
        tag |= service_tag{from[i]} << (8 * i);
    return tag;
}

/// Value of the service tag in a frame of forward_mode::search whose packet the
/// balancer has kept. Earlier versions write 0 and read nothing.
constexpr service_tag packet_kept_tag = 1;

result<relay_frame> read_forward(byte_span datagram)
{
    if (datagram.size() < relay_frame_overhead ||
        datagram[1] >= static_cast<std::uint8_t>(forward_mode::count_))
        return fail(errc::message_malformed, "invalid forward frame");
    relay_frame frame;
    frame.kind = frame_kind::forward;
    frame.info.mode = static_cast<forward_mode>(datagram[1]);
    frame.info.service = read_tag(&datagram[2]);
    frame.info.packet_kept = frame.info.mode == forward_mode::search &&
                             frame.info.service == packet_kept_tag;
    frame.body = datagram.drop_front(relay_frame_overhead);
    return frame;
}

result<relay_frame> read_return(byte_span datagram)
{
    if (datagram.size() < return_header_size ||
        datagram[1] >= static_cast<std::uint8_t>(return_reason::count_))
        return fail(errc::message_malformed, "invalid return frame");
    relay_frame frame;
    frame.kind = frame_kind::return_packet;
    frame.returned.reason = static_cast<return_reason>(datagram[1]);
    frame.body = datagram.drop_front(return_header_size);
    return frame;
}

result<relay_frame> read_overload(byte_span datagram)
{
    if (datagram.size() < overload_header_size)
        return fail(errc::message_malformed, "invalid overload frame");
    relay_frame frame;
    frame.kind = frame_kind::return_packet;
    frame.returned.reason = return_reason::busy;
    frame.returned.requests =
        static_cast<std::uint16_t>(datagram[1] | (datagram[2] << 8U));
    frame.body = datagram.drop_front(overload_header_size);
    return frame;
}

byte_span write_overload_frame(byte_span packet, std::uint16_t requests)
{
    std::uint8_t* start = packet.data() - overload_header_size;
    start[0] = static_cast<std::uint8_t>(frame_kind::return_overloaded);
    start[1] = static_cast<std::uint8_t>(requests);
    start[2] = static_cast<std::uint8_t>(requests >> 8U);
    return {start, packet.size() + overload_header_size};
}

} // namespace

result<relay_frame> read_relay_frame(byte_span datagram)
{
    if (datagram.empty())
        return fail(errc::message_malformed, "empty frame");
    switch (static_cast<frame_kind>(datagram[0]))
    {
    case frame_kind::forward:
        return read_forward(datagram);
    case frame_kind::return_packet:
        return read_return(datagram);
    case frame_kind::return_overloaded:
        return read_overload(datagram);
    case frame_kind::message:
        break;
    default:
        return fail(errc::message_malformed, "unknown kind of frame");
    }
    relay_frame frame;
    frame.body = datagram.drop_front(message_header_size);
    return frame;
}

byte_span write_forward_frame(byte_span packet, forward_info info)
{
    std::uint8_t* start = packet.data() - relay_frame_overhead;
    start[0] = static_cast<std::uint8_t>(frame_kind::forward);
    start[1] = static_cast<std::uint8_t>(info.mode);
    write_tag(start + 2, info.packet_kept ? packet_kept_tag : info.service);
    return {start, packet.size() + relay_frame_overhead};
}

byte_span write_return_frame(byte_span packet, return_info info)
{
    if (info.reason == return_reason::busy)
        return write_overload_frame(packet, info.requests);
    std::uint8_t* start = packet.data() - return_header_size;
    start[0] = static_cast<std::uint8_t>(frame_kind::return_packet);
    start[1] = static_cast<std::uint8_t>(info.reason);
    return {start, packet.size() + return_header_size};
}

} // namespace briarfield
