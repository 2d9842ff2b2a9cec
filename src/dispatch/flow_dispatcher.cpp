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
                                            "refused_overloaded",
                                            "refused_no_route",
                                            "reset_route_removed",
                                            "reset_not_found",
                                            "dropped_no_route",
                                            "dropped_no_routes",
                                            "dropped_settling",
                                            "dropped_not_found",
                                            "dropped_reset",
                                            "dropped_kept",
                                            "dropped_warming",
                                            "queried",
                                            "dropped_search_limit"};
static_assert(std::size(event_names) ==
              static_cast<std::size_t>(dispatch_event::count_));

constexpr std::string_view query_event_names[] = {
    "sent",     "sent_packet", "repeated",     "held",
    "not_held", "undecided",   "unresponsive", "limited"};
static_assert(std::size(query_event_names) ==
              static_cast<std::size_t>(query_event::count_));

constexpr std::string_view uncertainty_names[] = {
    "none",          "young",     "unanswered",
    "unheard_agent", "no_agents", "unconfirmed_agents"};
static_assert(std::size(uncertainty_names) ==
              static_cast<std::size_t>(search_uncertainty::count_));

forward_mode opening_mode(const flow_location& location)
{
    return location.force ? forward_mode::opening_forced
                          : forward_mode::opening;
}

} // namespace

std::string_view dispatch_event_name(dispatch_event event) noexcept
{
    return event_names[static_cast<std::size_t>(event)];
}

std::string_view query_event_name(query_event event) noexcept
{
    return query_event_names[static_cast<std::size_t>(event)];
}

std::string_view
search_uncertainty_name(search_uncertainty uncertainty) noexcept
{
    return uncertainty_names[static_cast<std::size_t>(uncertainty)];
}

flow_dispatcher::flow_dispatcher(const clock& c,
                                 options opts,
                                 const route_table& routes,
                                 agent_directory& agents,
                                 placement_policy policy)
    : clock_(&c), options_(std::move(opts)), routes_(&routes), agents_(&agents),
      policy_(std::move(policy)), work_(c), costs_(c, routes, work_),
      queries_(c), pauses_(c, options_.pause_limit)
{
    queries_.send = [this](agent_index agent, std::uint32_t id,
                           const std::vector<flow_key>& flows)
    {
        if (send_query)
            send_query(agents_->at(agent).status.relay_address, id, flows);
    };
}

dispatch_verdict flow_dispatcher::on_caller_packet(const flow_packet& packet)
{
    pauses_.check();
    if (routes_->version() == 0 && packet.kind == packet_kind::opening)
        return drop(dispatch_event::dropped_no_routes);
    if (lacks_route(packet.key))
        return report(packet, on_missing_route(packet));
    if (packet.kind == packet_kind::opening)
        return report(packet, on_opening(packet));
    flow_location* cached = flows_.find(packet.key);
    if (cached == nullptr && packet.kind == packet_kind::reset)
        return drop(dispatch_event::dropped_reset);
    flow_location& location =
        cached != nullptr ? *cached : flows_.insert(packet.key, clock_->now());
    location.last_packet = clock_->now();
    forget_earlier_flow(packet, location);
    return report(packet, forward_existing(packet, location));
}

/// Whether the configuration has no route to the flow's destination. Before the
/// first configuration any route may exist, and open flows stay where they are.
bool flow_dispatcher::lacks_route(const flow_key& key) const
{
    return routes_->version() != 0 &&
           routes_->find(destination_of(key)) == nullptr;
}

/// A flow whose route was removed is reset. If the route is not known here yet,
/// only an opening can be reset.
dispatch_verdict flow_dispatcher::on_missing_route(const flow_packet& packet)
{
    if (packet.kind == packet_kind::reset)
        return drop(dispatch_event::dropped_reset);
    if (packet.kind == packet_kind::opening)
        return reset(packet, dispatch_event::refused_no_route);
    if (routes_->status(destination_of(packet.key)) != route_status::removed)
        return drop(dispatch_event::dropped_no_route);
    flows_.erase(packet.key);
    forget_search(packet.key);
    return reset(packet, dispatch_event::reset_route_removed);
}

