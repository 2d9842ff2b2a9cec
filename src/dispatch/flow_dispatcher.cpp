#include "briarfield/dispatch/flow_dispatcher.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>

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

bool contains(const std::vector<agent_index>& all, agent_index i)
{
    return std::find(all.begin(), all.end(), i) != all.end();
}

void note_tried(flow_location& where, agent_index i)
{
    if (i != no_agent && !contains(where.tried, i))
        where.tried.push_back(i);
}

forward_mode opening_mode(const flow_location& where)
{
    return where.insists ? forward_mode::opening_anyway : forward_mode::opening;
}

std::uint64_t hash_of(const flow_key& key)
{
    return flow_key_hash()(key);
}

endpoint destination_of(const flow_key& key)
{
    return {key.destination, key.destination_port};
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
        for (const agent_index i : where.busy)
            where.tried.erase(
                std::remove(where.tried.begin(), where.tried.end(), i),
                where.tried.end());
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
    for (const agent_index i : where.silent)
        where.tried.erase(
            std::remove(where.tried.begin(), where.tried.end(), i),
            where.tried.end());
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
