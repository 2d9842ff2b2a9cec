#include "briarfield/dispatch/flow_dispatcher.hpp"

#include "flow_parts.hpp"

#include <algorithm>
#include <iterator>

namespace briarfield
{

namespace
{

constexpr std::string_view event_names[] = {"placed",
                                            "placed_again",
                                            "forwarded",
                                            "searched",
                                            "refused_no_server",
                                            "refused_no_route",
                                            "reset_route_removed",
                                            "reset_not_found",
                                            "dropped_no_route",
                                            "dropped_no_routes",
                                            "dropped_settling",
                                            "dropped_not_found",
                                            "dropped_reset"};
static_assert(std::size(event_names) ==
              static_cast<std::size_t>(dispatch_event::count_));

constexpr std::string_view doubt_names[] = {"none", "young", "unanswered",
                                            "unheard_agent", "no_agents"};
static_assert(std::size(doubt_names) ==
              static_cast<std::size_t>(search_doubt::count_));

forward_mode opening_mode(const flow_location& where)
{
    return where.insists ? forward_mode::opening_anyway : forward_mode::opening;
}

} // namespace

std::string_view dispatch_event_name(dispatch_event event) noexcept
{
    return event_names[static_cast<std::size_t>(event)];
}

std::string_view search_doubt_name(search_doubt doubt) noexcept
{
    return doubt_names[static_cast<std::size_t>(doubt)];
}

flow_dispatcher::flow_dispatcher(const clock& c,
                                 options opts,
                                 const route_table& routes,
                                 agent_directory& agents,
                                 placement_policy policy)
    : clock_(&c), options_(std::move(opts)), routes_(&routes), agents_(&agents),
      policy_(std::move(policy)), started_(c.now())
{
}

dispatch_verdict flow_dispatcher::on_caller_packet(const flow_packet& p)
{
    if (routes_->version() == 0)
        return drop(dispatch_event::dropped_no_routes);
    if (routes_->find(destination_of(p.key)) == nullptr)
        return report(p, without_route(p));
    if (p.kind == packet_kind::opening)
        return report(p, open(p));
    flow_location* known = flows_.find(p.key);
    if (known == nullptr && p.kind == packet_kind::reset)
        return drop(dispatch_event::dropped_reset);
    flow_location& where =
        known != nullptr ? *known : flows_.insert(p.key, clock_->now());
    where.last = clock_->now();
    return report(p, lead(p, where));
}

/// A flow whose route was removed ends; of a route that we do not know yet,
/// only an opening can be refused.
dispatch_verdict flow_dispatcher::without_route(const flow_packet& p)
{
    if (p.kind == packet_kind::reset)
        return drop(dispatch_event::dropped_reset);
    if (p.kind == packet_kind::opening)
        return reset(p, dispatch_event::refused_no_route);
    if (routes_->status(destination_of(p.key)) != route_status::removed)
        return drop(dispatch_event::dropped_no_route);
    flows_.erase(p.key);
    return reset(p, dispatch_event::reset_route_removed);
}

dispatch_verdict flow_dispatcher::open(const flow_packet& p)
{
    const time_point now = clock_->now();
    flow_location* known = flows_.find(p.key);
    if (known == nullptr)
        return place(p, flows_.insert(p.key, now));
    const bool searched_for = known->state == location_state::searching ||
                              known->state == location_state::lost;
    // A caller that opens has given up whatever flow it had there.
    if (searched_for)
        *known = flow_location();
    known->last = now;
    if (known->agent == no_agent)
        return place(p, *known);
    // A copy meets the choice of the first, unless that server is mute.
    const bool mute = known->state == location_state::placed &&
                      p.copy > known->copy &&
                      now - known->asked >= options_.opening_patience;
    if (!mute)
        return forward(dispatch_event::forwarded, known->agent,
                       {forward_mode::opening, agents_->at(known->agent).tag});
    note_tried(*known, known->agent);
    known->silent.push_back(known->agent);
    known->unanswered = true;
    return place(p, *known);
}

dispatch_verdict flow_dispatcher::place(const flow_packet& p,
                                        flow_location& where)
{
    const route_table::entry* route = routes_->find(destination_of(p.key));
    if (route == nullptr)
        return drop(dispatch_event::dropped_no_route);
    service_tag service = 0;
    agent_index agent = choose(*route, p.key, where, service);
    if (agent == no_agent && !where.busy.empty())
    {
        // All that could take the flow are busy; one of them has to.
        where.insists = true;
        forget_tried(where, where.busy);
        where.busy.clear();
        agent = choose(*route, p.key, where, service);
    }
    if (agent == no_agent)
    {
        // A server that did not answer may have taken the flow.
        const bool may_be_open = where.unanswered;
        flows_.erase(p.key);
        if (may_be_open || !settled(options_.settle))
            return drop(dispatch_event::dropped_settling);
        return reset(p, dispatch_event::refused_no_server);
    }
    // All that were not busy of late have been passed over.
    where.insists = where.insists || agents_->busy(agent);
    const bool again = !where.tried.empty();
    where.state = location_state::placed;
    where.agent = agent;
    where.asked = clock_->now();
    where.copy = p.copy;
    agents_->note_placed(agent);
    return forward(again ? dispatch_event::placed_again
                         : dispatch_event::placed,
                   agent, {opening_mode(where), service});
}

/// The service that the flow's hash picks goes first, then the others of the
/// route that take new flows.
agent_index flow_dispatcher::choose(const route_table::entry& route,
                                    const flow_key& key,
                                    const flow_location& where,
                                    service_tag& service)
{
    const std::uint64_t hash = hash_of(key);
    const route_table::target* picked = route.pick(hash);
    if (picked == nullptr)
        return no_agent;
    service = picked->service;
    agent_index agent = choose_in(service, hash, where);
    for (const route_table::target& t : route.targets)
    {
        if (agent != no_agent)
            break;
        if (t.weight == 0 || t.service == picked->service)
            continue;
        service = t.service;
        agent = choose_in(service, hash, where);
    }
    return agent;
}

agent_index flow_dispatcher::choose_in(service_tag service,
                                       std::uint64_t hash,
                                       const flow_location& where)
{
    candidates_.clear();
    collect_candidates(service, hash, where, true);
    if (candidates_.empty())
        collect_candidates(service, hash, where, false);
    if (candidates_.empty())
        return no_agent;
    keep_best_candidates();
    return candidates_[policy_(candidates_)].agent;
}

/// Leaves options::choices of each: this zone, and others. One that has just
/// said that it is busy ranks behind all that have not.
void flow_dispatcher::keep_best_candidates()
{
    const auto before =
        [](const placement_candidate& a, const placement_candidate& b)
    {
        if (a.same_zone != b.same_zone)
            return a.same_zone;
        if (a.busy != b.busy)
            return b.busy;
        return a.rank > b.rank;
    };
    std::sort(candidates_.begin(), candidates_.end(), before);
    const auto others =
        std::find_if(candidates_.begin(), candidates_.end(),
                     [](const placement_candidate& c) { return !c.same_zone; });
    const auto most = static_cast<std::ptrdiff_t>(options_.choices);
    const auto others_end = others + std::min(most, candidates_.end() - others);
    candidates_.erase(others_end, candidates_.end());
    const auto near_end =
        candidates_.begin() + std::min(most, others - candidates_.begin());
    candidates_.erase(near_end, others);
}

bool flow_dispatcher::same_zone(agent_index i) const
{
    return agents_->at(i).status.zone == options_.zone;
}

/// Servers that take flows of \a service; with \a established only those that
/// other balancers must have heard of by now.
void flow_dispatcher::collect_candidates(service_tag service,
                                         std::uint64_t hash,
                                         const flow_location& where,
                                         bool established)
{
    for (std::size_t i = 0; i < agents_->size(); ++i)
    {
        const auto index = static_cast<agent_index>(i);
        if (!agents_->takes_flows(index, service) ||
            contains(where.tried, index))
            continue;
        if (established && !agents_->established(index))
            continue;
        const agent_directory::record& r = agents_->at(index);
        candidates_.push_back({index, placement_rank(hash, r.status.data),
                               same_zone(index), agents_->busy(index), &r});
    }
}

dispatch_verdict flow_dispatcher::on_returned_packet(const flow_packet& p,
                                                     const endpoint& from,
                                                     return_reason reason)
{
    if (routes_->find(destination_of(p.key)) == nullptr)
        return report(p, without_route(p));
    const agent_index agent = agents_->find(from);
    flow_location* known = flows_.find(p.key);
    flow_location& where =
        known != nullptr ? *known : flows_.insert(p.key, clock_->now());
    note_tried(where, agent);
    if (reason == return_reason::busy && agent != no_agent)
    {
        where.busy.push_back(agent);
        agents_->note_busy(agent);
    }
    if (p.kind == packet_kind::opening)
    {
        // A late copy of an opening that a server has answered.
        if (where.state == location_state::confirmed)
            return drop(dispatch_event::dropped_settling);
        if (where.agent != agent && where.agent != no_agent)
            return forward(
                dispatch_event::forwarded, where.agent,
                {forward_mode::opening, agents_->at(where.agent).tag});
        return report(p, place(p, where));
    }
    if (where.agent != agent && where.agent != no_agent)
        return report(p, lead(p, where));
    return report(p, search(p, where));
}

void flow_dispatcher::on_flow_held(const flow_key& key, const endpoint& from)
{
    const agent_index agent = agents_->find(from);
    if (agent == no_agent)
        return;
    flow_location* known = flows_.find(key);
    flow_location& where =
        known != nullptr ? *known : flows_.insert(key, clock_->now());
    if (where.state == location_state::searching && on_found)
        on_found(key, agent, where.tried.size());
    where.state = location_state::confirmed;
    where.agent = agent;
    where.rounds = 0;
    where.tried.clear();
    where.silent.clear();
}

void flow_dispatcher::expire()
{
    flows_.expire(clock_->now(), options_.idle);
}

dispatch_verdict flow_dispatcher::forward(dispatch_event event,
                                          agent_index agent,
                                          forward_note note)
{
    counters_.add(event);
    dispatch_verdict v;
    v.what = dispatch_verdict::action::forward;
    v.event = event;
    v.agent = agent;
    v.note = note;
    return v;
}

dispatch_verdict flow_dispatcher::reset(const flow_packet& p,
                                        dispatch_event event)
{
    counters_.add(event);
    dispatch_verdict v;
    v.what = dispatch_verdict::action::reset;
    v.event = event;
    // While the flow is not open any sequence will do; this one ends only a
    // flow whose caller has just said what it expects.
    v.reset_sequence = p.kind == packet_kind::opening ? 0 : p.acknowledgment;
    return v;
}

dispatch_verdict flow_dispatcher::drop(dispatch_event event)
{
    counters_.add(event);
    dispatch_verdict v;
    v.event = event;
    return v;
}

dispatch_verdict flow_dispatcher::report(const flow_packet& p,
                                         const dispatch_verdict& v)
{
    if (on_decision && v.event != dispatch_event::forwarded)
        on_decision(p, v);
    return v;
}

bool flow_dispatcher::settled(duration needed) const
{
    return clock_->now() - started_ >= needed;
}

} // namespace briarfield
