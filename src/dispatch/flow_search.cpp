// How flow_dispatcher finds the server of a flow whose location is not cached.

#include "briarfield/dispatch/flow_dispatcher.hpp"

#include "flow_parts.hpp"

#include <algorithm>
#include <tuple>

namespace briarfield
{

namespace
{

using namespace std::chrono_literals;

/// Shortest delay until a search goes on without an answer, if too many queries
/// of other searches are in progress. Timeouts are longer.
constexpr duration min_wait = 50ms;

/// The second step waits this long for answers to repeated queries of the
/// first one, so that the flow of an agent that missed one query is not
/// searched for everywhere. Some round-trip times between zones.
constexpr duration repeat_wait = 10ms;

/// Packets of one flow whose sequence numbers differ by more than this do not
/// follow each other within the life of a search.
constexpr std::uint32_t max_sequence_distance = 1U << 24U;

/// Whether \a packet belongs to a later flow than the one searched for, with
/// the same addresses and ports, whose opening another balancer has seen.
bool is_of_later_flow(const search_progress& search, const flow_packet& packet)
{
    const std::uint32_t ahead = packet.sequence - search.sequence();
    const std::uint32_t behind = search.sequence() - packet.sequence;
    return std::min(ahead, behind) > max_sequence_distance;
}

/// A candidate for a query; lower orders come first.
struct query_candidate
{
    std::tuple<bool, bool> last; ///< Does not respond; is not of the route.
    std::uint64_t rank = 0;
    agent_index agent = no_agent;

    friend bool operator<(const query_candidate& a, const query_candidate& b)
    {
        return std::make_tuple(a.last, b.rank) <
               std::make_tuple(b.last, a.rank);
    }
};

void keep_first(std::vector<query_candidate>& all, std::size_t count)
{
    const auto kept =
        all.begin() + static_cast<std::ptrdiff_t>(std::min(count, all.size()));
    std::partial_sort(all.begin(), kept, all.end());
    all.erase(kept, all.end());
}

/// Merges two sorted lists; candidates of the same class alternate.
std::vector<agent_index> alternate(const std::vector<query_candidate>& a,
                                   const std::vector<query_candidate>& b,
                                   std::size_t count)
{
    std::vector<agent_index> merged;
    auto i = a.begin();
    auto j = b.begin();
    bool first_next = true;
    while (merged.size() < count && (i != a.end() || j != b.end()))
    {
        const bool comparable = i != a.end() && j != b.end();
        const bool take_first =
            comparable ? i->last < j->last || (i->last == j->last && first_next)
                       : i != a.end();
        first_next = !take_first;
        merged.push_back(take_first ? (i++)->agent : (j++)->agent);
    }
    return merged;
}

} // namespace

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
    if (location.state == location_state::lost && now < location.next_search)
    {
        dispatch_verdict verdict = drop(dispatch_event::dropped_not_found);
        verdict.retry_after = location.next_search - now;
        return verdict;
    }
    end_placement(packet.key, location);
    return search(packet, location);
}

dispatch_verdict flow_dispatcher::on_kept_packet(const flow_packet& packet)
{
    pauses_.check();
    flow_location* location = flows_.find(packet.key);
    if (location == nullptr)
        return drop(dispatch_event::dropped_kept);
    if (location->state == location_state::confirmed)
        return forward_kept_packet(packet, *location);
    const bool searching = location->state == location_state::searching ||
                           location->state == location_state::lost;
    if (!searching ||
        clock_->now() - location->last_packet > options_.search_limit)
        return drop(dispatch_event::dropped_kept);
    return report(packet, forward_existing(packet, *location));
}

/// The holder has got the first kept packet if it was queried by the packet.
dispatch_verdict flow_dispatcher::forward_kept_packet(const flow_packet& packet,
                                                      flow_location& location)
{
    if (location.forward_kept)
        return report(packet, forward_existing(packet, location));
    location.forward_kept = true;
    return drop(dispatch_event::dropped_kept);
}

/// Servers that returned the opening, or did not respond to it, may have taken
/// another copy of it, so a search must query them.
void flow_dispatcher::end_placement(const flow_key& key,
                                    flow_location& location)
{
    if (location.state != location_state::placed &&
        location.state != location_state::confirmed)
        return;
    location.state = location_state::searching;
    location.tried.clear();
    location.overloaded.clear();
    location.unanswered = false;
    forget_search(key);
}

