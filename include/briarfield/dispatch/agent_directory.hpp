#ifndef BRIARFIELD_DISPATCH_AGENT_DIRECTORY_HPP
#define BRIARFIELD_DISPATCH_AGENT_DIRECTORY_HPP

#include "briarfield/core/clock.hpp"
#include "briarfield/core/endpoint.hpp"
#include "briarfield/dispatch/flow_packet.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace briarfield
{

/// \brief What an agent says of its backend server.
enum class server_state : std::uint8_t
{
    unknown,  ///< The server has not announced itself since the agent started.
    ready,    ///< Takes new flows.
    draining, ///< Keeps its flows, gets no new ones.
    gone,     ///< Ended.
    silent,   ///< Nothing was heard of it for too long.
    count_
};

/// \brief Label of \a state in logs and metrics.
std::string_view server_state_name(server_state state) noexcept;

/// \brief A heartbeat of an agent: its server's state and load.
struct agent_status
{
    endpoint data;                 ///< Where the agent takes frames.
    std::uint64_t incarnation = 0; ///< Differs with each start of the agent.
    std::uint64_t sequence = 0;    ///< Grows with each heartbeat.
    std::string service;
    std::string zone;
    server_state state = server_state::unknown;
    std::uint32_t slots = 1; ///< Requests that the server works on at once.
    std::uint32_t flows = 0; ///< Open flows.
    float requests_in_progress = 0; ///< Requests in progress, on average.
    std::uint32_t warmup_ms = 0;    ///< How long the server stays slow.
    bool restarting = false; ///< The agent stops; its server may live on.
};

/// \brief Position of an agent in an \ref agent_directory; reused when the
/// agent has been silent for agent_directory::options::forget_after.
using agent_index = std::uint16_t;

/// \brief No agent.
constexpr agent_index no_agent = 0xffff;

/// \brief What a balancer knows of the agents, from their heartbeats.
class agent_directory
{
public:
    /// \brief How long what was heard of an agent counts.
    struct options
    {
        /// A few heartbeats may be lost before new flows avoid the agent.
        duration heartbeat_timeout = std::chrono::milliseconds(1100);
        /// Several heartbeats reach every balancer in that time.
        duration established_after = std::chrono::milliseconds(700);
        /// A few requests are answered in that time.
        duration overload_ttl = std::chrono::milliseconds(40);
        /// An agent that fell silent without a word may be back with its
        /// flows within this time; after it callers do better elsewhere.
        duration recovery_timeout = std::chrono::seconds(4);
        /// The same for one that said that it restarts.
        duration restart_timeout = std::chrono::seconds(15);
        /// Nothing remembers an agent for so long: flows last a minute.
        duration record_ttl = std::chrono::minutes(10);
    };

    /// \brief An agent and what came with its last heartbeat.
    struct record
    {
        agent_status status;
        service_tag tag = 0;
        time_point last_heartbeat{};
        time_point first_heartbeat{};
        std::uint64_t replaced_incarnation = 0; ///< The one before; ignored.
        std::uint32_t placed = 0; ///< Flows placed since the last heartbeat.
        time_point overloaded_until{};
        bool timeout_reported = false;
    };

    explicit agent_directory(const clock& c) : agent_directory(c, options()) {}
    agent_directory(const clock& c, options opts) : clock_(&c), options_(opts)
    {
    }

    /// \brief Takes a heartbeat; false if it is older than what is known, or
    /// there is no room for another agent.
    bool on_heartbeat(const agent_status& status);

    /// \brief Position of the agent that takes packets at \a data.
    agent_index find(const endpoint& data) const;

    const record& at(agent_index i) const { return records_[i]; }

    /// \brief Whether the agent was heard of lately.
    bool alive(agent_index i) const;

    /// \brief Agents that were heard of lately.
    std::size_t count_alive() const;

    /// \brief Whether the server has announced itself, and the agent has been
    /// heard of for so long that every other balancer knows it, too.
    bool established(agent_index i) const;

    /// \brief Whether the agent's server may still hold flows.
    bool may_hold_flows(agent_index i) const;

    /// \brief Notes that another balancer knows an agent at \a data.
    void add_peer_reported(const endpoint& data);

    /// \brief Whether an agent that others know has not been heard here.
    bool awaits_peer_reported() const;

    /// \brief Whether the agent's server takes new flows of service \a tag,
    /// or will probably do when it has started.
    bool takes_flows(agent_index i, service_tag tag) const;

    /// \brief Notes a flow placed on \a i until its next heartbeat.
    void record_placed(agent_index i) { ++records_[i].placed; }

    /// \brief Notes that \a i gave an opening back since it was busy.
    void record_overloaded(agent_index i)
    {
        records_[i].overloaded_until = clock_->now() + options_.overload_ttl;
    }

    /// \brief Whether the agent has just said that it is busy.
    bool overloaded(agent_index i) const
    {
        return clock_->now() < records_[i].overloaded_until;
    }

    std::size_t size() const { return records_.size(); }

    /// \brief Reports agents that went silent through \ref on_silent.
    void check();

    /// \brief Agent heard for the first time, anew, or in another state.
    std::function<void(const record&)> on_change;

    /// \brief Agent that was not heard of for options::fresh_for.
    std::function<void(const record&, duration time_since_heartbeat)>
        on_timeout;

private:
    agent_index allocate_record();

    const clock* clock_;
    options options_;
    std::vector<record> records_;
    std::unordered_map<endpoint, agent_index, endpoint_hash> by_data_;
    std::unordered_map<endpoint, time_point, endpoint_hash> peer_reported_;
};

} // namespace briarfield

#endif
