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

/// Whether \a status is older than the heartbeat in \a current.
bool stale(const agent_directory::record& current, const agent_status& status)
{
    if (status.incarnation == current.replaced_incarnation)
        return true;
    return status.incarnation == current.status.incarnation &&
           status.sequence <= current.status.sequence;
}

} // namespace

std::string_view server_state_name(server_state state) noexcept
{
    return state_names[static_cast<std::size_t>(state)];
}

bool agent_directory::on_heartbeat(const agent_status& status)
{
    agent_index i = find(status.relay_address);
    const bool first = i == no_agent;
    if (first)
    {
        i = allocate_record();
        if (i == no_agent)
            return false;
        by_relay_address_.emplace(status.relay_address, i);
        peer_reported_.erase(status.relay_address);
        records_[i].first_heartbeat = clock_->now();
    }
    record& agent = records_[i];
    if (!first && stale(agent, status))
        return false;
    const bool restarted = agent.status.incarnation != status.incarnation;
    const bool changed = first || restarted || agent.timeout_reported ||
                         agent.status.state != status.state ||
                         agent.status.service != status.service;
    if (restarted)
        agent.replaced_incarnation = agent.status.incarnation;
    const float returned_load = agent.status.requests_in_progress;
    agent.status = status;
    agent.tag = make_service_tag(status.service);
    agent.last_heartbeat = clock_->now();
    // The mean in a heartbeat lags behind what the agent has just returned.
    if (overloaded(i))
        agent.status.requests_in_progress = returned_load;
    else
        agent.placed = 0;
    agent.timeout_reported = false;
    if (changed && on_change)
        on_change(agent);
    return true;
}

void agent_directory::record_overloaded(agent_index i, std::uint16_t requests)
{
    record& agent = records_[i];
    agent.overloaded_until = clock_->now() + options_.overload_ttl;
    agent.status.requests_in_progress = requests;
    agent.placed = 0;
}

/// Adds a record, or reuses an expired one.
agent_index agent_directory::allocate_record()
{
    const time_point now = clock_->now();
    for (std::size_t i = 0; i < records_.size(); ++i)
    {
        if (now - records_[i].last_heartbeat < options_.record_ttl)
            continue;
        by_relay_address_.erase(records_[i].status.relay_address);
        records_[i] = record();
        return static_cast<agent_index>(i);
    }
    if (records_.size() == no_agent)
        return no_agent;
    records_.emplace_back();
    return static_cast<agent_index>(records_.size() - 1);
}

agent_index agent_directory::find(const endpoint& relay_address) const
{
    const auto found = by_relay_address_.find(relay_address);
    return found == by_relay_address_.end() ? no_agent : found->second;
}

bool agent_directory::alive(agent_index i) const
{
    return clock_->now() - records_[i].last_heartbeat <=
           options_.heartbeat_timeout;
}

std::size_t agent_directory::count_alive() const
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < records_.size(); ++i)
        count += alive(static_cast<agent_index>(i)) ? 1 : 0;
    return count;
}

bool agent_directory::established(agent_index i) const
{
    const record& agent = records_[i];
    return agent.status.state == server_state::ready &&
           clock_->now() - agent.first_heartbeat >= options_.established_after;
}

bool agent_directory::may_hold_flows(agent_index i) const
{
    const record& agent = records_[i];
    // An agent that runs returns the packets of a server that is gone.
    if (agent.status.state == server_state::gone &&
        (agent.status.restarting || !alive(i)))
        return false;
    // Its server has sent no heartbeat to it: there are no flows to wait for,
    // unless the agent restarts before it can have received one.
    if (agent.status.state == server_state::unknown &&
        !agent.status.restarting && !alive(i))
        return false;
    const duration time_since_heartbeat = clock_->now() - agent.last_heartbeat;
    return time_since_heartbeat <= (agent.status.restarting
                                        ? options_.restart_timeout
                                        : options_.recovery_timeout);
}

void agent_directory::add_peer_reported(const endpoint& relay_address)
{
    if (find(relay_address) == no_agent)
        peer_reported_.emplace(relay_address, clock_->now());
}

bool agent_directory::awaits_peer_reported() const
{
    return !peer_reported_.empty();
}

bool agent_directory::takes_flows(agent_index i, service_tag tag) const
{
    const record& agent = records_[i];
    return agent.status.opening_room > 0 && may_take(i, tag);
}

bool agent_directory::awaits_room(agent_index i, service_tag tag) const
{
    const record& agent = records_[i];
    return agent.status.opening_room == 0 && may_take(i, tag);
}

bool agent_directory::may_take(agent_index i, service_tag tag) const
{
    const record& agent = records_[i];
    const bool in_service = agent.status.state == server_state::ready ||
                            agent.status.state == server_state::unknown;
    return agent.tag == tag && in_service && !agent.status.restarting &&
           !evacuated(i) && alive(i);
}

bool agent_directory::evacuated(agent_index i) const
{
    return evacuations_ != nullptr &&
           evacuations_->contains(records_[i].status.zone);
}

void agent_directory::record_placed(agent_index i)
{
    record& agent = records_[i];
    ++agent.placed;
    std::uint16_t& room = agent.status.opening_room;
    if (room != unlimited_openings && room > 0)
        --room;
}

bool agent_directory::is_last_resort(agent_index i, service_tag tag) const
{
    const record& agent = records_[i];
    return agent.tag == tag && agent.status.state == server_state::silent &&
           !agent.status.restarting && !evacuated(i) && alive(i);
}

void agent_directory::check()
{
    const time_point now = clock_->now();
    for (auto i = peer_reported_.begin(); i != peer_reported_.end();)
        i = now - i->second > options_.recovery_timeout
                ? peer_reported_.erase(i)
                : std::next(i);
    for (std::size_t i = 0; i < records_.size(); ++i)
    {
        record& agent = records_[i];
        if (agent.timeout_reported || alive(static_cast<agent_index>(i)))
            continue;
        agent.timeout_reported = true;
        if (on_timeout)
            on_timeout(agent, now - agent.last_heartbeat);
    }
}

} // namespace briarfield