/// Negative answers about an earlier flow do not count for a later one.
void flow_dispatcher::forget_earlier_flow(const flow_packet& packet,
                                          flow_location& location)
{
    if (location.state == location_state::confirmed)
        return;
    const auto found = searches_.find(packet.key);
    if (found == searches_.end() || !is_of_later_flow(found->second, packet))
        return;
    searches_.erase(found);
    location.failed_searches = 0;
}

/// Search for the flow of \a packet, added if there is none; null if too many
/// are in progress.
search_progress* flow_dispatcher::search_for(const flow_packet& packet)
{
    const auto found = searches_.find(packet.key);
    if (found != searches_.end())
        return &found->second;
    if (!make_room_for_search())
        return nullptr;
    const search_progress added(clock_->now(), packet.sequence);
    return &searches_.emplace(packet.key, added).first->second;
}

/// A search without an outstanding query loses only its negative answers.
bool flow_dispatcher::make_room_for_search()
{
    if (searches_.size() < options_.max_searches)
        return true;
    const auto idle = std::find_if(searches_.begin(), searches_.end(),
                                   [](const auto& s)
                                   { return s.second.outstanding().empty(); });
    if (idle == searches_.end())
        return false;
    searches_.erase(idle);
    return true;
}

/// Searches end long before their flow is removed from the cache.
void flow_dispatcher::expire_searches()
{
    const time_point now = clock_->now();
    for (auto i = searches_.begin(); i != searches_.end();)
    {
        const flow_location* location = flows_.find(i->first);
        const bool ended =
            location == nullptr ||
            now - location->last_packet > options_.negative_response_ttl;
        i = ended ? searches_.erase(i) : std::next(i);
    }
}

dispatch_verdict flow_dispatcher::search(const flow_packet& packet,
                                         flow_location& location)
{
    search_progress* progress = search_for(packet);
    if (progress == nullptr)
        return drop(dispatch_event::dropped_search_limit);
    const time_point now = clock_->now();
    if (now - progress->started() >= options_.negative_response_ttl)
        progress->forget_answers(now);
    if (location.state == location_state::lost)
        progress->begin_round();
    location.state = location_state::searching;
    location.agent = no_agent;
    location.forward_kept = false;
    packet_targets targets;
    const bool all_repeated = repeat_queries(packet.key, *progress, targets);
    const bool all_asked = ask_next(packet.key, *progress, targets);
    if (all_repeated && all_asked && progress->outstanding().empty())
        return fail_search(packet, location, *progress);
    dispatch_verdict verdict = query(targets);
    const bool awaits_repeated =
        !progress->has_fresh_query() && room_for_queries(*progress) == 0;
    verdict.retry_after =
        awaits_repeated ? repeat_wait
                        : std::max(min_wait, progress->next_due(now) - now);
    return verdict;
}

/// Sends the packet to \a targets; without any, it waits for answers.
dispatch_verdict flow_dispatcher::query(const packet_targets& targets)
{
    if (targets.empty())
        return drop(dispatch_event::queried);
    dispatch_verdict verdict =
        forward(dispatch_event::searched, targets.front(),
                {forward_mode::search, 0, true});
    verdict.more_agents.assign(targets.begin() + 1, targets.end());
    counters_.add(dispatch_event::searched, verdict.more_agents.size());
    return verdict;
}

/// Repeats the queries whose timeout has passed, or gives them up.
///
/// \returns false if too many queries are in progress.
bool flow_dispatcher::repeat_queries(const flow_key& key,
                                     search_progress& search,
                                     packet_targets& targets)
{
    const std::vector<outstanding_query> all = search.outstanding();
    bool sent = true;
    for (const outstanding_query& q : all)
    {
        if (q.due > clock_->now())
            continue;
        if (may_repeat(q))
        {
            sent = send_query_to(q.agent, key, search, targets) && sent;
            continue;
        }
        query_counters_.add(query_event::unresponsive);
        search.on_unresponsive(q.agent);
    }
    return sent;
}

/// Whether the agent that has not answered is worth another query. One that is
/// restarting is queried again in the next round.
bool flow_dispatcher::may_repeat(const outstanding_query& query) const
{
    return query.attempts < options_.max_queries &&
           agents_->alive(query.agent) &&
           !agents_->at(query.agent).status.restarting;
}

