#include "briarfield/load/share_allocation.hpp"

#include <algorithm>
#include <cstddef>
#include <map>
#include <numeric>

namespace briarfield
{

namespace
{

using claim_indexes = std::vector<std::size_t>;

std::map<std::uint64_t, claim_indexes>
by_team(const std::vector<share_claim>& claims)
{
    std::map<std::uint64_t, claim_indexes> teams;
    for (std::size_t i = 0; i < claims.size(); ++i)
        teams[claims[i].team].push_back(i);
    return teams;
}

/// Splits the surplus of a team above its floors, most urgent services first.
void allocate_surplus(double surplus,
                      const std::vector<share_claim>& claims,
                      claim_indexes team,
                      std::vector<double>& grants)
{
    std::stable_sort(team.begin(), team.end(),
                     [&](std::size_t a, std::size_t b) {
                         return claims[a].urgency_rank > claims[b].urgency_rank;
                     });
    for (std::size_t first = 0; first < team.size() && surplus > 0;)
    {
        std::size_t last = first;
        std::vector<weighted_demand> tier;
        while (last < team.size() && claims[team[last]].urgency_rank ==
                                         claims[team[first]].urgency_rank)
        {
            const share_claim& c = claims[team[last]];
            tier.push_back({c.share, c.demand - grants[team[last]]});
            ++last;
        }
        const std::vector<double> extra = allocate_max_min(surplus, tier);
        for (std::size_t i = first; i < last; ++i)
        {
            grants[team[i]] += extra[i - first];
            surplus -= extra[i - first];
        }
        first = last;
    }
}

} // namespace

std::vector<double>
allocate_max_min(double budget, const std::vector<weighted_demand>& claimants)
{
    std::vector<double> grants(claimants.size(), 0.0);
    std::vector<std::size_t> order;
    double weights = 0;
    for (std::size_t i = 0; i < claimants.size(); ++i)
    {
        if (claimants[i].weight <= 0 || claimants[i].demand <= 0)
            continue;
        order.push_back(i);
        weights += claimants[i].weight;
    }
    std::sort(order.begin(), order.end(),
              [&](std::size_t a, std::size_t b)
              {
                  return claimants[a].demand * claimants[b].weight <
                         claimants[b].demand * claimants[a].weight;
              });
    for (const std::size_t i : order)
    {
        const double part = budget * claimants[i].weight / weights;
        grants[i] = std::max(0.0, std::min(claimants[i].demand, part));
        budget -= grants[i];
        weights -= claimants[i].weight;
    }
    return grants;
}

std::vector<double> share_floors(double budget,
                                 const std::vector<share_claim>& claims)
{
    std::vector<double> floors(claims.size(), 0.0);
    const auto teams = by_team(claims);
    for (const auto& [team, members] : teams)
    {
        const double team_part = budget / static_cast<double>(teams.size());
        double shares = 0;
        for (const std::size_t i : members)
            shares += claims[i].share;
        for (const std::size_t i : members)
            floors[i] = shares > 0 ? team_part * claims[i].share / shares : 0;
    }
    return floors;
}

std::vector<double> allocate_shares(double budget,
                                    const std::vector<share_claim>& claims)
{
    const auto teams = by_team(claims);
    std::vector<weighted_demand> team_demands;
    for (const auto& [team, members] : teams)
    {
        double demand = 0;
        for (const std::size_t i : members)
            demand += claims[i].demand;
        team_demands.push_back({1, demand});
    }
    const std::vector<double> team_grants =
        allocate_max_min(budget, team_demands);
    std::vector<double> grants = share_floors(budget, claims);
    for (std::size_t i = 0; i < claims.size(); ++i)
        grants[i] = std::min(grants[i], claims[i].demand);
    std::size_t position = 0;
    for (const auto& [team, members] : teams)
    {
        double surplus = team_grants[position++];
        for (const std::size_t i : members)
            surplus -= grants[i];
        allocate_surplus(surplus, claims, members, grants);
    }
    return grants;
}

} // namespace briarfield
