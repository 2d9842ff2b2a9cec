#include "briarfield/dispatch/agent_directory.hpp"

#include <iterator>

namespace briarfield
{

namespace
{

constexpr std::string_view state_names[] = {"unknown", "ready", "draining",
                                            "gone", "silent"};
static_assert(std::size(state_names) ==
              static_cast<std::size_t>(server_state::count_));

/// Whether \a status is older than what \a known holds.
bool stale(const agent_directory::record& known, const agent_status& status)
{
    if (status.incarnation == known.replaced_incarnation)
        return true;
    return status.incarnation == known.status.incarnation &&
           status.sequence <= known.status.sequence;
}

} // namespace

std::string_view server_state_name(server_state state) noexcept
{
    return state_names[static_cast<std::size_t>(state)];
}

bool agent_directory::take(const agent_status& status)
{
    agent_index i = find(status.data);
    const bool first = i == no_agent;
    if (first)
    {
        i = make_room();
        if (i == no_agent)
            return false;
        by_data_.emplace(status.data, i);
        named_.erase(status.data);
        records_[i].first_heard = clock_->now();
    }
    record& r = records_[i];
    if (!first && stale(r, status))
        return false;
    const bool restarted = r.status.incarnation != status.incarnation;
    const bool changed = first || restarted || r.reported_lost ||
                         r.status.state != status.state ||
                         r.status.service != status.service;
    if (restarted)
        r.replaced_incarnation = r.status.incarnation;
    r.status = status;
    r.tag = make_service_tag(status.service);
    r.heard = clock_->now();
    r.placed = 0;
    r.reported_lost = false;
    if (changed && on_change)
        on_change(r);
    return true;
}

/// A new record, or that of an agent that nobody remembers.
agent_index agent_directory::make_room()
{
    const time_point now = clock_->now();
    for (std::size_t i = 0; i < records_.size(); ++i)
    {
        if (now - records_[i].heard < options_.forget_after)
            continue;
        by_data_.erase(records_[i].status.data);
        records_[i] = record();
        return static_cast<agent_index>(i);
    }
    if (records_.size() == no_agent)
        return no_agent;
    records_.emplace_back();
    return static_cast<agent_index>(records_.size() - 1);
}

agent_index agent_directory::find(const endpoint& data) const
{
    const auto found = by_data_.find(data);
    return found == by_data_.end() ? no_agent : found->second;
}

bool agent_directory::fresh(agent_index i) const
{
    return clock_->now() - records_[i].heard <= options_.fresh_for;
}

std::size_t agent_directory::count_fresh() const
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < records_.size(); ++i)
        count += fresh(static_cast<agent_index>(i)) ? 1 : 0;
    return count;
}

bool agent_directory::established(agent_index i) const
{
    const record& r = records_[i];
    return r.status.state == server_state::ready &&
           clock_->now() - r.first_heard >= options_.established_after;
}

bool agent_directory::known(agent_index i) const
{
    const record& r = records_[i];
    if (r.status.state == server_state::gone)
        return false;
    // Nobody has seen its server: there is nothing to wait for.
    if (r.status.state == server_state::unknown && !fresh(i))
        return false;
    const duration silence = clock_->now() - r.heard;
    return silence <=
           (r.status.restarting ? options_.restart_for : options_.known_for);
}

void agent_directory::note_named(const endpoint& data)
{
    if (find(data) == no_agent)
        named_.emplace(data, clock_->now());
}

bool agent_directory::awaits_named() const
{
    return !named_.empty();
}

bool agent_directory::takes_flows(agent_index i, service_tag tag) const
{
    const record& r = records_[i];
    const bool may_take = r.status.state == server_state::ready ||
                          r.status.state == server_state::unknown;
    return r.tag == tag && may_take && !r.status.restarting && fresh(i);
}

void agent_directory::check()
{
    const time_point now = clock_->now();
    for (auto i = named_.begin(); i != named_.end();)
        i = now - i->second > options_.known_for ? named_.erase(i)
                                                 : std::next(i);
    for (std::size_t i = 0; i < records_.size(); ++i)
    {
        record& r = records_[i];
        if (r.reported_lost || fresh(static_cast<agent_index>(i)))
            continue;
        r.reported_lost = true;
        if (on_silent)
            on_silent(r, now - r.heard);
    }
}

} // namespace briarfield
