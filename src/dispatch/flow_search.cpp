// How flow_dispatcher finds the server of a flow that it does not know.

#include "briarfield/dispatch/flow_dispatcher.hpp"

#include "flow_parts.hpp"

#include <algorithm>
#include <tuple>

namespace briarfield
{

/// Sends a packet of an existing flow on its way.
dispatch_verdict flow_dispatcher::lead(const flow_packet& p,
                                       flow_location& where)
{
    const time_point now = clock_->now();
    const bool certain = (where.state == location_state::placed ||
                          where.state == location_state::confirmed) &&
                         where.agent != no_agent && agents_->known(where.agent);
    if (certain)
        return forward(dispatch_event::forwarded, where.agent,
                       {forward_mode::known, 0});
    if (where.state == location_state::lost)
    {
        if (now - where.asked < options_.search_pause)
            return drop(dispatch_event::dropped_not_found);
        start_search(where);
    }
    if (where.agent != no_agent && agents_->known(where.agent) &&
        now - where.asked < options_.search_patience)
        return forward(dispatch_event::searched, where.agent,
                       {forward_mode::search, 0});
    if (where.agent != no_agent)
    {
        where.unanswered = where.unanswered || agents_->known(where.agent);
        where.silent.push_back(where.agent);
        note_tried(where, where.agent);
    }
    return search(p, where);
}

/// A server that has denied the flow a moment ago does not have it now: the
/// packet is of a flow that was open before, and not there.
void flow_dispatcher::start_search(flow_location& where) const
{
    where.state = location_state::searching;
    where.agent = no_agent;
    if (clock_->now() - where.first_lost >= options_.denial_memory)
        where.tried.clear();
    forget_tried(where, where.silent);
    where.silent.clear();
    where.unanswered = false;
}

dispatch_verdict flow_dispatcher::search(const flow_packet& p,
                                         flow_location& where)
{
    where.state = location_state::searching;
    where.agent = next_to_ask(p.key, where);
    where.asked = clock_->now();
    if (where.agent == no_agent)
        return give_up(p, where);
    return forward(dispatch_event::searched, where.agent,
                   {forward_mode::search, 0});
}

/// Agents of the route's services, then all others; by rank, this zone and the
/// others in turns, as new flows are placed.
agent_index flow_dispatcher::next_to_ask(const flow_key& key,
                                         const flow_location& where) const
{
    const std::uint64_t hash = hash_of(key);
    const route_table::entry* route = routes_->find(destination_of(key));
    const auto asked_here =
        std::count_if(where.tried.begin(), where.tried.end(),
                      [this](agent_index i) { return same_zone(i); });
    const bool here_next =
        2 * asked_here <= static_cast<std::ptrdiff_t>(where.tried.size());
    agent_index best = no_agent;
    std::tuple<bool, bool, std::uint64_t> best_order;
    for (std::size_t i = 0; i < agents_->size(); ++i)
    {
        const auto index = static_cast<agent_index>(i);
        if (!agents_->known(index) || contains(where.tried, index))
            continue;
        const agent_directory::record& r = agents_->at(index);
        const bool of_route =
            route != nullptr && agents_->fresh(index) &&
            std::any_of(route->targets.begin(), route->targets.end(),
                        [&r](const route_table::target& t)
                        { return t.service == r.tag; });
        const auto order =
            std::make_tuple(of_route, same_zone(index) == here_next,
                            placement_rank(hash, r.status.data));
        if (best != no_agent && order <= best_order)
            continue;
        best = index;
        best_order = order;
    }
    return best;
}

dispatch_verdict flow_dispatcher::give_up(const flow_packet& p,
                                          flow_location& where)
{
    const time_point now = clock_->now();
    where.state = location_state::lost;
    if (where.rounds++ == 0)
        where.first_lost = now;
    if (p.kind == packet_kind::reset)
        return drop(dispatch_event::dropped_not_found);
    const search_doubt doubt = doubt_of(where);
    dispatch_verdict v = doubt == search_doubt::none
                             ? reset(p, dispatch_event::reset_not_found)
                             : drop(dispatch_event::dropped_not_found);
    v.asked = where.tried.size();
    v.doubt = doubt;
    if (doubt != search_doubt::none)
        v.ask_again_after = next_try(p, where);
    return v;
}

/// When a request on a lost flow is to be tried again without its caller; 0
/// if that is under way, or the packet is no request.
duration flow_dispatcher::next_try(const flow_packet& p,
                                   flow_location& where) const
{
    const time_point now = clock_->now();
    if (p.payload_size == 0 || where.asks_again > now)
        return duration(0);
    const duration start_left = options_.reset_settle - (now - started_);
    const duration delay = std::max(options_.reset_delay, start_left);
    where.asks_again = now + delay;
    return delay;
}

/// What speaks against the flow being gone after each known server denied it.
search_doubt flow_dispatcher::doubt_of(const flow_location& where) const
{
    if (agents_->size() == 0)
        return search_doubt::no_agents;
    if (where.unanswered)
        return search_doubt::unanswered;
    if (agents_->awaits_named())
        return search_doubt::unheard_agent;
    const bool asked_twice =
        where.rounds > 1 && settled(options_.reset_settle) &&
        clock_->now() - where.first_lost >= options_.reset_delay;
    if (!settled(options_.certain_after) && !asked_twice)
        return search_doubt::young;
    return search_doubt::none;
}

} // namespace briarfield
