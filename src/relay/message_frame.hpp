#ifndef BRIARFIELD_SRC_RELAY_MESSAGE_FRAME_HPP
#define BRIARFIELD_SRC_RELAY_MESSAGE_FRAME_HPP

#include "briarfield/control/dispatch_messages.hpp"
#include "briarfield/dispatch/relay_frame.hpp"
#include "briarfield/net/udp_socket.hpp"

#include <string>
#include <vector>

namespace briarfield
{

/// Encodes \a message as a complete frame.
inline std::string message_frame(const dispatch_message& message)
{
    return static_cast<char>(frame_kind::message) +
           encode_dispatch_message(message);
}

inline const_byte_span bytes_of(const std::string& text)
{
    return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

inline std::string_view text_of(byte_span bytes)
{
    return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

/// Queues a copy of \a frame for each endpoint of \a to.
inline void queue_frame(udp_socket& from,
                        const std::vector<endpoint>& to,
                        const std::string& frame)
{
    for (const endpoint& address : to)
        from.queue_copy(address, bytes_of(frame));
}

/// Returns the name of a flow in logs, "caller>service".
inline std::string flow_name(const flow_key& key)
{
    return endpoint{key.source, key.source_port}.to_string() + ">" +
           endpoint{key.destination, key.destination_port}.to_string();
}

inline long long whole_ms(duration d)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

} // namespace briarfield

#endif
