#include "briarfield/dispatch/search_progress.hpp"

#include "flow_parts.hpp"

namespace briarfield
{

void search_progress::begin_round()
{
    queried_ = 0;
    unresponsive_.clear();
}

void search_progress::forget_answers(time_point now)
{
    negative_.clear();
    incomplete_.clear();
    started_ = now;
}

bool search_progress::may_query(agent_index agent) const
{
    return attempts(agent) == 0 && !contains(negative_, agent) &&
           !contains(unresponsive_, agent);
}

void search_progress::record_query(const outstanding_query& query)
{
    const outstanding_query earlier = end_query(query.agent);
    queried_ += earlier.attempts == 0 ? 1 : 0;
    outstanding_.push_back(query);
    outstanding_.back().attempts = earlier.attempts + 1;
}

std::vector<outstanding_query>::const_iterator
search_progress::find(agent_index agent) const
{
    return std::find_if(outstanding_.begin(), outstanding_.end(),
                        [agent](const outstanding_query& q)
                        { return q.agent == agent; });
}

outstanding_query search_progress::end_query(agent_index agent)
{
    const auto found = find(agent);
    if (found == outstanding_.end())
        return {};
    const outstanding_query query = *found;
    outstanding_.erase(found);
    return query;
}

void search_progress::on_negative_answer(agent_index agent)
{
    (void)end_query(agent);
    if (agent != no_agent && !contains(negative_, agent))
        negative_.push_back(agent);
    unresponsive_.erase(
        std::remove(unresponsive_.begin(), unresponsive_.end(), agent),
        unresponsive_.end());
}

void search_progress::on_unresponsive(agent_index agent)
{
    (void)end_query(agent);
    if (!contains(unresponsive_, agent))
        unresponsive_.push_back(agent);
}

void search_progress::on_incomplete_records(agent_index agent)
{
    (void)end_query(agent);
    if (!contains(incomplete_, agent))
        incomplete_.push_back(agent);
}

bool search_progress::needs_packet(agent_index agent) const
{
    return contains(incomplete_, agent);
}

unsigned search_progress::attempts(agent_index agent) const
{
    const auto found = find(agent);
    return found == outstanding_.end() ? 0 : found->attempts;
}

bool search_progress::has_fresh_query() const
{
    return std::any_of(outstanding_.begin(), outstanding_.end(),
                       [](const outstanding_query& q)
                       { return q.attempts == 1; });
}

bool search_progress::has_query_since(time_point time) const
{
    return std::any_of(outstanding_.begin(), outstanding_.end(),
                       [time](const outstanding_query& q)
                       { return q.sent_at > time; });
}

std::size_t search_progress::packets_outstanding() const
{
    return static_cast<std::size_t>(
        std::count_if(outstanding_.begin(), outstanding_.end(),
                      [](const outstanding_query& q)
                      { return q.kind == query_kind::packet; }));
}

time_point search_progress::next_due(time_point otherwise) const
{
    const auto earliest = std::min_element(
        outstanding_.begin(), outstanding_.end(),
        [](const outstanding_query& a, const outstanding_query& b)
        { return a.due < b.due; });
    return earliest == outstanding_.end() ? otherwise : earliest->due;
}

} // namespace briarfield
