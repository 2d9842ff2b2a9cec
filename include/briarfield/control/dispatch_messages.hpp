#ifndef BRIARFIELD_CONTROL_DISPATCH_MESSAGES_HPP
#define BRIARFIELD_CONTROL_DISPATCH_MESSAGES_HPP

#include "briarfield/dispatch/agent_directory.hpp"
#include "briarfield/dispatch/evacuation_set.hpp"
#include "briarfield/dispatch/warmup_limiter.hpp"

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

/// \brief Sent by a balancer to an agent: asks which flows its server holds.
struct flow_query
{
    endpoint balancer;    ///< Address at which the answer is received.
    std::uint32_t id = 0; ///< Returned in the answer.
    std::vector<flow_key> flows;
};

/// \brief Answer of an agent to a \ref flow_query.
struct flow_answer
{
    endpoint agent;        ///< Address at which the agent receives frames.
    std::uint32_t id = 0;  ///< Of the query.
    bool complete = false; ///< Flows that are not listed are not held.
    std::vector<std::uint16_t> held; ///< Positions in flow_query::flows.
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
    evacuated_zones evacuations;
    /// Of \ref config_version. To an agent: that of its service alone, also
    /// if the configuration has none, so that the agent knows it.
    std::vector<warmup_limit> warmup_limits;
};

/// \brief Content of a control datagram between balancers and agents.
using dispatch_message = std::variant<agent_status,
                                      flow_held_message,
                                      balancer_notice,
                                      flow_query,
                                      flow_answer>;

/// \brief Encodes \a message as packed Cap'n Proto.
std::string encode_dispatch_message(const dispatch_message& message);

/// \brief Decodes a datagram. Errors: errc::message_malformed,
/// errc::message_too_large.
result<dispatch_message> decode_dispatch_message(std::string_view bytes);

} // namespace briarfield

#endif
