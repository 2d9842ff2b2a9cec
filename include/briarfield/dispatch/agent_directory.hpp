#ifndef BRIARFIELD_DISPATCH_AGENT_DIRECTORY_HPP
#define BRIARFIELD_DISPATCH_AGENT_DIRECTORY_HPP

#include "briarfield/core/clock.hpp"
#include "briarfield/core/endpoint.hpp"
#include "briarfield/dispatch/evacuation_set.hpp"
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

/// \brief State of a backend server as its agent reports it.
enum class server_state : std::uint8_t
{
    unknown,  ///< No heartbeat of the server since the agent started.
    ready,    ///< Takes new flows.
    draining, ///< Keeps its flows, gets no new ones.
    gone,     ///< Stopped.
    silent,   ///< Timed out, or rejects openings.
    count_
};

/// \brief Label of \a state in logs and metrics.
std::string_view server_state_name(server_state state) noexcept;

/// \brief Mean time of a request by route; see agent_status::service_time.
struct route_time
{
    endpoint destination; ///< Address and port that callers use.
    duration service_time{};
};

/// \brief Value of agent_status::opening_room if openings are not limited.
constexpr std::uint16_t unlimited_openings = 0xffff;

/// \brief A heartbeat of an agent: state and load of its server.
struct agent_status
{
    endpoint relay_address; ///< Address on which the agent receives frames.
    std::uint64_t incarnation = 0; ///< Differs with each start of the agent.
    std::uint64_t sequence = 0;    ///< Increases with each heartbeat.
    std::string service;
    std::string zone;
    server_state state = server_state::unknown;
    /// Requests that the server processes concurrently.
    std::uint32_t slots = 1;
    std::uint32_t flows = 0;        ///< Open flows.
    float requests_in_progress = 0; ///< Mean over the recent past.
    /// Mean time of a request that need not wait for others; 0: unknown.
    duration service_time{};
    /// Time left until the server runs at full speed.
    std::uint32_t warmup_ms = 0;
    bool restarting = false; ///< The agent stops; its server may keep running.
    /// The agent has a record of every flow that its server can hold.
    bool flows_complete = false;
    /// Openings that the server may take within the next second. In the
    /// directory, less those placed since the heartbeat.
    std::uint16_t opening_room = unlimited_openings;
    std::vector<route_time> route_times; ///< Empty in most heartbeats.
};

/// \brief Position of an agent in an \ref agent_directory. Reused when the
/// agent has sent no heartbeat for agent_directory::options::record_ttl.
using agent_index = std::uint16_t;

/// \brief No agent.
constexpr agent_index no_agent = 0xffff;

/// \brief The agents that a balancer tracks, from their heartbeats.
class agent_directory
{
public:
    /// \brief Timeouts and lifetimes of the recorded data.
    struct options
    {
        /// An agent without a heartbeat for this long gets no new flows. Allows
        /// a few lost heartbeats.
        duration heartbeat_timeout = std::chrono::milliseconds(1100);
        /// Age of an agent from which all balancers are taken to track it:
        /// several of its heartbeats are sent in this time.
        duration established_after = std::chrono::milliseconds(700);
        /// How long an agent that returned an opening as overloaded counts as
        /// overloaded: a few requests are answered in this time.
        duration overload_ttl = std::chrono::milliseconds(40);
        /// An agent that timed out without notice may come back with its flows
        /// within this time. After it, a reset serves callers better.
        duration recovery_timeout = std::chrono::seconds(4);
        /// The same for an agent that has announced its restart.
        duration restart_timeout = std::chrono::seconds(15);
        /// A record without a heartbeat for this long is reused. Flows last a
        /// minute, so none refers to the agent any more.
        duration record_ttl = std::chrono::minutes(10);
    };

    /// \brief An agent, its last heartbeat and what was recorded since.
    struct record
    {
        agent_status status;
        service_tag tag = 0; ///< Tag of status.service.
        time_point last_heartbeat{};
        time_point first_heartbeat{};
        /// The previous incarnation; its heartbeats are ignored.
        std::uint64_t replaced_incarnation = 0;
        std::uint32_t placed = 0; ///< Flows placed since the last heartbeat.
        time_point overloaded_until{};
        bool timeout_reported = false;
    };