dispatch_verdict flow_dispatcher::on_opening(const flow_packet& packet)
{
    const time_point now = clock_->now();
    flow_location* cached = flows_.find(packet.key);
    forget_search(packet.key);
    if (cached == nullptr)
        return place(packet, flows_.insert(packet.key, now));
    // A caller that opens a flow has abandoned any earlier one on that port.
    if (is_other_flow(*cached, packet))
        *cached = flow_location();
    cached->last_packet = now;
    // The flow is open. Its agent would return the copy, and another server
    // must not get it.
    if (cached->state == location_state::confirmed &&
        agents_->evacuated(cached->agent))
        return drop(dispatch_event::dropped_settling);
    if (cached->agent == no_agent || !route_allows(packet.key, cached->agent))
        return place(packet, *cached);
    // A retransmission goes to the server chosen first, unless that server is
    // unresponsive.
    const bool timed_out =
        cached->state == location_state::placed &&
        packet.retransmission_count > cached->retransmission_count &&
        now - cached->agent_chosen_at >= options_.opening_timeout;
    if (!timed_out)
        return forward(dispatch_event::forwarded, cached->agent,
                       {opening_mode(*cached), agents_->at(cached->agent).tag});
    add_tried(*cached, cached->agent);
    cached->unanswered = true;
    return place(packet, *cached);
}

/// Whether \a location belongs to an earlier flow with the same addresses and
/// ports as the opening \a packet.
bool flow_dispatcher::is_other_flow(const flow_location& location,
                                    const flow_packet& packet)
{
    if (location.state == location_state::searching ||
        location.state == location_state::lost)
        return true;
    if (location.opening_sequence)
        return *location.opening_sequence != packet.sequence;
    return packet.retransmission_count == 0;
}

/// Whether the flow's route allows new flows to the server of \a agent, and
/// its zone is not evacuated.
bool flow_dispatcher::route_allows(const flow_key& key, agent_index agent) const
{
    const route_table::entry* route = routes_->find(destination_of(key));
    return route != nullptr && route->allows(agents_->at(agent).tag) &&
           !agents_->evacuated(agent);
}

/// Whether a server of \a route will take openings once it has warmed up.
bool flow_dispatcher::awaits_room(const route_table::entry& route) const
{
    for (std::size_t i = 0; i < agents_->size(); ++i)
        for (const route_table::target& t : route.targets)
            if (t.weight > 0 &&
                agents_->awaits_room(static_cast<agent_index>(i), t.service))
                return true;
    return false;
}

dispatch_verdict flow_dispatcher::place(const flow_packet& packet,
                                        flow_location& location)
{
    const route_table::entry* route = routes_->find(destination_of(packet.key));
    if (route == nullptr)
        return drop(dispatch_event::dropped_no_route);
    service_tag service = 0;
    const agent_index agent = choose_for(*route, packet.key, location, service);
    if (agent == no_agent && awaits_room(*route) &&
        packet.retransmission_count < options_.warming_copies)
    {
        flows_.erase(packet.key);
        return drop(dispatch_event::dropped_warming);
    }
    if (agent == no_agent)
        return reject_opening(packet, location,
                              dispatch_event::refused_no_server);
    const admission_request request =
        make_admission_request(packet, *route, location, agent);
    const admission decision = options_.admit(request);
    location.force = decision != admission::place;
    if (decision == admission::reject)
        return reject_overload(packet, *route, location, request);
    if (decision == admission::force)
        forced_.add(priority_class_of(route->priority));
    const bool retried = !location.tried.empty();
    location.state = location_state::placed;
    location.agent = agent;
    location.agent_chosen_at = clock_->now();
    location.retransmission_count = packet.retransmission_count;
    location.opening_sequence = packet.sequence;
    agents_->record_placed(agent);
    return forward(retried ? dispatch_event::placed_again
                           : dispatch_event::placed,
                   agent, {opening_mode(location), service});
}

/// The best server for the opening; after enough overloaded servers have
/// returned it, one of them, and if no other is left, one that has failed.
agent_index flow_dispatcher::choose_for(const route_table::entry& route,
                                        const flow_key& key,
                                        flow_location& location,
                                        service_tag& service)
{
    agent_index agent = no_agent;
    if (location.overloaded.size() < options_.max_overloaded_asked)
        agent = choose(route, key, location, candidate_set::available, service);
    if (agent == no_agent && !location.overloaded.empty())
    {
        location.force = true;
        remove_tried(location, location.overloaded);
        location.overloaded.clear();
        agent = choose(route, key, location, candidate_set::available, service);
    }
    if (agent == no_agent && !location.last_resort)
    {
        location.force = true;
        location.last_resort = true;
        agent =
            choose(route, key, location, candidate_set::last_resort, service);
    }
    return agent;
}

/// Whether an opening that meets overload need not be forced on a server. An
/// earlier copy of it may have been taken through another balancer. During the
/// startup grace it is dropped instead: other servers are tracked by the time
/// its next copy arrives.
bool flow_dispatcher::may_reject_overload(const flow_packet& packet) const
{
    return packet.retransmission_count == 0 ||
           !running_for(options_.startup_grace);
}