/// Queries the next agents.
///
/// \returns false if too many queries are in progress.
bool flow_dispatcher::ask_next(const flow_key& key,
                               search_progress& search,
                               packet_targets& targets)
{
    const std::size_t room = room_for_queries(search);
    if (room == 0)
        return true;
    for (const agent_index agent : rank_for_query(key, search, room))
    {
        const bool waits =
            kind_of_query(search, agent) == query_kind::packet &&
            search.packets_outstanding() >= options_.max_parallel_packets;
        if (!waits && !send_query_to(agent, key, search, targets))
            return false;
    }
    return true;
}

/// Number of agents that the search may query now. The second step begins when
/// each agent of the first one has answered or has missed one timeout.
std::size_t
flow_dispatcher::room_for_queries(const search_progress& search) const
{
    const std::size_t first_step = first_step_size();
    if (search.queried() < first_step)
        return first_step - search.queried();
    const bool awaits_first_step =
        search.has_fresh_query() ||
        search.has_query_since(clock_->now() - repeat_wait);
    if (search.queried() == first_step && awaits_first_step)
        return 0;
    const std::size_t limit = options_.max_parallel_queries;
    return limit - std::min(limit, search.outstanding().size());
}

/// Whether enough queries have ended for the search to go on.
bool flow_dispatcher::can_go_on(const search_progress& search) const
{
    if (search.outstanding().empty())
        return true;
    const std::size_t packets = search.packets_outstanding();
    if (packets > 0 && 2 * packets > options_.max_parallel_packets)
        return false;
    return room_for_queries(search) > options_.max_parallel_queries / 2 ||
           search.queried() < first_step_size();
}

bool flow_dispatcher::send_query_to(agent_index agent,
                                    const flow_key& key,
                                    search_progress& search,
                                    packet_targets& targets)
{
    outstanding_query sent;
    sent.agent = agent;
    sent.kind = kind_of_query(search, agent);
    if (sent.kind == query_kind::message && !queue_query(agent, key))
    {
        query_counters_.add(query_event::limited);
        return false;
    }
    if (sent.kind == query_kind::packet)
        targets.push_back(agent);
    const unsigned attempt = search.attempts(agent) + 1;
    query_counters_.add(attempt > 1 ? query_event::repeated
                        : sent.kind == query_kind::message
                            ? query_event::sent
                            : query_event::sent_packet);
    sent.sent_at = clock_->now();
    sent.due =
        sent.sent_at + options_.query_delay + rtt_of(agent).timeout(attempt);
    search.record_query(sent);
    return true;
}

bool flow_dispatcher::queue_query(agent_index agent, const flow_key& key)
{
    const bool scheduled = queries_.waiting();
    if (!queries_.add(agent, key))
        return false;
    if (!scheduled && queries_.waiting() && schedule_flush)
        schedule_flush(options_.query_delay);
    return true;
}

query_kind flow_dispatcher::kind_of_query(const search_progress& search,
                                          agent_index agent) const
{
    const bool answers =
        agents_->at(agent).status.flows_complete && !search.needs_packet(agent);
    return answers ? query_kind::message : query_kind::packet;
}

rtt_estimator& flow_dispatcher::rtt_of(agent_index agent)
{
    if (rtt_.size() <= agent)
        rtt_.resize(agent + std::size_t{1});
    return rtt_[agent];
}

/// Agents of the route's services come first, then all others; by rank,
/// alternating between this zone and the others, as new flows are placed.
/// Agents that restart or have timed out come last: a query to them is probably
/// lost.
std::vector<agent_index> flow_dispatcher::rank_for_query(
    const flow_key& key, const search_progress& search, std::size_t count) const
{
    const std::uint64_t hash = hash_of(key);
    const route_table::entry* route = routes_->find(destination_of(key));
    std::vector<query_candidate> here;
    std::vector<query_candidate> elsewhere;
    for (std::size_t i = 0; i < agents_->size(); ++i)
    {
        const auto index = static_cast<agent_index>(i);
        if (!agents_->may_hold_flows(index) || !search.may_query(index))
            continue;
        const agent_directory::record& record = agents_->at(index);
        const bool responds = agents_->alive(index) &&
                              !record.status.restarting &&
                              record.status.state != server_state::unknown;
        const bool of_route =
            route != nullptr &&
            std::any_of(route->targets.begin(), route->targets.end(),
                        [&record](const route_table::target& t)
                        { return t.service == record.tag; });
        (same_zone(index) ? here : elsewhere)
            .push_back({std::make_tuple(!responds, !of_route),
                        placement_rank(hash, record.status.relay_address),
                        index});
    }
    keep_first(here, count);
    keep_first(elsewhere, count);
    return alternate(here, elsewhere, count);
}

