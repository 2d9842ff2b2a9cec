#ifndef BRIARFIELD_DISPATCH_FLOW_DISPATCHER_HPP
#define BRIARFIELD_DISPATCH_FLOW_DISPATCHER_HPP

#include "briarfield/core/counter_set.hpp"
#include "briarfield/core/pause_detector.hpp"
#include "briarfield/dispatch/admission_costs.hpp"
#include "briarfield/dispatch/admission_policy.hpp"
#include "briarfield/dispatch/agent_directory.hpp"
#include "briarfield/dispatch/flow_locator.hpp"
#include "briarfield/dispatch/flow_query_queue.hpp"
#include "briarfield/dispatch/placement.hpp"
#include "briarfield/dispatch/priority_class.hpp"
#include "briarfield/dispatch/route_table.hpp"
#include "briarfield/dispatch/rtt_estimator.hpp"
#include "briarfield/dispatch/search_progress.hpp"

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
    dropped_no_routes, ///< Opening before the first configuration.
    /// Too little information to reject the packet: startup grace, or an
    /// unresponsive server may have taken the flow.
    dropped_settling,
    /// No server has the flow, but the search was inconclusive.
    dropped_not_found,
    dropped_reset, ///< A caller's reset of an unknown flow.
    /// Copy of a packet, kept for a search that goes on without it.
    dropped_kept,
    /// The servers that would take the opening warm up and have no room now;
    /// one of the caller's next copies finds some.
    dropped_warming,
    queried,              ///< The packet waits for the answers of agents.
    dropped_search_limit, ///< Too many searches are in progress.
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

/// \brief Events of a query about one flow; each has a counter.
enum class query_event : std::uint8_t
{
    sent,         ///< An agent was queried by a message.
    sent_packet,  ///< An agent was queried by the packet itself.
    repeated,     ///< An agent was queried again after a timeout.
    held,         ///< The agent's server has the flow.
    not_held,     ///< The agent's server does not have the flow.
    undecided,    ///< The agent's records are not complete.
    unresponsive, ///< The agent has not answered.
    limited,      ///< Not sent, since too many queries are in progress.
    count_
};

/// \brief Label of \a event in metrics.
std::string_view query_event_name(query_event event) noexcept;

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
    /// Agents to which a copy is sent, too; for action::forward.
    std::vector<agent_index> more_agents;
    std::uint32_t reset_sequence = 0;
    /// Servers without the flow, after an unsuccessful search.
    std::size_t queried = 0;
    /// After an unsuccessful search.
    search_uncertainty uncertainty = search_uncertainty::none;
    /// For dispatch_event::refused_overloaded.
    admission_request rejected;
    /// If positive, a copy of the packet is to be passed to
    /// \ref flow_dispatcher::on_kept_packet after this delay, so that the
    /// search need not wait for the caller's retransmission. A flow has one
    /// kept packet, the first; the earliest time counts.
    duration retry_after{};
};

