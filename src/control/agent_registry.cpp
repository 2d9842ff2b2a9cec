#include "briarfield/control/agent_registry.hpp"

#include <algorithm>
#include <spdlog/spdlog.h>

namespace briarfield
{

namespace
{

constexpr std::string_view event_names[] = {
    "joined", "stopped",           "queried",           "vouched",
    "died",   "ejection_deferred", "duplicate_refused", "stale_dropped"};

/// Number of weight steps in the ramp; few, so that a cold start builds few
/// maps.
constexpr int ramp_steps = 4;

/// How long a confirmation by another observer is valid.
constexpr duration confirmation_lifetime = std::chrono::seconds(1);

/// A longer gap between two sweeps means that this process was paused.
constexpr duration stall_threshold = std::chrono::milliseconds(500);

/// Whether \a instance is a target of \a map.
bool is_target(const bucket_map* map, instance_id instance)
{
    return map != nullptr &&
           std::any_of(map->targets.begin(), map->targets.end(),
                       [&](const map_target& target)
                       { return target.instance == instance; });
}

} // namespace

std::string_view agent_registry_event_name(agent_registry_event event) noexcept
{
    return event_names[static_cast<std::size_t>(event)];
}

void agent_registry::notify_change(service_id service,
                                   map_urgency urgency) const
{
    if (on_change)
        on_change(service, urgency);
}

bool agent_registry::on_heartbeat(const announcement& received)
{
    const instance_id id = make_instance_id(received.instance);
    const service_id service = make_service_id(received.team, received.service);
    const time_point now = clock_->now();
    entry& e = entries_[id];
    const bool is_new = e.service == 0;
    unknown_since_.erase(id);
    const bool other_endpoint =
        e.status == entry_state::announced && e.agent != received.overlay &&
        e.last_announcement.state != serving_state::stopped &&
        now - e.last_evidence < options_.death_timeout;
    if (!is_new && other_endpoint)
    {
        counters_.add(agent_registry_event::duplicate_refused);
        return false;
    }
    const bool older =
        received.incarnation < e.last_announcement.incarnation ||
        (received.incarnation == e.last_announcement.incarnation &&
         received.sequence <= e.last_announcement.sequence);
    if (!is_new && e.last_announcement.incarnation != 0 && older)
    {
        counters_.add(agent_registry_event::stale_dropped);
        return true;
    }
    const bool restarted =
        e.status == entry_state::announced &&
        e.last_announcement.incarnation != 0 &&
        received.incarnation != e.last_announcement.incarnation;
    const bool joins = is_new || e.status == entry_state::dead || restarted;
    const bool leaves = received.state != e.last_announcement.state &&
                        (received.state == serving_state::draining ||
                         received.state == serving_state::stopped);
    const bool differs = joins || e.status == entry_state::expected ||
                         received.state != e.last_announcement.state ||
                         e.agent != received.overlay ||
                         received.capacity != e.last_announcement.capacity;
    const bool released =
        !(received.released == e.last_announcement.released) ||
        received.applied_map != e.last_announcement.applied_map;
    if (e.service != service)
    {
        if (!is_new)
            by_service_[e.service].erase(id);
        by_service_[service].insert(id);
    }
    if (joins)
    {
        e.joined_at = now;
        e.ramping = restarted || e.status == entry_state::dead || is_new;
        counters_.add(agent_registry_event::joined);
    }
    if (leaves && received.state == serving_state::stopped)
        counters_.add(agent_registry_event::stopped);
    e.last_announcement = received;
    e.service = service;
    e.agent = received.overlay;
    e.last_evidence = now;
    e.last_received = now;
    e.status = entry_state::announced;
    e.ever_confirmed = false;
    if (on_announcement)
        on_announcement(received);
    if (differs)
        notify_change(service,
                      leaves ? map_urgency::urgent : map_urgency::normal);
    else if (released)
        notify_change(service, map_urgency::relaxed);
    return true;
}

std::uint64_t agent_registry::incarnation_of(instance_id instance) const
{
    const auto found = entries_.find(instance);
    return found == entries_.end()
               ? 0
               : found->second.last_announcement.incarnation;
}

void agent_registry::expect_targets(const bucket_map& map)
{
    const time_point now = clock_->now();
    for (const map_target& target : map.targets)
    {
        const auto found = entries_.find(target.instance);
        const bool is_dead = found != entries_.end() &&
                             found->second.status == entry_state::dead;
        if (!is_dead)
            continue;
        found->second.status = entry_state::expected;
        found->second.last_evidence = now;
        found->second.ever_confirmed = false;
    }
}

void agent_registry::retain(const std::function<bool(service_id)>& keep)
{
    for (auto it = by_service_.begin(); it != by_service_.end();)
    {
        if (keep(it->first))
        {
            ++it;
            continue;
        }
        for (const instance_id id : it->second)
            entries_.erase(id);
        unconfirmed_ejections_.erase(it->first);
        it = by_service_.erase(it);
    }
}

observation_report agent_registry::answer(const observation_report& query)
{
    observation_report report;
    const time_point now = clock_->now();
    for (const observation& item : query.items)
    {
        const auto found = entries_.find(item.instance);
        if (found == entries_.end() ||
            found->second.status == entry_state::expected)
        {
            const auto first = unknown_since_.emplace(item.instance, now).first;
            report.items.push_back({item.instance, 0, now - first->second});
            continue;
        }
        const entry& e = found->second;
        report.items.push_back({item.instance, e.last_announcement.incarnation,
                                now - e.last_received});
    }
    return report;
}

void agent_registry::on_report(const observation_report& report)
{
    const time_point now = clock_->now();
    for (const observation& reported : report.items)
    {
        const auto found = entries_.find(reported.instance);
        if (found == entries_.end())
            continue;
        entry& e = found->second;
        if (e.status == entry_state::dead ||
            reported.time_since_heartbeat < duration{0})
            continue;
        const time_point last_evidence = now - reported.time_since_heartbeat;
        if (reported.time_since_heartbeat >= options_.query_timeout)
        {
            e.confirmed_at = now;
            e.ever_confirmed = true;
        }
        if (last_evidence <= e.last_evidence ||
            reported.incarnation < e.last_announcement.incarnation)
            continue;
        e.last_evidence = last_evidence;
        counters_.add(agent_registry_event::vouched);
    }
}

/// Extends all timeouts by the length of a pause of this process, in which it
/// could not receive announcements.
void agent_registry::compensate_for_stall(time_point now)
{
    const duration gap = now - last_sweep_;
    const bool stalled = last_sweep_ != time_point{} && gap > stall_threshold;
    last_sweep_ = now;
    if (!stalled)
        return;
    for (auto& [id, e] : entries_)
    {
        e.last_evidence = e.last_evidence + gap;
        e.last_received = e.last_received + gap;
    }
    unknown_since_.clear();
}

void agent_registry::sweep()
{
    const time_point now = clock_->now();
    compensate_for_stall(now);
    std::map<service_id, observation_report> unresponsive;
    for (auto it = entries_.begin(); it != entries_.end();)
    {
        entry& e = it->second;
        const bool terminated =
            e.status == entry_state::dead ||
            e.last_announcement.state == serving_state::stopped;
        if (terminated && now - e.last_evidence > options_.dead_entry_retention)
        {
            by_service_[e.service].erase(it->first);
            it = entries_.erase(it);
            continue;
        }
        const duration time_since_heartbeat = now - e.last_evidence;
        const bool query_due = now - e.last_query >= options_.query_interval;
        if (!terminated && time_since_heartbeat >= options_.query_timeout &&
            query_due)
            unresponsive[e.service].items.push_back(
                {it->first, e.last_announcement.incarnation,
                 time_since_heartbeat});
        const auto step = [&](duration age)
        { return age * ramp_steps / options_.ramp; };
        if (e.ramping && now - e.joined_at >= options_.ramp)
        {
            e.ramping = false;
            notify_change(e.service, map_urgency::normal);
        }
        else if (e.ramping)
        {
            constexpr duration look_back = std::chrono::milliseconds(250);
            if (step(now - e.joined_at) != step(now - e.joined_at - look_back))
                notify_change(e.service, map_urgency::normal);
        }
        ++it;
    }
    for (auto it = unknown_since_.begin(); it != unknown_since_.end();)
    {
        const bool expired = now - it->second > options_.dead_entry_retention;
        it = expired ? unknown_since_.erase(it) : std::next(it);
    }
    for (auto& [service, query] : unresponsive)
    {
        query.query = true;
        const std::size_t observer_count =
            query_observers ? query_observers(service, query) : 0;
        counters_.add(agent_registry_event::queried, query.items.size());
        for (const observation& item : query.items)
        {
            entry& e = entries_[item.instance];
            e.queried_observers = observer_count;
            e.last_query = now;
            check_timeout(e, now);
        }
    }
}

void agent_registry::check_timeout(entry& e, time_point now)
{
    if (now - e.last_evidence < options_.death_timeout)
        return;
    const bool confirmed =
        e.ever_confirmed && now - e.confirmed_at <= confirmation_lifetime;
    if (e.queried_observers > 0 && !confirmed)
        return;
    if (!may_eject(e, confirmed, now))
    {
        counters_.add(agent_registry_event::ejection_deferred);
        return;
    }
    mark_dead(e);
}

bool agent_registry::may_eject(const entry& e, bool confirmed, time_point now)
{
    std::size_t member_count = 0;
    std::size_t others_alive = 0;
    for (const instance_id id : by_service_[e.service])
    {
        const entry& other = entries_[id];
        const bool terminated =
            other.status == entry_state::dead ||
            other.last_announcement.state == serving_state::stopped;
        member_count += terminated ? 0 : 1;
        if (&other != &e && !terminated &&
            now - other.last_evidence < options_.death_timeout)
            ++others_alive;
    }
    if (others_alive == 0)
        return false;
    if (confirmed)
        return true;
    std::vector<time_point>& recent = unconfirmed_ejections_[e.service];
    const auto expired = [&](time_point time)
    { return now - time > options_.ejection_window; };
    recent.erase(std::remove_if(recent.begin(), recent.end(), expired),
                 recent.end());
    const auto max_ejections = std::max<std::size_t>(
        1, static_cast<std::size_t>(
               options_.max_ejection_share *
               static_cast<double>(member_count + recent.size())));
    if (recent.size() >= max_ejections)
        return false;
    recent.push_back(now);
    return true;
}

void agent_registry::mark_dead(entry& e)
{
    e.status = entry_state::dead;
    counters_.add(agent_registry_event::died);
    spdlog::info("event=agent_dead instance={} agent={}",
                 e.last_announcement.instance, e.agent.to_string());
    notify_change(e.service, map_urgency::urgent);
}

double agent_registry::weight_of(entry& e, time_point now) const
{
    if (e.last_announcement.state != serving_state::serving)
        return 0;
    const double full =
        weight ? weight(e.last_announcement) : e.last_announcement.capacity;
    if (!e.ramping)
        return full;
    const auto step =
        static_cast<double>((now - e.joined_at) * ramp_steps / options_.ramp);
    return full * std::min(1.0, options_.ramp_start + step / ramp_steps);
}

map_input agent_registry::input(service_id service, const bucket_map* current)
{
    map_input inputs;
    const time_point now = clock_->now();
    inputs.complete = true;
    if (current != nullptr)
        for (const map_target& target : current->targets)
        {
            entry& e = entries_[target.instance];
            if (e.service != 0)
                continue;
            e.service = service;
            e.agent = target.agent;
            e.last_evidence = now;
            by_service_[service].insert(target.instance);
        }
    for (const instance_id id : by_service_[service])
    {
        entry& e = entries_[id];
        if (e.status == entry_state::expected)
        {
            inputs.complete = false;
            continue;
        }
        // No ramp in the first map of a service, nor for a target of the
        // current map that has just announced itself.
        const bool skip_ramp =
            current == nullptr || current->empty() ||
            (e.joined_at == e.last_evidence && is_target(current, id));
        if (e.ramping && skip_ramp)
            e.ramping = false;
        build_target target;
        target.instance = id;
        target.agent = e.agent;
        target.dead = e.status == entry_state::dead ||
                      e.last_announcement.state == serving_state::stopped;
        target.weight = target.dead ? 0.0 : weight_of(e, now);
        if (!target.dead || is_target(current, id))
            inputs.targets.push_back(target);
    }
    if (current != nullptr)
        inputs.released = [this, version = current->version](
                              std::uint32_t bucket, instance_id owner)
        {
            const auto found = entries_.find(owner);
            return found != entries_.end() &&
                   found->second.last_announcement.applied_map == version &&
                   found->second.last_announcement.released.test(bucket);
        };
    return inputs;
}

} // namespace briarfield
