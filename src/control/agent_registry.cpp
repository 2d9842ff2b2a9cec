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

/// Steps of the ramp, so that a cold start makes few maps.
constexpr int ramp_steps = 4;

/// A confirmation of another observer counts for this long.
constexpr duration confirmation_lifetime = std::chrono::seconds(1);

/// A gap between two sweeps that is longer means a paused process.
constexpr duration stall_threshold = std::chrono::milliseconds(500);

/// Whether \a instance is a target of \a m.
bool names(const bucket_map* m, instance_id instance)
{
    return m != nullptr && std::any_of(m->targets.begin(), m->targets.end(),
                                       [&](const map_target& t)
                                       { return t.instance == instance; });
}

} // namespace

std::string_view agent_registry_event_name(agent_registry_event event) noexcept
{
    return event_names[static_cast<std::size_t>(event)];
}

void agent_registry::tell(service_id service, map_urgency urgency) const
{
    if (on_change)
        on_change(service, urgency);
}

bool agent_registry::on_heartbeat(const announcement& a)
{
    const instance_id id = make_instance_id(a.instance);
    const service_id service = make_service_id(a.team, a.service);
    const time_point now = clock_->now();
    entry& e = entries_[id];
    const bool fresh = e.service == 0;
    missing_.erase(id);
    const bool elsewhere = e.life == phase::known && e.agent != a.overlay &&
                           e.last.state != serving_state::stopped &&
                           now - e.heard < options_.death;
    if (!fresh && elsewhere)
    {
        counters_.add(agent_registry_event::duplicate_refused);
        return false;
    }
    const bool older =
        a.incarnation < e.last.incarnation ||
        (a.incarnation == e.last.incarnation && a.sequence <= e.last.sequence);
    if (!fresh && e.last.incarnation != 0 && older)
    {
        counters_.add(agent_registry_event::stale_dropped);
        return true;
    }
    const bool restarted = e.life == phase::known && e.last.incarnation != 0 &&
                           a.incarnation != e.last.incarnation;
    const bool joins = fresh || e.life == phase::dead || restarted;
    const bool leaves =
        a.state != e.last.state && (a.state == serving_state::draining ||
                                    a.state == serving_state::stopped);
    const bool differs = joins || e.life == phase::expected ||
                         a.state != e.last.state || e.agent != a.overlay ||
                         a.capacity != e.last.capacity;
    const bool released =
        !(a.released == e.last.released) || a.known_map != e.last.known_map;
    if (e.service != service)
    {
        if (!fresh)
            by_service_[e.service].erase(id);
        by_service_[service].insert(id);
    }
    if (joins)
    {
        e.joined = now;
        e.ramping = restarted || e.life == phase::dead || fresh;
        counters_.add(agent_registry_event::joined);
    }
    if (leaves && a.state == serving_state::stopped)
        counters_.add(agent_registry_event::stopped);
    e.last = a;
    e.service = service;
    e.agent = a.overlay;
    e.heard = now;
    e.direct = now;
    e.life = phase::known;
    e.ever_confirmed = false;
    if (on_announcement)
        on_announcement(a);
    if (differs)
        tell(service, leaves ? map_urgency::urgent : map_urgency::normal);
    else if (released)
        tell(service, map_urgency::relaxed);
    return true;
}

std::uint64_t agent_registry::incarnation_of(instance_id instance) const
{
    const auto found = entries_.find(instance);
    return found == entries_.end() ? 0 : found->second.last.incarnation;
}

void agent_registry::doubt(const bucket_map& m)
{
    const time_point now = clock_->now();
    for (const map_target& t : m.targets)
    {
        const auto found = entries_.find(t.instance);
        const bool buried =
            found != entries_.end() && found->second.life == phase::dead;
        if (!buried)
            continue;
        found->second.life = phase::expected;
        found->second.heard = now;
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
        unconfirmed_.erase(it->first);
        it = by_service_.erase(it);
    }
}

observation_report agent_registry::answer(const observation_report& query)
{
    observation_report report;
    const time_point now = clock_->now();
    for (const observation& asked : query.items)
    {
        const auto found = entries_.find(asked.instance);
        if (found == entries_.end() || found->second.life == phase::expected)
        {
            const auto first = missing_.emplace(asked.instance, now).first;
            report.items.push_back({asked.instance, 0, now - first->second});
            continue;
        }
        const entry& e = found->second;
        report.items.push_back(
            {asked.instance, e.last.incarnation, now - e.direct});
    }
    return report;
}

void agent_registry::on_report(const observation_report& report)
{
    const time_point now = clock_->now();
    for (const observation& seen : report.items)
    {
        const auto found = entries_.find(seen.instance);
        if (found == entries_.end())
            continue;
        entry& e = found->second;
        if (e.life == phase::dead || seen.silence < duration{0})
            continue;
        const time_point heard = now - seen.silence;
        if (seen.silence >= options_.query)
        {
            e.confirmed = now;
            e.ever_confirmed = true;
        }
        if (heard <= e.heard || seen.incarnation < e.last.incarnation)
            continue;
        e.heard = heard;
        counters_.add(agent_registry_event::vouched);
    }
}

/// After a pause of this process silence proves nothing.
void agent_registry::forgive_stall(time_point now)
{
    const duration gap = now - swept_;
    const bool stalled = swept_ != time_point{} && gap > stall_threshold;
    swept_ = now;
    if (!stalled)
        return;
    for (auto& [id, e] : entries_)
    {
        e.heard = e.heard + gap;
        e.direct = e.direct + gap;
    }
    missing_.clear();
}

