#ifndef BRIARFIELD_DISPATCH_FLOW_DISPATCHER_HPP
#define BRIARFIELD_DISPATCH_FLOW_DISPATCHER_HPP

#include "briarfield/core/counter_set.hpp"
#include "briarfield/core/pause_detector.hpp"
#include "briarfield/dispatch/agent_directory.hpp"
#include "briarfield/dispatch/flow_locator.hpp"
#include "briarfield/dispatch/placement.hpp"
#include "briarfield/dispatch/route_table.hpp"

#include <chrono>
#include <functional>
#include <string>
#include <string_view>

namespace briarfield
{

/// \brief Outcome for a packet at a balancer; each has a counter.
enum class dispatch_event : std::uint8_t
{
    placed, ///< New flow placed on a server.
    /// Placed on another server after the first one did not take it.
    placed_again,
    forwarded,           ///< Sent to the server that has the flow.
    searched,            ///< Sent to a server that may have the flow.
    refused_no_server,   ///< Reset: no server takes new flows.
    refused_overloaded,  ///< Reset: no server answers within the route's aim.
    refused_no_route,    ///< Reset: no route to the address.
    reset_route_removed, ///< Reset: the flow's route was removed.
    reset_not_found,     ///< Reset: no server has the flow.
    /// Unknown route; it may be newer than the routes in force here.
    dropped_no_route,
    dropped_no_routes, ///< No configuration yet.
    /// Too little information to reject the packet: startup grace, or an
    /// unresponsive server may have taken the flow.
    dropped_settling,
    /// No server has the flow, but the search was inconclusive.
    dropped_not_found,
    dropped_reset, ///< A caller's reset of an unknown flow.
    /// Copy of a packet, kept for a search that goes on without it.
    dropped_kept,
    count_
};

/// \brief Label of \a event in logs and metrics.
std::string_view dispatch_event_name(dispatch_event event) noexcept;

/// \brief Why an unsuccessful search does not prove that a flow is lost.
enum class search_uncertainty : std::uint8_t
{
    none,       ///< The search is conclusive.
    young,      ///< The balancer started too recently; the search is repeated.
    unanswered, ///< A queried server did not respond.
    /// A peer reported an agent whose heartbeats are not received here.
    unheard_agent,
    no_agents, ///< No agent could be queried.
    /// Agents may exist that this balancer does not track.
    unconfirmed_agents,
    count_
};

/// \brief Label of \a uncertainty in logs.
std::string_view
search_uncertainty_name(search_uncertainty uncertainty) noexcept;

/// \brief What to do with a packet.
struct dispatch_verdict
{
    enum class action : std::uint8_t
    {
        drop,
        forward,
        reset
    };

    action decision = action::drop;
    dispatch_event event = dispatch_event::dropped_no_routes;
    agent_index agent = no_agent; ///< For action::forward.
    forward_info info;            ///< For action::forward.
    std::uint32_t reset_sequence = 0;
    /// Servers without the flow, after an unsuccessful search.
    std::size_t queried = 0;
    /// After an unsuccessful search.
    search_uncertainty uncertainty = search_uncertainty::none;
    /// If positive, a copy of the packet is to be passed to
    /// \ref flow_dispatcher::on_kept_packet after this delay, so that the
    /// search need not wait for the caller's retransmission.
    duration retry_after{};
};

/// \brief Decides for each packet where a balancer sends it; free of I/O.
///
/// A backend server is the authority on its flows: it returns packets of flows
/// that it does not have. So a balancer needs no authoritative flow table. It
/// places each new flow on a server of its choice, caches the location, and
/// queries one server after the other for a flow that is not cached.
///
/// A packet is answered with a reset only when its flow cannot exist: for an
/// opening that no server took, or for a flow that every tracked server
/// returned in a search. The search is conclusive once the balancer has
/// received heartbeats of all agents for options::conclusive_after; before
/// that, it takes two searches.
class flow_dispatcher
{
public:
    /// \brief Timeouts and limits of the decisions.
    struct options
    {
        std::string zone; ///< Availability zone of this balancer.
        /// An opening is not rejected earlier than this after the start: agents
        /// send several heartbeats in this time, so that all are tracked.
        duration startup_grace = std::chrono::milliseconds(1500);
        /// No packet that may belong to a flow is reset earlier than this after
        /// the start; by then peers have reported the agents that they track.
        duration reset_grace = std::chrono::seconds(1);
        /// A balancer that has done nothing for longer than this was paused,
        /// and its records are outdated: all limits above count from then on.
        /// \ref expire is called more often.
        duration pause_limit = std::chrono::seconds(1);
        /// A server that does not respond to a query for this long is queried
        /// again or skipped.
        duration search_timeout = std::chrono::milliseconds(60);
        /// Queries to a server whose agent is alive, in one search; one of them
        /// or its response may be lost.
        unsigned max_queries = 2;
        /// A search without a packet of the caller for this long is left to the
        /// caller's next retransmission; those follow each other faster.
        duration search_limit = std::chrono::seconds(2);
        /// An opening without an answer for this long goes to another server.
        duration opening_timeout = std::chrono::milliseconds(150);
        /// From this long after the start, all agents that have flows are
        /// tracked, since servers get flows only some heartbeats after their
        /// first one: one unsuccessful search is conclusive.
        duration conclusive_after = std::chrono::seconds(2);
        /// Before options::conclusive_after a second search must confirm the
        /// first one, at least this much later.
        duration reset_delay = std::chrono::milliseconds(350);
        /// Minimum interval between searches for a lost flow.
        duration search_interval = std::chrono::milliseconds(150);
        /// A server that does not have a flow is not queried again for this
        /// long; far less than the time until a caller reuses a port.
        duration negative_response_ttl = std::chrono::seconds(2);
        /// New flows go to one of this many servers of the balancer's zone, and
        /// of as many of other zones, that rank highest for the flow. Few
        /// enough that another balancer finds the flow within its first
        /// queries, whatever the number of servers; enough to spread load well.
        std::size_t max_candidates = 8;
        /// An opening that this many overloaded servers have returned is forced
        /// on the least loaded one: asking more takes longer than waiting
        /// there.
        std::size_t max_overloaded_asked = 6;
        /// Part of the aim of a route that the expected time to an answer may
        /// take on the least loaded server; otherwise an opening is rejected.
        /// The rest covers requests that take longer than the mean.
        double max_aim_fraction = 2.0 / 3;
        /// Cached flows without a packet for this long are removed.
        duration idle_timeout = std::chrono::seconds(20);
    };

