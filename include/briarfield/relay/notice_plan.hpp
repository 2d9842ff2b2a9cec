#ifndef BRIARFIELD_RELAY_NOTICE_PLAN_HPP
#define BRIARFIELD_RELAY_NOTICE_PLAN_HPP

#include "briarfield/core/endpoint.hpp"

#include <cstddef>
#include <vector>

namespace briarfield
{

/// \brief Chooses who gets which notice of a balancer, so that what it sends
/// grows with the number of balancers and agents, and not with their product.
///
/// Every balancer calculates the same plan from the balancers that it hears
/// from. Plans that differ for a moment cost a missing or a double notice.
class notice_plan
{
public:
    /// \brief Balancers that send notices to one agent: more than usually fail
    /// at the same time.
    static constexpr std::size_t balancers_per_agent = 4;

    /// \brief Balancers that get the lists of addresses with one round of
    /// notices; the others get a notice without lists.
    static constexpr std::size_t lists_per_round = 4;

    /// \param others The other balancers, in any order.
    notice_plan(const endpoint& own, const std::vector<endpoint>& others);

    /// \brief Whether this balancer sends its notices to \a agent.
    bool notifies(const endpoint& agent) const;

    /// \brief Whether \a balancer gets the lists in round number \a round.
    ///
    /// Each balancer gets them every few rounds; in each round, each balancer
    /// gets those of \ref lists_per_round others.
    bool gets_lists(const endpoint& balancer, std::size_t round) const;

private:
    std::size_t position_of(const endpoint& balancer) const;

    std::vector<endpoint> sorted_; ///< All balancers, with this one.
    std::size_t own_position_ = 0;
};

} // namespace briarfield

#endif