void agent_registry::sweep()
{
    const time_point now = clock_->now();
    forgive_stall(now);
    std::map<service_id, observation_report> silent;
    for (auto it = entries_.begin(); it != entries_.end();)
    {
        entry& e = it->second;
        const bool over =
            e.life == phase::dead || e.last.state == serving_state::stopped;
        if (over && now - e.heard > options_.forget)
        {
            by_service_[e.service].erase(it->first);
            it = entries_.erase(it);
            continue;
        }
        const duration silence = now - e.heard;
        const bool ask_now = now - e.asked >= options_.query_interval;
        if (!over && silence >= options_.query && ask_now)
            silent[e.service].items.push_back(
                {it->first, e.last.incarnation, silence});
        const auto step = [&](duration age)
        { return age * ramp_steps / options_.ramp; };
        if (e.ramping && now - e.joined >= options_.ramp)
        {
            e.ramping = false;
            tell(e.service, map_urgency::normal);
        }
        else if (e.ramping)
        {
            constexpr duration look_back = std::chrono::milliseconds(250);
            if (step(now - e.joined) != step(now - e.joined - look_back))
                tell(e.service, map_urgency::normal);
        }
        ++it;
    }
    for (auto it = missing_.begin(); it != missing_.end();)
    {
        const bool old = now - it->second > options_.forget;
        it = old ? missing_.erase(it) : std::next(it);
    }
    for (auto& [service, query] : silent)
    {
        query.query = true;
        const std::size_t asked = ask ? ask(service, query) : 0;
        counters_.add(agent_registry_event::queried, query.items.size());
        for (const observation& o : query.items)
        {
            entry& e = entries_[o.instance];
            e.observers = asked;
            e.asked = now;
            check_silence(e, now);
        }
    }
}

void agent_registry::check_silence(entry& e, time_point now)
{
    if (now - e.heard < options_.death)
        return;
    const bool confirmed =
        e.ever_confirmed && now - e.confirmed <= confirmation_lifetime;
    if (e.observers > 0 && !confirmed)
        return;
    if (!may_eject(e, confirmed, now))
    {
        counters_.add(agent_registry_event::ejection_deferred);
        return;
    }
    bury(e);
}

bool agent_registry::may_eject(const entry& e, bool confirmed, time_point now)
{
    std::size_t members = 0;
    std::size_t others_alive = 0;
    for (const instance_id id : by_service_[e.service])
    {
        const entry& other = entries_[id];
        const bool over = other.life == phase::dead ||
                          other.last.state == serving_state::stopped;
        members += over ? 0 : 1;
        if (&other != &e && !over && now - other.heard < options_.death)
            ++others_alive;
    }
    if (others_alive == 0)
        return false;
    if (confirmed)
        return true;
    std::vector<time_point>& recent = unconfirmed_[e.service];
    const auto old = [&](time_point t)
    { return now - t > options_.ejection_window; };
    recent.erase(std::remove_if(recent.begin(), recent.end(), old),
                 recent.end());
    const auto most = std::max<std::size_t>(
        1,
        static_cast<std::size_t>(options_.ejection_share *
                                 static_cast<double>(members + recent.size())));
    if (recent.size() >= most)
        return false;
    recent.push_back(now);
    return true;
}

void agent_registry::bury(entry& e)
{
    e.life = phase::dead;
    counters_.add(agent_registry_event::died);
    spdlog::info("event=agent_dead instance={} agent={}", e.last.instance,
                 e.agent.to_string());
    tell(e.service, map_urgency::urgent);
}

double agent_registry::weight_of(entry& e, time_point now) const
{
    if (e.last.state != serving_state::serving)
        return 0;
    const double full = weight ? weight(e.last) : e.last.capacity;
    if (!e.ramping)
        return full;
    const auto step =
        static_cast<double>((now - e.joined) * ramp_steps / options_.ramp);
    return full * std::min(1.0, options_.ramp_start + step / ramp_steps);
}

map_input agent_registry::input(service_id service, const bucket_map* current)
{
    map_input in;
    const time_point now = clock_->now();
    in.complete = true;
    if (current != nullptr)
        for (const map_target& t : current->targets)
        {
            entry& e = entries_[t.instance];
            if (e.service != 0)
                continue;
            e.service = service;
            e.agent = t.agent;
            e.heard = now;
            by_service_[service].insert(t.instance);
        }
    for (const instance_id id : by_service_[service])
    {
        entry& e = entries_[id];
        if (e.life == phase::expected)
        {
            in.complete = false;
            continue;
        }
        // A target that the map already has, or a first map, needs no ramp.
        const bool warm = current == nullptr || current->empty() ||
                          (e.joined == e.heard && names(current, id));
        if (e.ramping && warm)
            e.ramping = false;
        build_target t;
        t.instance = id;
        t.agent = e.agent;
        t.known_dead =
            e.life == phase::dead || e.last.state == serving_state::stopped;
        t.weight = t.known_dead ? 0.0 : weight_of(e, now);
        if (!t.known_dead || names(current, id))
            in.targets.push_back(t);
    }
    if (current != nullptr)
        in.released = [this, version = current->version](std::uint32_t bucket,
                                                         instance_id owner)
        {
            const auto found = entries_.find(owner);
            return found != entries_.end() &&
                   found->second.last.known_map == version &&
                   found->second.last.released.test(bucket);
        };
    return in;
}

} // namespace briarfield
