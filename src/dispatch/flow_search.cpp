// How flow_dispatcher finds the server of a flow whose location is not cached.

#include "briarfield/dispatch/flow_dispatcher.hpp"

#include "flow_parts.hpp"

#include <algorithm>
#include <tuple>

namespace briarfield
{

/// Forwards a packet of an existing flow.
dispatch_verdict flow_dispatcher::forward_existing(const flow_packet& packet,
                                                   flow_location& location)
{
    const time_point now = clock_->now();
    const bool located = (location.state == location_state::placed ||
                          location.state == location_state::confirmed) &&
                         location.agent != no_agent &&
                         agents_->may_hold_flows(location.agent);
    if (located)
        return forward(dispatch_event::forwarded, location.agent,
                       {forward_mode::known, 0});
    if (location.state == location_state::lost)
    {
        if (now - location.agent_chosen_at < options_.search_interval)
            return drop(dispatch_event::dropped_not_found);
        start_search(location);
    }
    if (location.agent != no_agent && agents_->may_hold_flows(location.agent) &&
        now - location.agent_chosen_at < options_.search_timeout)
        return query(location);
    if (may_query_again(location))
    {
        ++location.queries;
        location.agent_chosen_at = now;
        return query(location);
    }
    end_placement(location);
    if (location.agent != no_agent)
    {
        location.unanswered =
            location.unanswered || agents_->may_hold_flows(location.agent);
        location.unresponsive.push_back(location.agent);
        add_tried(location, location.agent);
    }
    return search(packet, location);
}

/// Sends a packet to the agent that is queried now.
dispatch_verdict flow_dispatcher::query(flow_location& location)
{
    dispatch_verdict verdict = forward(dispatch_event::searched, location.agent,
                                       {forward_mode::search, 0});
    verdict.retry_after = keep_packet(location, options_.search_timeout);
    return verdict;
}

/// Whether the agent that has not responded is worth another query. One that is
/// restarting is queried again in the next search.
bool flow_dispatcher::may_query_again(const flow_location& location) const
{
    return location.state == location_state::searching &&
           location.agent != no_agent &&
           location.queries < options_.max_queries &&
           agents_->alive(location.agent) &&
           !agents_->at(location.agent).status.restarting;
}

/// Delay after which a copy of the packet in hand continues the search; 0 if a
/// copy of another packet does so.
duration flow_dispatcher::keep_packet(flow_location& location,
                                      duration delay) const
{
    const time_point now = clock_->now();
    if (location.retry_at > now)
        return duration(0);
    location.retry_at = now + delay;
    return delay;
}

dispatch_verdict flow_dispatcher::on_kept_packet(const flow_packet& packet)
{
    pauses_.check();
    const time_point now = clock_->now();
    flow_location* location = flows_.find(packet.key);
    const bool searching =
        location != nullptr && (location->state == location_state::searching ||
                                location->state == location_state::lost);
    if (!searching || now - location->last_packet > options_.search_limit)
        return drop(dispatch_event::dropped_kept);
    location->retry_at = {};
    const bool lost = location->state == location_state::lost;
    const duration wait = location->agent_chosen_at - now +
                          (lost ? retry_delay() : options_.search_timeout);
    if (wait > duration(0))
    {
        // The search has advanced since the packet was kept.
        dispatch_verdict verdict = drop(dispatch_event::dropped_kept);
        verdict.retry_after = keep_packet(*location, wait);
        return verdict;
    }
    return report(packet, forward_existing(packet, *location));
}

/// Servers that returned the opening, or did not respond to it, may have taken
/// another copy of it, so a search must query them.
void flow_dispatcher::end_placement(flow_location& location)
{
    if (location.state != location_state::placed &&
        location.state != location_state::confirmed)
        return;
    location.state = location_state::searching;
    location.tried.clear();
    location.unresponsive.clear();
    location.overloaded.clear();
    location.unanswered = false;
}

/// A server that returned the flow within options::negative_response_ttl is not
/// queried again: it cannot have it now, since the packet belongs to a flow
/// that was open before.
void flow_dispatcher::start_search(flow_location& location) const
{
    location.state = location_state::searching;
    location.agent = no_agent;
    if (clock_->now() - location.first_failure >=
        options_.negative_response_ttl)
        location.tried.clear();
    remove_tried(location, location.unresponsive);
    location.unresponsive.clear();
    location.unanswered = false;
}

dispatch_verdict flow_dispatcher::search(const flow_packet& packet,
                                         flow_location& location)
{
    location.state = location_state::searching;
    location.agent = next_to_query(packet.key, location);
    location.agent_chosen_at = clock_->now();
    location.queries = 1;
    if (location.agent == no_agent)
        return fail_search(packet, location);
    return query(location);
}

/// Agents of the route's services come first, then all others; by rank,
/// alternating between this zone and the others, as new flows are placed.
/// Agents that restart or have timed out come last: a query to them is probably
/// lost.
agent_index flow_dispatcher::next_to_query(const flow_key& key,
                                           const flow_location& location) const
{
    const std::uint64_t hash = hash_of(key);
    const route_table::entry* route = routes_->find(destination_of(key));
    const auto queried_in_zone =
        std::count_if(location.tried.begin(), location.tried.end(),
                      [this](agent_index i) { return same_zone(i); });
    const bool this_zone_next =
        2 * queried_in_zone <=
        static_cast<std::ptrdiff_t>(location.tried.size());
    agent_index best = no_agent;
    std::tuple<bool, bool, bool, std::uint64_t> best_order;
    for (std::size_t i = 0; i < agents_->size(); ++i)
    {
        const auto index = static_cast<agent_index>(i);
        if (!agents_->may_hold_flows(index) || contains(location.tried, index))
            continue;
        const agent_directory::record& record = agents_->at(index);
        const bool responds =
            agents_->alive(index) && !record.status.restarting;
        const bool of_route =
            route != nullptr &&
            std::any_of(route->targets.begin(), route->targets.end(),
                        [&record](const route_table::target& t)
                        { return t.service == record.tag; });
        const auto order = std::make_tuple(
            responds, of_route, same_zone(index) == this_zone_next,
            placement_rank(hash, record.status.relay_address));
        if (best != no_agent && order <= best_order)
            continue;
        best = index;
        best_order = order;
    }
    return best;
}

dispatch_verdict flow_dispatcher::fail_search(const flow_packet& packet,
                                              flow_location& location)
{
    const time_point now = clock_->now();
    location.state = location_state::lost;
    if (location.failed_searches++ == 0)
        location.first_failure = now;
    if (packet.kind == packet_kind::reset)
        return drop(dispatch_event::dropped_not_found);
    const search_uncertainty uncertainty = uncertainty_of(location);
    dispatch_verdict verdict =
        uncertainty == search_uncertainty::none
            ? reset(packet, dispatch_event::reset_not_found)
            : drop(dispatch_event::dropped_not_found);
    verdict.queried = location.tried.size();
    verdict.uncertainty = uncertainty;
    if (uncertainty != search_uncertainty::none)
        verdict.retry_after = keep_packet(location, retry_delay());
    return verdict;
}

/// Delay until the next search for a flow that may be lost.
duration flow_dispatcher::retry_delay() const
{
    const duration grace_left = options_.reset_grace - pauses_.running_for();
    return std::max(options_.reset_delay, grace_left);
}

/// Why the flow may exist although no tracked server has it.
search_uncertainty
flow_dispatcher::uncertainty_of(const flow_location& location) const
{
    if (agents_->size() == 0)
        return search_uncertainty::no_agents;
    if (location.unanswered)
        return search_uncertainty::unanswered;
    if (agents_->awaits_peer_reported())
        return search_uncertainty::unheard_agent;
    if (agents_confirmed && !agents_confirmed())
        return search_uncertainty::unconfirmed_agents;
    const bool queried_twice =
        location.failed_searches > 1 && running_for(options_.reset_grace) &&
        clock_->now() - location.first_failure >= options_.reset_delay;
    if (!running_for(options_.conclusive_after) && !queried_twice)
        return search_uncertainty::young;
    return search_uncertainty::none;
}

} // namespace briarfield
