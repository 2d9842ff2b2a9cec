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
    bool same_zone = false;  ///< Whether it is in the balancer's zone.
    bool overloaded = false; ///< See agent_directory::overloaded.
    const agent_directory::record* record = nullptr;
};

/// \brief Chooses one of at least one candidate; returns its position.
///
/// Pure function: identical candidates give the same choice.
using placement_policy =
    std::function<std::size_t(const std::vector<placement_candidate>&)>;

/// \brief Rendezvous hash of a flow and an agent (Thaler, Ravishankar 1998).
std::uint64_t placement_rank(std::uint64_t flow_hash, const endpoint& agent);

/// \brief Requests in progress and expected on a server, per slot.
///
/// Covers low and high load: an idle flow counts, since it will send; a request
/// in progress counts more.
double expected_load(const agent_directory::record& record);

/// \brief Time until another request that reaches the server now is answered:
/// its turn in the queue, and the request itself. 0 if the server has answered
/// none yet.
duration expected_answer_time(const agent_directory::record& record);

/// \brief The candidate of the highest rank, regardless of its load.
placement_policy place_by_rank();

/// \brief The less loaded of the two highest ranks (Mitzenmacher 2001).
placement_policy place_by_two_choices();

/// \brief The server with the fewest flows per slot.
placement_policy place_by_flows();

/// \brief The server that is expected to answer first, by its load and, where
/// \ref service_time_comparison finds the servers unequal, by its measured
/// service time. Otherwise the least loaded one. Among equals the zone and then
/// the rank decides.
placement_policy place_by_load();

} // namespace briarfield

#endif
