#ifndef BRIARFIELD_DISPATCH_PLACEMENT_HPP
#define BRIARFIELD_DISPATCH_PLACEMENT_HPP

#include "briarfield/dispatch/agent_directory.hpp"

#include <cstdint>
#include <functional>
#include <vector>

namespace briarfield
{

/// \brief A server that may take a new flow.
struct placement_candidate
{
    agent_index agent = no_agent;
    std::uint64_t rank = 0;  ///< Rendezvous hash of the flow and the agent.
    bool same_zone = false;  ///< As the balancer.
    bool overloaded = false; ///< It has just said so.
    const agent_directory::record* record = nullptr;
};

/// \brief Chooses among at least one candidate; returns a position.
///
/// Pure: the same candidates give the same choice.
using placement_policy =
    std::function<std::size_t(const std::vector<placement_candidate>&)>;

/// \brief Rendezvous hash of a flow and an agent (Thaler, Ravishankar 1998).
std::uint64_t placement_rank(std::uint64_t flow_hash, const endpoint& agent);

/// \brief Requests in progress and expected on a server, for each slot.
///
/// Answers calm and heavy days alike: a flow counts although it is idle now,
/// since it will send; what is in progress counts more.
double expected_load(const agent_directory::record& r);

/// \brief The candidate of the highest rank, whatever its load.
placement_policy place_by_rank();

/// \brief The less loaded of the two highest ranks (Mitzenmacher 2001).
placement_policy place_by_two_choices();

/// \brief The server with the fewest flows for each slot.
placement_policy place_by_flows();

/// \brief The least loaded server; the rank decides between equals.
placement_policy place_by_load();

} // namespace briarfield

#endif
