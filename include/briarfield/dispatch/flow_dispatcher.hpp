#ifndef BRIARFIELD_DISPATCH_FLOW_DISPATCHER_HPP
#define BRIARFIELD_DISPATCH_FLOW_DISPATCHER_HPP

#include "briarfield/core/counter_set.hpp"
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

/// \brief What became of a packet at a balancer; one counter each.
enum class dispatch_event : std::uint8_t
{
    placed,              ///< A new flow got a server.
    placed_again,        ///< Its first server did not take it.
    forwarded,           ///< To the server that has the flow.
    searched,            ///< To a server that may have the flow.
    refused_no_server,   ///< Reset: no server takes new flows.
    refused_no_route,    ///< Reset: no route to the address.
    reset_route_removed, ///< Reset: the flow's route was removed.
    reset_not_found,     ///< Reset: no server has the flow.
    dropped_no_route,    ///< The route may be newer than ours.
    dropped_no_routes,   ///< No configuration yet.
    dropped_settling,    ///< Too little is known to refuse anything.
    dropped_not_found,   ///< No server has the flow, but that is not certain.
    dropped_reset,       ///< A caller's reset of an unknown flow.
    count_
};

/// \brief Label of \a event in logs and metrics.
std::string_view dispatch_event_name(dispatch_event event) noexcept;

/// \brief Why a fruitless search does not prove that a flow is gone.
enum class search_uncertainty : std::uint8_t
{
    none,          ///< It does.
    young,         ///< The balancer started too recently; it asks again.
    unanswered,    ///< A server that was asked said nothing.
    unheard_agent, ///< Another balancer knows an agent that was not heard here.
    no_agents,     ///< Nobody was asked.
    count_
};

/// \brief Label of \a doubt in logs.
std::string_view
search_uncertainty_name(search_uncertainty uncertainty) noexcept;

/// \brief What to do with the packet in hand.
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
    std::size_t queried = 0; ///< Servers that denied the flow, after a search.
    search_uncertainty uncertainty =
        search_uncertainty::none; ///< After a fruitless search.
    /// A dropped packet is to be handed in again after this, if positive: the
    /// flow is probably gone, and its caller should learn of it soon.
    duration retry_after{};
};

/// \brief The balancer's decision for each packet, free of I/O.
///
/// A backend server itself tells whether it has a flow: it returns packets of
/// flows that it does not have. So a balancer needs no authority on flows. It
/// places each new flow on a server of its choice, remembers where, and asks
/// one server after the other about a flow that it does not know.
///
/// A packet is only refused when nothing of its flow can be running: an
/// opening that no server took, or a flow that every known server denied in
/// a search by a balancer that has heard of all agents for a while; a younger
/// one asks all of them twice.
class flow_dispatcher
{
public:
    /// \brief Delays of the decisions.
    struct options
    {
        std::string zone; ///< Of this balancer.
        /// Agents send several heartbeats in that time, so that all are known.
        duration startup_grace = std::chrono::milliseconds(1500);
        /// Nothing that may be a flow is reset earlier after the start; by
        /// then other balancers have named the agents that they know.
        duration reset_grace = std::chrono::seconds(1);
        /// A server that does not answer a search for so long is passed over.
        duration search_timeout = std::chrono::milliseconds(120);
        /// An opening without an answer for so long goes to another server.
        duration opening_timeout = std::chrono::milliseconds(150);
        /// From here on all agents that have flows are known, since servers
        /// get flows only some heartbeats after they were heard of: one
        /// fruitless search is enough.
        duration conclusive_after = std::chrono::seconds(2);
        /// Until then a second search, so much later, must confirm the first.
        duration reset_delay = std::chrono::milliseconds(350);
        /// Packets of a lost flow start a new search only after this.
        duration search_interval = std::chrono::milliseconds(150);
        /// A server that denied a flow is not asked again for so long; far
        /// less than until a caller uses a port again.
        duration negative_response_ttl = std::chrono::seconds(2);
        /// New flows go to one of so many servers of the balancer's zone, and
        /// of as many of other zones, that rank highest for the flow: another
        /// balancer finds them among the first it asks, whatever the number
        /// of servers. Few enough for that, enough to spread load well.
        std::size_t max_candidates = 8;
        /// Flows without a packet for so long are forgotten.
        duration idle_timeout = std::chrono::seconds(20);
    };

    flow_dispatcher(const clock& c,
                    options opts,
                    const route_table& routes,
                    agent_directory& agents,
                    placement_policy policy);

    /// \brief Decides on a packet of a caller.
    dispatch_verdict on_caller_packet(const flow_packet& packet);

    /// \brief Decides on a packet that \a from gave back.
    dispatch_verdict on_returned_packet(const flow_packet& packet,
                                        const endpoint& from,
                                        return_reason reason);

    /// \brief Notes that the server of \a from has the flow.
    void on_flow_held(const flow_key& key, const endpoint& from);

    /// \brief Forgets idle flows; to be called now and then.
    void expire();

    const counter_set<dispatch_event>& counters() const { return counters_; }

    std::size_t flows() const { return flows_.size(); }

    /// \brief Called for each decision that a person may ask about: all but
    /// packets that go to a known server.
    std::function<void(const flow_packet&, const dispatch_verdict&)>
        on_decision;

    /// \brief Called when a flow that was searched for has been found.
    std::function<void(const flow_key&, agent_index, std::size_t tried)>
        on_found;

private:
    dispatch_verdict on_opening(const flow_packet& packet);
    dispatch_verdict place(const flow_packet& packet, flow_location& location);
    agent_index choose(const route_table::entry& route,
                       const flow_key& key,
                       const flow_location& location,
                       service_tag& service);
    agent_index choose_of_service(service_tag service,
                                  std::uint64_t hash,
                                  const flow_location& location);
    void keep_best_candidates();
    bool same_zone(agent_index i) const;
    void start_search(flow_location& location) const;
    void collect_candidates(service_tag service,
                            std::uint64_t hash,
                            const flow_location& location,
                            bool established);
    dispatch_verdict on_missing_route(const flow_packet& packet);
    dispatch_verdict forward_existing(const flow_packet& packet,
                                      flow_location& location);
    dispatch_verdict search(const flow_packet& packet, flow_location& location);
    dispatch_verdict fail_search(const flow_packet& packet,
                                 flow_location& location);
    search_uncertainty uncertainty_of(const flow_location& location) const;
    duration schedule_retry(const flow_packet& packet,
                            flow_location& location) const;
    agent_index next_to_query(const flow_key& key,
                              const flow_location& location) const;
    dispatch_verdict
    forward(dispatch_event event, agent_index agent, forward_info info);
    dispatch_verdict reset(const flow_packet& packet, dispatch_event event);
    dispatch_verdict drop(dispatch_event event);
    dispatch_verdict report(const flow_packet& packet,
                            const dispatch_verdict& verdict);
    bool running_for(duration needed) const;

    const clock* clock_;
    options options_;
    const route_table* routes_;
    agent_directory* agents_;
    placement_policy policy_;
    flow_locator flows_;
    counter_set<dispatch_event> counters_;
    time_point started_;
    std::vector<placement_candidate> candidates_; ///< Reused by choose_in.
};

} // namespace briarfield

#endif
