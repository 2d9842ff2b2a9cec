#include "briarfield/relay/notice_plan.hpp"

#include <algorithm>

namespace briarfield
{

notice_plan::notice_plan(const endpoint& own,
                         const std::vector<endpoint>& others)
    : sorted_(others)
{
    sorted_.push_back(own);
    std::sort(sorted_.begin(), sorted_.end());
    own_position_ = position_of(own);
}

std::size_t notice_plan::position_of(const endpoint& balancer) const
{
    const auto found =
        std::lower_bound(sorted_.begin(), sorted_.end(), balancer);
    return static_cast<std::size_t>(found - sorted_.begin());
}

/// An agent belongs to the balancers that follow its place on the circle of all
/// balancers.
bool notice_plan::notifies(const endpoint& agent) const
{
    const std::size_t place = endpoint_hash()(agent) % sorted_.size();
    const std::size_t distance =
        (own_position_ + sorted_.size() - place) % sorted_.size();
    return distance < balancers_per_agent;
}

bool notice_plan::gets_lists(const endpoint& balancer, std::size_t round) const
{
    const std::size_t distance =
        (position_of(balancer) + sorted_.size() - own_position_) %
        sorted_.size();
    const std::size_t rounds =
        (sorted_.size() + lists_per_round - 1) / lists_per_round;
    return distance % rounds == round % rounds;
}

} // namespace briarfield