admission_request
flow_dispatcher::make_admission_request(const flow_packet& packet,
                                        const route_table::entry& route,
                                        const flow_location& location,
                                        agent_index agent)
{
    admission_request request;
    // The servers that are not overloaded have all been tried.
    request.overloaded = location.force || agents_->overloaded(agent);
    request.may_reject = may_reject_overload(packet);
    request.priorities_differ = routes_->priority_levels() > 1;
    if (request.overloaded && request.priorities_differ)
        request.cost = costs_.relative(destination_of(packet.key), route);
    request.aim = route.aim;
    request.expected = expected_answer_time(agents_->at(agent));
    request.flow_hash = hash_of(packet.key);
    return request;
}

dispatch_verdict
flow_dispatcher::reject_overload(const flow_packet& packet,
                                 const route_table::entry& route,
                                 const flow_location& location,
                                 const admission_request& request)
{
    dispatch_verdict verdict =
        reject_opening(packet, location, dispatch_event::refused_overloaded);
    verdict.rejected = request;
    // During the startup grace the opening is dropped instead.
    if (verdict.event == dispatch_event::refused_overloaded)
        rejected_.add(priority_class_of(route.priority));
    return verdict;
}

/// Resets an opening that no server has taken, so that nothing has run.
dispatch_verdict flow_dispatcher::reject_opening(const flow_packet& packet,
                                                 const flow_location& location,
                                                 dispatch_event event)
{
    // A server that did not respond may have taken the flow.
    const bool may_be_open = location.unanswered;
    flows_.erase(packet.key);
    if (may_be_open || !running_for(options_.startup_grace))
        return drop(dispatch_event::dropped_settling);
    return reset(packet, event);
}

/// The service picked by the flow's hash comes first, then the others of the
/// route that take new flows.
agent_index flow_dispatcher::choose(const route_table::entry& route,
                                    const flow_key& key,
                                    const flow_location& location,
                                    candidate_set set,
                                    service_tag& service)
{
    const std::uint64_t hash = hash_of(key);
    const route_table::target* picked = route.pick(hash);
    if (picked == nullptr)
        return no_agent;
    service = picked->service;
    agent_index agent = choose_of_service(service, hash, location, set);
    for (const route_table::target& t : route.targets)
    {
        if (agent != no_agent)
            break;
        if (t.weight == 0 || t.service == picked->service)
            continue;
        service = t.service;
        agent = choose_of_service(service, hash, location, set);
    }
    return agent;
}

agent_index flow_dispatcher::choose_of_service(service_tag service,
                                               std::uint64_t hash,
                                               const flow_location& location,
                                               candidate_set set)
{
    const auto ready = [this, service](agent_index i)
    { return agents_->takes_flows(i, service); };
    const auto established = [this, &ready](agent_index i)
    { return ready(i) && agents_->established(i); };
    const auto unavailable = [this, service](agent_index i)
    { return agents_->is_last_resort(i, service); };
    candidates_.clear();
    if (set == candidate_set::last_resort)
        collect_candidates(hash, location, unavailable);
    else
        collect_candidates(hash, location, established);
    if (set == candidate_set::available && candidates_.empty())
        collect_candidates(hash, location, ready);
    if (candidates_.empty())
        return no_agent;
    keep_best_candidates();
    return candidates_[policy_(candidates_)].agent;
}

/// Keeps options::max_candidates of this zone, and as many of the others.
/// Overloaded servers rank behind all others.
void flow_dispatcher::keep_best_candidates()
{
    const auto before =
        [](const placement_candidate& a, const placement_candidate& b)
    {
        if (a.same_zone != b.same_zone)
            return a.same_zone;
        if (a.overloaded != b.overloaded)
            return b.overloaded;
        return a.rank > b.rank;
    };
    std::sort(candidates_.begin(), candidates_.end(), before);
    const auto other_zones =
        std::find_if(candidates_.begin(), candidates_.end(),
                     [](const placement_candidate& c) { return !c.same_zone; });
    const auto limit = static_cast<std::ptrdiff_t>(options_.max_candidates);
    const auto other_zones_end =
        other_zones + std::min(limit, candidates_.end() - other_zones);
    candidates_.erase(other_zones_end, candidates_.end());
    const auto same_zone_end =
        candidates_.begin() +
        std::min(limit, other_zones - candidates_.begin());
    candidates_.erase(same_zone_end, other_zones);
}

bool flow_dispatcher::same_zone(agent_index i) const
{
    return agents_->at(i).status.zone == options_.zone;
}

/// Adds the servers for which \a is_candidate holds, except those tried.
void flow_dispatcher::collect_candidates(
    std::uint64_t hash,
    const flow_location& location,
    const std::function<bool(agent_index)>& is_candidate)
{
    for (std::size_t i = 0; i < agents_->size(); ++i)
    {
        const auto index = static_cast<agent_index>(i);
        if (contains(location.tried, index) || !is_candidate(index))
            continue;
        const agent_directory::record& record = agents_->at(index);
        candidates_.push_back(
            {index, placement_rank(hash, record.status.relay_address),
             same_zone(index), agents_->overloaded(index), &record});
    }
}