/// \brief Decides for each packet where a balancer sends it; free of I/O.
///
/// A backend server is the authority on its flows: it returns packets of flows
/// that it does not have. So a balancer needs no authoritative flow table. It
/// places each new flow on a server of its choice, caches the location, and
/// queries agents in parallel for a flow that is not cached: by a message those
/// that have a record of every flow of their server, by the packet the others.
/// First those are queried on which new flows are placed, then all.
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
        /// Transmissions of a query to an agent that is alive, in one search;
        /// one of them or its answer may be lost.
        unsigned max_queries = 2;
        /// Outstanding queries of one search, after the first step.
        std::size_t max_parallel_queries = 64;
        /// Those of them that are copies of the packet. Few, since payload
        /// lengthens the queues of the callers' packets.
        std::size_t max_parallel_packets = 4;
        /// Searches in progress; each keeps a packet and its answers.
        std::size_t max_searches = 2048;
        /// Queries that are sent to the same agent within this time share a
        /// datagram.
        duration query_delay = std::chrono::milliseconds(2);
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
        /// A server that does not have an open flow cannot get it later, so its
        /// answer stays valid during the search. The limit is far less than the
        /// time until a caller reuses a port.
        duration negative_response_ttl = std::chrono::seconds(8);
        /// New flows go to one of this many servers of the balancer's zone, and
        /// of as many of other zones, that rank highest for the flow. Few
        /// enough that another balancer finds the flow within its first
        /// queries, whatever the number of servers; enough to spread load well.
        std::size_t max_candidates = 8;
        /// An opening that this many overloaded servers have returned is forced
        /// on the least loaded one: asking more takes longer than waiting
        /// there.
        std::size_t max_overloaded_asked = 6;
        /// Decides on openings that only overloaded servers can take.
        admission_policy admit = admit_by_priority(admission_limits());
        /// If all servers warm up and have no room, this many copies of an
        /// opening are dropped rather than reset: a server has room within a
        /// second, and a caller spends its retries within milliseconds.
        unsigned warming_copies = 2;
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

    /// \brief Records the times of requests by route that an agent reports.
    void on_route_times(const std::vector<route_time>& report)
    {
        work_.record(report);
    }

    /// \brief Records that the server of the agent at \a from has the flow.
    void on_flow_held(const flow_key& key, const endpoint& from);

    /// \brief Records the answer of the agent at \a from to the query \a id: it
    /// holds the flows at the positions \a held, and no other one of the query
    /// if its records are \a complete.
    void on_query_answer(const endpoint& from,
                         std::uint32_t id,
                         bool complete,
                         const std::vector<std::uint16_t>& held);

    /// \brief Sends the queries that wait to share datagrams.
    void flush_queries() { queries_.flush(); }

    /// \brief Removes idle flows; to be called at least twice in each
    /// options::pause_limit.
    void expire();

    const counter_set<dispatch_event>& counters() const { return counters_; }

    const counter_set<query_event>& query_counters() const
    {
        return query_counters_;
    }

    /// \brief Openings rejected because all servers asked were overloaded.
    const counter_set<priority_class>& rejected() const { return rejected_; }

    /// \brief Openings forced on an overloaded server.
    const counter_set<priority_class>& forced() const { return forced_; }

    std::size_t flows() const { return flows_.size(); }

    std::size_t searches() const { return searches_.size(); }

    /// \brief Called to send a query for flows to an agent.
    std::function<void(
        const endpoint& agent, std::uint32_t id, const std::vector<flow_key>&)>
        send_query;

    /// \brief Called when queries begin to wait: \ref flush_queries is to be
    /// called after the delay.
    std::function<void(duration)> schedule_flush;

    /// \brief Called when the search for a flow can go on: its kept packet, if
    /// any, is to be passed to \ref on_kept_packet now.
    std::function<void(const flow_key&)> resume_kept_packet;

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
    bool awaits_room(const route_table::entry& route) const;
    dispatch_verdict place(const flow_packet& packet, flow_location& location);
    agent_index choose_for(const route_table::entry& route,
                           const flow_key& key,
                           flow_location& location,
                           service_tag& service);
    bool may_reject_overload(const flow_packet& packet) const;
    admission_request make_admission_request(const flow_packet& packet,
                                             const route_table::entry& route,
                                             const flow_location& location,
                                             agent_index agent);
    dispatch_verdict reject_overload(const flow_packet& packet,
                                     const route_table::entry& route,
                                     const flow_location& location,
                                     const admission_request& request);
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
    void
    collect_candidates(std::uint64_t hash,
                       const flow_location& location,
                       const std::function<bool(agent_index)>& is_candidate);
    bool lacks_route(const flow_key& key) const;
    dispatch_verdict on_missing_route(const flow_packet& packet);
    dispatch_verdict forward_existing(const flow_packet& packet,
                                      flow_location& location);
    /// Agents to which the packet is to be sent.
    using packet_targets = std::vector<agent_index>;

    void end_placement(const flow_key& key, flow_location& location);
    void forget_search(const flow_key& key) { searches_.erase(key); }
    void forget_earlier_flow(const flow_packet& packet,
                             flow_location& location);
    bool is_searched_for(const flow_key& key) const
    {
        return searches_.count(key) != 0;
    }
    search_progress* search_for(const flow_packet& packet);
    bool make_room_for_search();
    void expire_searches();
    dispatch_verdict query(const packet_targets& targets);
    bool queue_query(agent_index agent, const flow_key& key);
    flow_location& confirm(const flow_key& key, agent_index agent);
    void on_found_by_message(const flow_key& key, agent_index agent);
    dispatch_verdict forward_kept_packet(const flow_packet& packet,
                                         flow_location& location);
    dispatch_verdict search(const flow_packet& packet, flow_location& location);
    bool repeat_queries(const flow_key& key,
                        search_progress& search,
                        packet_targets& targets);
    bool may_repeat(const outstanding_query& query) const;
    bool ask_next(const flow_key& key,
                  search_progress& search,
                  packet_targets& targets);
    /// Number of agents that the first step of a search queries.
    std::size_t first_step_size() const { return 2 * options_.max_candidates; }
    std::size_t room_for_queries(const search_progress& search) const;
    bool send_query_to(agent_index agent,
                       const flow_key& key,
                       search_progress& search,
                       packet_targets& targets);
    query_kind kind_of_query(const search_progress& search,
                             agent_index agent) const;
    rtt_estimator& rtt_of(agent_index agent);
    bool can_go_on(const search_progress& search) const;
    void end_query(search_progress& search, agent_index agent);
    void on_negative_answer(const flow_key& key, agent_index agent);
    void on_answer(const flow_key& key,
                   const flow_query_queue::query& query,
                   query_event answer);
    void resume(const flow_key& key);
    dispatch_verdict fail_search(const flow_packet& packet,
                                 flow_location& location,
                                 const search_progress& search);
    search_uncertainty uncertainty_of(const flow_location& location) const;
    duration retry_delay(const flow_location& location) const;
    std::vector<agent_index> rank_for_query(const flow_key& key,
                                            const search_progress& search,
                                            std::size_t count) const;
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
    route_work work_;
    admission_costs costs_;
    flow_locator flows_;
    search_map searches_;
    flow_query_queue queries_;
    std::vector<rtt_estimator> rtt_; ///< By agent.
    counter_set<query_event> query_counters_;
    counter_set<dispatch_event> counters_;
    counter_set<priority_class> rejected_;
    counter_set<priority_class> forced_;
    /// After a pause every agent seems to have timed out, although its
    /// heartbeats wait to be read; so the balancer knows as little as after a
    /// start.
    pause_detector pauses_;
    /// Reused by choose_of_service.
    std::vector<placement_candidate> candidates_;
};

} // namespace briarfield

#endif
