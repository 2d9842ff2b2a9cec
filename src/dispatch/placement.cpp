#include "briarfield/dispatch/placement.hpp"

#include "briarfield/dispatch/service_time_comparison.hpp"

#include <algorithm>
#include <xxhash.h>

namespace briarfield
{

namespace
{

/// Part of a slot that an open flow occupies on average.
constexpr double idle_flow_cost = 0.02;

/// Factor by which requests take longer on a server that is warming up.
constexpr double warmup_factor = 1.6;

/// Loads that differ by less are equal, so that zone and rank decide.
constexpr double equal_load = 0.05; // Of a slot.

double flows_per_slot(const agent_directory::record& record)
{
    const double flows = record.status.flows + record.placed;
    return flows / std::max(1U, record.status.slots);
}

/// Whether \a a is the better choice at about equal load.
bool preferred(const placement_candidate& a, const placement_candidate& b)
{
    if (a.same_zone != b.same_zone)
        return a.same_zone;
    return a.rank > b.rank;
}

std::size_t min_cost_candidate(
    const std::vector<placement_candidate>& all,
    const std::function<double(const placement_candidate&)>& cost_of)
{
    std::size_t best = 0;
    double best_cost = cost_of(all[0]);
    for (std::size_t i = 1; i < all.size(); ++i)
    {
        const double cost = cost_of(all[i]);
        const bool equal = std::abs(cost - best_cost) < equal_load;
        const bool better = all[i].overloaded != all[best].overloaded
                                ? all[best].overloaded
                            : equal ? preferred(all[i], all[best])
                                    : cost < best_cost;
        if (better)
        {
            best = i;
            best_cost = cost;
        }
    }
    return best;
}

std::size_t highest_rank(const std::vector<placement_candidate>& all,
                         std::size_t except)
{
    std::size_t best = except == 0 ? 1 : 0;
    for (std::size_t i = 0; i < all.size(); ++i)
        if (i != except && all[i].rank > all[best].rank)
            best = i;
    return best;
}

} // namespace

std::uint64_t placement_rank(std::uint64_t flow_hash, const endpoint& agent)
{
    const auto& bytes = agent.address.bytes();
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(),
                                flow_hash + agent.port);
}

double expected_load(const agent_directory::record& record)
{
    const double slots = std::max(1U, record.status.slots);
    const double flows = record.status.flows + record.placed;
    const double load =
        (record.status.requests_in_progress + idle_flow_cost * flows) / slots;
    return record.status.warmup_ms > 0 ? (load + 1) * warmup_factor - 1 : load;
}

duration expected_answer_time(const agent_directory::record& record)
{
    const double slots = std::max(1U, record.status.slots);
    const double requests =
        record.status.requests_in_progress + (record.placed + 1.0);
    return std::chrono::duration_cast<duration>(
        std::max(1.0, requests / slots) * record.status.service_time);
}

placement_policy place_by_rank()
{
    return [](const std::vector<placement_candidate>& all)
    { return highest_rank(all, all.size()); };
}

placement_policy place_by_two_choices()
{
    return [](const std::vector<placement_candidate>& all)
    {
        const std::size_t first = highest_rank(all, all.size());
        if (all.size() == 1)
            return first;
        const std::size_t second = highest_rank(all, first);
        return expected_load(*all[second].record) <
                       expected_load(*all[first].record)
                   ? second
                   : first;
    };
}

placement_policy place_by_flows()
{
    return [](const std::vector<placement_candidate>& all)
    {
        return min_cost_candidate(all, [](const placement_candidate& c)
                                  { return flows_per_slot(*c.record); });
    };
}

placement_policy place_by_load()
{
    return [](const std::vector<placement_candidate>& all)
    {
        service_time_comparison times;
        for (const placement_candidate& c : all)
            times.add(*c.record);
        if (!times.unequal())
            return min_cost_candidate(all, [](const placement_candidate& c)
                                      { return expected_load(*c.record); });
        // The time until an answer, in mean times of a request, less the
        // request itself: the same unit as the load of equal servers.
        return min_cost_candidate(
            all,
            [&times](const placement_candidate& c)
            {
                const double turns = expected_load(*c.record) + 1;
                return turns * times.relative(*c.record) - 1;
            });
    };
}

} // namespace briarfield
