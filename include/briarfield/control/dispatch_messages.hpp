#ifndef BRIARFIELD_CONTROL_DISPATCH_MESSAGES_HPP
#define BRIARFIELD_CONTROL_DISPATCH_MESSAGES_HPP

#include "briarfield/dispatch/agent_directory.hpp"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace briarfield
{

/// \brief Sent by an agent whose server has an open flow.
struct flow_held_message
{
    flow_key key;
    endpoint agent; ///< Address at which the agent receives frames.
};

/// \brief Sent by a balancer: its state and the processes of which it has a
/// record.
struct balancer_notice
{
    endpoint relay; ///< Address at which the sender receives frames.
    std::uint64_t config_version = 0;
    /// Addresses at which the balancers receive frames.
    std::vector<endpoint> balancers;
    /// Addresses at which the agents receive frames.
    std::vector<endpoint> agents;
    bool leaving = false;          ///< Whether the sender is stopping.
    std::uint64_t incarnation = 0; ///< Differs for each start of the sender.
    std::uint32_t agent_count = 0; ///< Number of agents alive.
};

/// \brief Content of a control datagram between balancers and agents.
using dispatch_message =
    std::variant<agent_status, flow_held_message, balancer_notice>;

/// \brief Encodes \a message as packed Cap'n Proto.
std::string encode_dispatch_message(const dispatch_message& message);

/// \brief Decodes a datagram. Errors: errc::message_malformed,
/// errc::message_too_large.
result<dispatch_message> decode_dispatch_message(std::string_view bytes);

} // namespace briarfield

#endif
