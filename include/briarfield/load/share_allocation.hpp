#ifndef BRIARFIELD_LOAD_SHARE_ALLOCATION_HPP
#define BRIARFIELD_LOAD_SHARE_ALLOCATION_HPP

#include <cstdint>
#include <vector>

namespace briarfield
{

/// \brief Weight and demand of one claimant of \ref allocate_max_min.
struct weighted_demand
{
    double weight = 1; ///< Not negative.
    double demand = 0; ///< Not negative.
};

/// \brief Splits \a budget by weighted max-min fairness.
///
/// No claimant gets more than its demand; the part that it does not use goes to
/// the others in proportion to their weights. The sum of the grants is the
/// smaller of the budget and the sum of the demands with a positive weight.
std::vector<double>
allocate_max_min(double budget, const std::vector<weighted_demand>& claimants);

/// \brief Claim of a service to a shared budget.
struct share_claim
{
    std::uint64_t team = 0;
    unsigned urgency_rank = 0; ///< Higher is more urgent, within the team.
    double share = 1;          ///< Relative to other services of the team.
    double demand = 0;
};

/// \brief Amount guaranteed to each service whatever the others demand.
///
/// Teams have equal parts of the budget, so that no team gains by declaring
/// more services, larger shares or a higher urgency. The services of a team
/// split its part in proportion to their shares.
std::vector<double> share_floors(double budget,
                                 const std::vector<share_claim>& claims);

/// \brief Splits a budget between teams, then between their services.
///
/// Each service gets at least the smaller of its demand and its floor (see
/// \ref share_floors). The budget that a team does not use goes to other teams
/// by max-min fairness. What a team has above the floors goes to its most
/// urgent services first, and by share among services of equal urgency. The sum
/// of the grants is the smaller of the budget and the sum of the demands.
std::vector<double> allocate_shares(double budget,
                                    const std::vector<share_claim>& claims);

} // namespace briarfield

#endif