/// Ends the query to \a agent and records its round-trip time, unless it was
/// repeated, which makes the time ambiguous. Those of messages are recorded by
/// \ref on_query_answer.
void flow_dispatcher::end_query(search_progress& search, agent_index agent)
{
    const outstanding_query ended = search.end_query(agent);
    if (ended.attempts == 1 && ended.kind == query_kind::packet)
        rtt_of(agent).record(clock_->now() - ended.sent_at);
}

void flow_dispatcher::on_negative_answer(const flow_key& key, agent_index agent)
{
    const auto found = searches_.find(key);
    if (found == searches_.end() || agent == no_agent)
        return;
    query_counters_.add(query_event::not_held);
    end_query(found->second, agent);
    found->second.on_negative_answer(agent);
    resume(key);
}

/// Goes on with the search, if enough queries have ended.
void flow_dispatcher::resume(const flow_key& key)
{
    const flow_location* location = flows_.find(key);
    const auto found = searches_.find(key);
    const bool searching = location != nullptr && found != searches_.end() &&
                           location->state == location_state::searching;
    if (searching && can_go_on(found->second) && resume_kept_packet)
        resume_kept_packet(key);
}

void flow_dispatcher::on_query_answer(const endpoint& from,
                                      std::uint32_t id,
                                      bool complete,
                                      const std::vector<std::uint16_t>& held)
{
    const agent_index agent = agents_->find(from);
    const auto answered = queries_.take(agent, id);
    if (agent == no_agent || !answered)
        return;
    rtt_of(agent).record(clock_->now() - answered->sent_at);
    for (std::size_t i = 0; i < answered->flows.size(); ++i)
    {
        const bool holds = std::find(held.begin(), held.end(), i) != held.end();
        on_answer(answered->flows[i], *answered,
                  holds      ? query_event::held
                  : complete ? query_event::not_held
                             : query_event::undecided);
    }
}

void flow_dispatcher::on_answer(const flow_key& key,
                                const flow_query_queue::query& query,
                                query_event answer)
{
    const auto found = searches_.find(key);
    // An answer to an earlier search may concern an earlier flow.
    if (found == searches_.end() || query.sent_at < found->second.started())
        return;
    if (answer == query_event::not_held)
        return on_negative_answer(key, query.agent);
    query_counters_.add(answer);
    if (answer == query_event::held)
        return on_found_by_message(key, query.agent);
    found->second.on_incomplete_records(query.agent);
    resume(key);
}

void flow_dispatcher::on_found_by_message(const flow_key& key,
                                          agent_index agent)
{
    confirm(key, agent).forward_kept = true;
    if (resume_kept_packet)
        resume_kept_packet(key);
}

dispatch_verdict flow_dispatcher::fail_search(const flow_packet& packet,
                                              flow_location& location,
                                              const search_progress& search)
{
    const time_point now = clock_->now();
    location.state = location_state::lost;
    location.next_search = now + options_.search_interval;
    // An agent that was given up may have come back while others were queried.
    location.unanswered = std::any_of(
        search.unresponsive().begin(), search.unresponsive().end(),
        [this](agent_index i) { return agents_->may_hold_flows(i); });
    if (location.failed_searches++ == 0)
        location.first_failure = now;
    if (packet.kind == packet_kind::reset)
        return drop(dispatch_event::dropped_not_found);
    const search_uncertainty uncertainty = uncertainty_of(location);
    dispatch_verdict verdict =
        uncertainty == search_uncertainty::none
            ? reset(packet, dispatch_event::reset_not_found)
            : drop(dispatch_event::dropped_not_found);
    verdict.queried = search.negative_answers();
    verdict.uncertainty = uncertainty;
    if (uncertainty == search_uncertainty::none)
        return verdict;
    verdict.retry_after = retry_delay(location);
    location.next_search = now + verdict.retry_after;
    return verdict;
}

/// Delay until the next search for a flow that may be lost. Right after the
/// start, agents are heard for the first time, so it is repeated often: it
/// queries only these.
duration flow_dispatcher::retry_delay(const flow_location& location) const
{
    if (running_for(options_.conclusive_after))
        return options_.reset_delay;
    const duration since_failure = clock_->now() - location.first_failure;
    const duration until_conclusive =
        std::max(options_.reset_grace - pauses_.running_for(),
                 options_.reset_delay - since_failure);
    return until_conclusive > duration(0)
               ? std::min(until_conclusive, options_.search_interval)
               : options_.search_interval;
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
