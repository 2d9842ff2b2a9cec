#include "agent_tracer.hpp"

namespace briarfield::app
{

namespace
{

constexpr std::size_t pending_limit = 1024; // Flows.
constexpr duration pending_lifetime = std::chrono::seconds(30);

bool is_failure(agent_event event)
{
    switch (event)
    {
    case agent_event::accepted:
    case agent_event::delivered:
    case agent_event::passed_along:
    case agent_event::redirected:
        return false;
    default:
        return true;
    }
}

} // namespace

void agent_tracer::attach(agent_core& core)
{
    core.trace = [this](agent_event event, const flow_key& key,
                        trace_context& hop) { on_decision(event, key, hop); };
    core.on_first_answer = [this](const flow_key& key, bool rejected)
    { on_first_answer(key, rejected); };
}

void agent_tracer::on_decision(agent_event event,
                               const flow_key& key,
                               trace_context& hop)
{
    if (!trace_->enabled())
        return;
    const bool follows_accepted =
        event == agent_event::delivered && pending_.count(key) != 0;
    if (follows_accepted)
        return;
    hop = trace_->record_hop(hop, "agent", duration{0},
                             {{"event", std::string(agent_event_name(event))}},
                             is_failure(event));
    if (event == agent_event::accepted)
        record_delivery(key, hop);
}

void agent_tracer::record_delivery(const flow_key& key,
                                   const trace_context& hop)
{
    const time_point now = clock_->now();
    if (pending_.size() >= pending_limit)
        for (auto it = pending_.begin(); it != pending_.end();)
            it = now - it->second.delivered_at > pending_lifetime
                     ? pending_.erase(it)
                     : std::next(it);
    if (pending_.size() < pending_limit)
        pending_[key] = {hop, now};
}

void agent_tracer::on_first_answer(const flow_key& key, bool rejected)
{
    const auto found = pending_.find(key);
    if (found == pending_.end())
        return;
    const delivery& sent = found->second;
    trace_->record_hop(sent.context, "server",
                       clock_->now() - sent.delivered_at, {}, rejected);
    pending_.erase(found);
}

} // namespace briarfield::app
