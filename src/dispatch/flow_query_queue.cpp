#include "briarfield/dispatch/flow_query_queue.hpp"

#include <utility>

namespace briarfield
{

bool flow_query_queue::add(agent_index agent, const flow_key& flow)
{
    if (in_progress_ >= options_.max_in_progress)
        expire();
    if (in_progress_ >= options_.max_in_progress)
        return false;
    ++in_progress_;
    std::vector<flow_key>& flows = waiting_[agent];
    flows.push_back(flow);
    if (flows.size() < options_.max_flows)
        return true;
    std::vector<flow_key> full = std::move(flows);
    waiting_.erase(agent);
    send_to(agent, std::move(full));
    return true;
}

void flow_query_queue::flush()
{
    const auto all = std::exchange(waiting_, {});
    for (const auto& [agent, flows] : all)
        send_to(agent, flows);
}

void flow_query_queue::send_to(agent_index agent, std::vector<flow_key> flows)
{
    const std::uint32_t id = ++last_id_;
    const query& sent =
        sent_
            .insert_or_assign(id, query{agent, std::move(flows), clock_->now()})
            .first->second;
    // A copy: the answer, which removes the query, may arrive before the call
    // returns.
    const std::vector<flow_key> to_send = sent.flows;
    if (send)
        send(agent, id, to_send);
}

std::optional<flow_query_queue::query> flow_query_queue::take(agent_index agent,
                                                              std::uint32_t id)
{
    const auto found = sent_.find(id);
    if (found == sent_.end() || found->second.agent != agent)
        return std::nullopt;
    query taken = std::move(found->second);
    sent_.erase(found);
    in_progress_ -= taken.flows.size();
    return taken;
}

void flow_query_queue::expire()
{
    const time_point now = clock_->now();
    while (!sent_.empty() &&
           now - sent_.begin()->second.sent_at > options_.answer_ttl)
    {
        in_progress_ -= sent_.begin()->second.flows.size();
        sent_.erase(sent_.begin());
    }
}

} // namespace briarfield
