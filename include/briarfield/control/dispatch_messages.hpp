#ifndef BRIARFIELD_CONTROL_DISPATCH_MESSAGES_HPP
#define BRIARFIELD_CONTROL_DISPATCH_MESSAGES_HPP

#include "briarfield/dispatch/agent_directory.hpp"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace briarfield
{

/// \brief An agent's word that its server has a flow.
struct flow_held_message
{
    flow_key key;
    endpoint agent; ///< Where the agent takes frames.
};

/// \brief A balancer's word of who is there.
struct balancer_notice
{
    endpoint relay; ///< Where the sender takes frames.
    std::uint64_t config_version = 0;
    std::vector<endpoint> balancers; ///< Where they take frames.
    std::vector<endpoint> agents;    ///< The same.
    bool leaving = false;            ///< The sender is stopping.
    std::uint64_t incarnation = 0;   ///< Differs with each start.
    std::uint32_t agent_count = 0;   ///< Agents heard of lately.
};

/// \brief What a control datagram between balancers and agents carries.
using dispatch_message =
    std::variant<agent_status, flow_held_message, balancer_notice>;

/// \brief Cap'n Proto encoding of \a message, packed.
std::string encode_dispatch_message(const dispatch_message& message);

/// \brief Reads a datagram. Errors: errc::message_malformed,
/// errc::message_too_large.
result<dispatch_message> decode_dispatch_message(std::string_view bytes);

} // namespace briarfield

#endif