    explicit agent_directory(const clock& c) : agent_directory(c, options()) {}
    agent_directory(const clock& c, options opts) : clock_(&c), options_(opts)
    {
    }

    /// \brief Records a heartbeat.
    ///
    /// \returns false if it is older than the recorded one, or the directory is
    /// full.
    bool on_heartbeat(const agent_status& status);

    /// \brief Position of the agent that receives frames at \a relay_address,
    /// or \ref no_agent.
    agent_index find(const endpoint& relay_address) const;

    const record& at(agent_index i) const { return records_[i]; }

    /// \brief Whether the agent sent a heartbeat within
    /// options::heartbeat_timeout.
    bool alive(agent_index i) const;

    /// \brief Number of agents that are alive.
    std::size_t count_alive() const;

    /// \brief Whether the server is ready, and the first heartbeat was received
    /// at least options::established_after ago, so that every other balancer
    /// tracks the agent, too.
    bool established(agent_index i) const;

    /// \brief Whether the agent's server may still hold flows.
    bool may_hold_flows(agent_index i) const;

    /// \brief Records that a peer balancer tracks an agent at \a relay_address.
    void add_peer_reported(const endpoint& relay_address);

    /// \brief Whether a peer has reported an agent that has sent no heartbeat
    /// to this balancer.
    bool awaits_peer_reported() const;

    /// \brief Whether the agent's server takes new flows of service \a tag, or
    /// is expected to once it has started, and is in no evacuated zone.
    bool takes_flows(agent_index i, service_tag tag) const;

    /// \brief Whether the agent's server belongs to service \a tag and is
    /// reported as server_state::silent: it may take a flow that no other
    /// server takes.
    bool is_last_resort(agent_index i, service_tag tag) const;

    /// \brief Whether the agent's server would take new flows of service
    /// \a tag, but has no room for openings now because it warms up.
    bool awaits_room(agent_index i, service_tag tag) const;

    /// \brief Places no new flow in the zones of \a evacuations, which must
    /// outlive the directory.
    void set_evacuations(const evacuation_set& evacuations)
    {
        evacuations_ = &evacuations;
    }

    /// \brief Whether the zone of the agent's server is evacuated.
    bool evacuated(agent_index i) const;

    /// \brief Counts a flow placed on \a i; the next heartbeat of \a i resets
    /// the count.
    void record_placed(agent_index i);

    /// \brief Records that \a i returned an opening because its server warms
    /// up: it has no room until its next heartbeat.
    void record_warming(agent_index i) { records_[i].status.opening_room = 0; }

    /// \brief Records that \a i returned an opening because it is overloaded,
    /// with \a requests in progress or expected.
    void record_overloaded(agent_index i, std::uint16_t requests);

    /// \brief Whether \a i has returned an opening as overloaded within
    /// options::overload_ttl.
    bool overloaded(agent_index i) const
    {
        return clock_->now() < records_[i].overloaded_until;
    }

    std::size_t size() const { return records_.size(); }

    /// \brief Calls \ref on_timeout for agents that have timed out, and removes
    /// expired reports of peers.
    void check();

    /// \brief Called when an agent appears, restarts, recovers from a timeout,
    /// or reports another state or service.
    std::function<void(const record&)> on_change;

    /// \brief Called once when an agent has sent no heartbeat for
    /// options::heartbeat_timeout.
    std::function<void(const record&, duration time_since_heartbeat)>
        on_timeout;

private:
    agent_index allocate_record();
    bool may_take(agent_index i, service_tag tag) const;

    const clock* clock_;
    options options_;
    const evacuation_set* evacuations_ = nullptr;
    std::vector<record> records_;
    std::unordered_map<endpoint, agent_index, endpoint_hash> by_relay_address_;
    std::unordered_map<endpoint, time_point, endpoint_hash> peer_reported_;
};

} // namespace briarfield

#endif