dispatch_verdict flow_dispatcher::on_returned_packet(const flow_packet& packet,
                                                     const endpoint& from,
                                                     return_info info)
{
    pauses_.check();
    if (lacks_route(packet.key))
        return report(packet, on_missing_route(packet));
    const agent_index agent = agents_->find(from);
    flow_location* cached = flows_.find(packet.key);
    flow_location& location =
        cached != nullptr ? *cached : flows_.insert(packet.key, clock_->now());
    if (info.reason == return_reason::busy && agent != no_agent)
        agents_->record_overloaded(agent, info.requests);
    if (info.reason == return_reason::warming && agent != no_agent)
        agents_->record_warming(agent);
    if (packet.kind == packet_kind::opening)
        return on_returned_opening(packet, location, agent, info.reason);
    if (info.reason == return_reason::not_held || is_searched_for(packet.key))
    {
        on_negative_answer(packet.key, agent);
        return drop(dispatch_event::dropped_kept);
    }
    if (location.agent == agent)
        end_placement(packet.key, location);
    // The answer counts from the start of the search.
    if (location.state == location_state::searching &&
        search_for(packet) != nullptr)
        on_negative_answer(packet.key, agent);
    return report(packet, forward_existing(packet, location));
}

dispatch_verdict flow_dispatcher::on_returned_opening(const flow_packet& packet,
                                                      flow_location& location,
                                                      agent_index from,
                                                      return_reason reason)
{
    // A late copy of an opening that a server has taken.
    const bool placing = location.state == location_state::placed ||
                         (location.state == location_state::searching &&
                          !is_searched_for(packet.key));
    const bool earlier_flow =
        location.opening_sequence.value_or(packet.sequence) != packet.sequence;
    if (!placing || earlier_flow)
        return drop(dispatch_event::dropped_settling);
    add_tried(location, from);
    if (reason == return_reason::busy && from != no_agent)
        location.overloaded.push_back(from);
    if (location.agent != from && location.agent != no_agent &&
        route_allows(packet.key, location.agent))
        return forward(
            dispatch_event::forwarded, location.agent,
            {opening_mode(location), agents_->at(location.agent).tag});
    return report(packet, place(packet, location));
}

void flow_dispatcher::on_flow_held(const flow_key& key, const endpoint& from)
{
    const agent_index agent = agents_->find(from);
    if (agent == no_agent)
        return;
    const bool searched_for = is_searched_for(key);
    (void)confirm(key, agent);
    if (searched_for && resume_kept_packet)
        resume_kept_packet(key);
}

/// Records that the server of \a agent has the flow.
flow_location& flow_dispatcher::confirm(const flow_key& key, agent_index agent)
{
    flow_location* cached = flows_.find(key);
    flow_location& location =
        cached != nullptr ? *cached : flows_.insert(key, clock_->now());
    const auto search = searches_.find(key);
    if (search != searches_.end())
    {
        end_query(search->second, agent);
        if (on_found)
            on_found(key, agent, search->second.negative_answers());
        searches_.erase(search);
    }
    location.state = location_state::confirmed;
    location.agent = agent;
    location.failed_searches = 0;
    location.tried.clear();
    return location;
}

void flow_dispatcher::expire()
{
    pauses_.check();
    flows_.expire(clock_->now(), options_.idle_timeout);
    expire_searches();
    queries_.expire();
}

dispatch_verdict flow_dispatcher::forward(dispatch_event event,
                                          agent_index agent,
                                          forward_info info)
{
    counters_.add(event);
    dispatch_verdict verdict;
    verdict.decision = dispatch_verdict::action::forward;
    verdict.event = event;
    verdict.agent = agent;
    verdict.info = info;
    return verdict;
}

dispatch_verdict flow_dispatcher::reset(const flow_packet& packet,
                                        dispatch_event event)
{
    counters_.add(event);
    dispatch_verdict verdict;
    verdict.decision = dispatch_verdict::action::reset;
    verdict.event = event;
    // Before the flow is open any sequence is valid. This one ends only the
    // flow whose caller has just sent this acknowledgment.
    verdict.reset_sequence =
        packet.kind == packet_kind::opening ? 0 : packet.acknowledgment;
    return verdict;
}

dispatch_verdict flow_dispatcher::drop(dispatch_event event)
{
    counters_.add(event);
    dispatch_verdict verdict;
    verdict.event = event;
    return verdict;
}

dispatch_verdict flow_dispatcher::report(const flow_packet& packet,
                                         const dispatch_verdict& verdict)
{
    if (on_decision && verdict.event != dispatch_event::forwarded)
        on_decision(packet, verdict);
    return verdict;
}

} // namespace briarfield
