#ifndef BRIARFIELD_DISPATCH_FLOW_LOCATOR_HPP
#define BRIARFIELD_DISPATCH_FLOW_LOCATOR_HPP

#include "briarfield/core/clock.hpp"
#include "briarfield/dispatch/agent_directory.hpp"
#include "briarfield/flow/flow_table.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace briarfield
{

/// \brief State of a cached flow.
enum class location_state : std::uint8_t
{
    placed,    ///< Sent to a server as new; no answer seen.
    confirmed, ///< The agent reported that its server has the flow.
    searching, ///< Agents are queried; see \ref search_progress.
    lost,      ///< No server has it.
    count_
};

/// \brief Cached location of a flow; may be outdated.
struct flow_location
{
    location_state state = location_state::searching;
    agent_index agent = no_agent; ///< Agent to which packets are sent now.
    time_point agent_chosen_at{}; ///< When \ref agent was chosen.
    time_point last_packet{};     ///< When a packet of the flow last arrived.
    time_point first_failure{};   ///< When the first search failed.
    time_point next_search{};     ///< Earliest time of the next search.
    unsigned retransmission_count = 0; ///< Of the opening that was placed last.
    /// Sequence number of the opening that was placed here; unset if this
    /// balancer has placed none. Another one belongs to a later flow that uses
    /// the same addresses and ports.
    std::optional<std::uint32_t> opening_sequence;
    unsigned failed_searches = 0; ///< Unsuccessful searches.
    bool unanswered = false;      ///< A server did not respond in this search.
    /// The next kept packet is to be forwarded to \ref agent, which was not
    /// queried by it.
    bool forward_kept = false;
    bool force = false; ///< Overloaded servers must accept the opening, too.
    /// The opening was sent to a server that is reported as unavailable.
    bool last_resort = false;
    /// Agents that are not to be tried again for the opening.
    std::vector<agent_index> tried;
    /// Those of \ref tried that are only overloaded.
    std::vector<agent_index> overloaded;
};

/// \brief Bounded cache from flows to agents.
class flow_locator
{
public:
    /// \brief Maximum number of cached flows.
    static constexpr std::size_t capacity = 1U << 17U;

    /// \brief Location of \a key, or null.
    flow_location* find(const flow_key& key);

    /// \brief Location of \a key, added if it is not cached.
    flow_location& insert(const flow_key& key, time_point now);

    void erase(const flow_key& key) { flows_.erase(key); }

    std::size_t size() const { return flows_.size(); }

    /// \brief Removes flows without a packet for \a idle_timeout.
    void expire(time_point now, duration idle_timeout);

private:
    std::unordered_map<flow_key, flow_location, flow_key_hash> flows_;
};

} // namespace briarfield

#endif