    flow_dispatcher(const clock& c,
                    options opts,
                    const route_table& routes,
                    agent_directory& agents,
                    placement_policy policy);

    /// \brief Decides on a packet from a caller.
    dispatch_verdict on_caller_packet(const flow_packet& packet);

    /// \brief Decides on a packet that the agent at \a from returned.
    dispatch_verdict on_returned_packet(const flow_packet& packet,
                                        const endpoint& from,
                                        return_info info);

    /// \brief Continues the search for the flow of a kept packet; see
    /// dispatch_verdict::retry_after. Drops the packet if the search has ended.
    dispatch_verdict on_kept_packet(const flow_packet& packet);

    /// \brief Records that the server of the agent at \a from has the flow.
    void on_flow_held(const flow_key& key, const endpoint& from);

    /// \brief Removes idle flows; to be called at least twice in each
    /// options::pause_limit.
    void expire();

    const counter_set<dispatch_event>& counters() const { return counters_; }

    std::size_t flows() const { return flows_.size(); }

    /// \brief Returns whether every agent that may exist has been heard, or
    /// is known to be gone; if set, no flow is reset as lost while it returns
    /// false.
    std::function<bool()> agents_confirmed;

    /// \brief Called for each decision worth a log line: all but packets sent
    /// to a known server.
    std::function<void(const flow_packet&, const dispatch_verdict&)>
        on_decision;

    /// \brief Called when a search has found its flow, with the number of
    /// servers queried without success.
    std::function<void(const flow_key&, agent_index, std::size_t tried)>
        on_found;

private:
    /// Servers among which one is chosen for a new flow.
    enum class candidate_set : std::uint8_t
    {
        available, ///< Those that all balancers track; if none, all ready ones.
        last_resort ///< Those that are reported as server_state::silent.
    };

    dispatch_verdict on_opening(const flow_packet& packet);
    dispatch_verdict on_returned_opening(const flow_packet& packet,
                                         flow_location& location,
                                         agent_index from,
                                         return_reason reason);
    static bool is_other_flow(const flow_location& location,
                              const flow_packet& packet);
    bool route_allows(const flow_key& key, agent_index agent) const;
    dispatch_verdict place(const flow_packet& packet, flow_location& location);
    agent_index choose_for(const route_table::entry& route,
                           const flow_key& key,
                           flow_location& location,
                           service_tag& service);
    bool may_reject_overload(const flow_packet& packet) const;
    bool misses_aim(const route_table::entry& route, agent_index agent) const;
    dispatch_verdict reject_opening(const flow_packet& packet,
                                    const flow_location& location,
                                    dispatch_event event);
    agent_index choose(const route_table::entry& route,
                       const flow_key& key,
                       const flow_location& location,
                       candidate_set set,
                       service_tag& service);
    agent_index choose_of_service(service_tag service,
                                  std::uint64_t hash,
                                  const flow_location& location,
                                  candidate_set set);
    void keep_best_candidates();
    bool same_zone(agent_index i) const;
    void start_search(flow_location& location) const;
    static void end_placement(flow_location& location);
    void
    collect_candidates(std::uint64_t hash,
                       const flow_location& location,
                       const std::function<bool(agent_index)>& is_candidate);
    dispatch_verdict on_missing_route(const flow_packet& packet);
    dispatch_verdict forward_existing(const flow_packet& packet,
                                      flow_location& location);
    dispatch_verdict search(const flow_packet& packet, flow_location& location);
    dispatch_verdict fail_search(const flow_packet& packet,
                                 flow_location& location);
    search_uncertainty uncertainty_of(const flow_location& location) const;
    dispatch_verdict query(flow_location& location);
    bool may_query_again(const flow_location& location) const;
    duration keep_packet(flow_location& location, duration delay) const;
    duration retry_delay() const;
    agent_index next_to_query(const flow_key& key,
                              const flow_location& location) const;
    dispatch_verdict
    forward(dispatch_event event, agent_index agent, forward_info info);
    dispatch_verdict reset(const flow_packet& packet, dispatch_event event);
    dispatch_verdict drop(dispatch_event event);
    dispatch_verdict report(const flow_packet& packet,
                            const dispatch_verdict& verdict);
    bool running_for(duration needed) const
    {
        return pauses_.running_for() >= needed;
    }

    const clock* clock_;
    options options_;
    const route_table* routes_;
    agent_directory* agents_;
    placement_policy policy_;
    flow_locator flows_;
    counter_set<dispatch_event> counters_;
    /// After a pause every agent seems to have timed out, although its
    /// heartbeats wait to be read; so the balancer knows as little as after a
    /// start.
    pause_detector pauses_;
    /// Reused by choose_of_service.
    std::vector<placement_candidate> candidates_;
};

} // namespace briarfield

#endif
