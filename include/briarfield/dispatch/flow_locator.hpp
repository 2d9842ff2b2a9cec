#ifndef BRIARFIELD_DISPATCH_FLOW_LOCATOR_HPP
#define BRIARFIELD_DISPATCH_FLOW_LOCATOR_HPP

#include "briarfield/core/clock.hpp"
#include "briarfield/dispatch/agent_directory.hpp"
#include "briarfield/flow/flow_table.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace briarfield
{

/// \brief How much a balancer knows of where a flow is.
enum class location_state : std::uint8_t
{
    placed,    ///< Sent to a server as new; no answer seen.
    confirmed, ///< The agent said that its server has the flow.
    searching, ///< Asked of one server after the other.
    lost,      ///< All servers said that they do not have it.
    count_
};

/// \brief What a balancer remembers of a flow; a cache that may be wrong.
struct flow_location
{
    location_state state = location_state::searching;
    agent_index agent = no_agent;      ///< Where packets go now.
    time_point agent_chosen_at{};      ///< When \ref agent was chosen.
    time_point last_packet{};          ///< Last packet.
    time_point first_failure{};        ///< When the first round found nothing.
    unsigned retransmission_count = 0; ///< Of the opening that was placed last.
    unsigned failed_rounds = 0;        ///< Searches that found nothing.
    time_point retry_at{};   ///< When a kept packet is handed in again.
    bool unanswered = false; ///< A server of this round said nothing.
    bool force = false;      ///< The opening is to be taken by a busy server.
    std::vector<agent_index> tried; ///< Servers that do not have the flow.
    std::vector<agent_index>
        overloaded; ///< Of these, those that were only busy.
    std::vector<agent_index>
        unresponsive; ///< Of these, those that did not answer.
};

/// \brief Bounded cache from flows to agents.
class flow_locator
{
public:
    /// \brief Flows that a balancer remembers.
    static constexpr std::size_t capacity = 1U << 17U;

    /// \brief Location of \a key, or null.
    flow_location* find(const flow_key& key);

    /// \brief Location of \a key, made if it is not there.
    flow_location& insert(const flow_key& key, time_point now);

    void erase(const flow_key& key) { flows_.erase(key); }

    std::size_t size() const { return flows_.size(); }

    /// \brief Forgets flows without a packet for \a idle.
    void expire(time_point now, duration idle_timeout);

private:
    std::unordered_map<flow_key, flow_location, flow_key_hash> flows_;
};

} // namespace briarfield

#endif
