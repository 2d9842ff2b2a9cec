#ifndef BRIARFIELD_DISPATCH_ADMISSION_POLICY_HPP
#define BRIARFIELD_DISPATCH_ADMISSION_POLICY_HPP

#include "briarfield/core/clock.hpp"

#include <cstdint>
#include <functional>

namespace briarfield
{

/// \brief What to do with an opening.
enum class admission : std::uint8_t
{
    place, ///< A server may take it that is not overloaded.
    force, ///< An overloaded server has to take it.
    reject ///< The caller does better to try again than to wait.
};

/// \brief An opening, and the server that is expected to answer it first.
struct admission_request
{
    /// Every server that may take the opening is overloaded.
    bool overloaded = false;
    /// The opening is no retransmission, so that no server has taken it; or the
    /// balancer has just started, and drops it instead of resetting it.
    bool may_reject = false;
    /// The routes in force have different priorities.
    bool priorities_differ = false;
    /// Work by priority: 0 for the cheapest route, 1 for the most expensive
    /// one. See \ref admission_costs.
    double cost = 0;
    duration aim{};      ///< Of the route; 0: none.
    duration expected{}; ///< Time until an answer; 0: unknown.
    /// Hash of the flow; the same for each copy of its opening.
    std::uint64_t flow_hash = 0;
};

/// \brief Decides on one opening. Pure function.
using admission_policy = std::function<admission(const admission_request&)>;

/// \brief Limits of \ref admit_by_priority.
struct admission_limits
{
    /// Part of the aim that the expected time to an answer may take for the
    /// cheapest route. The rest covers requests that take longer than the mean.
    double aim_fraction = 2.0 / 3;
    /// The same for the most expensive route. The places in queues between the
    /// two are kept for cheaper requests.
    double expensive_aim_fraction = 1.0 / 6;
    /// Part of the openings that are treated as those of the cheapest route
    /// whatever they cost, so that no route is without service.
    double guaranteed_share = 1.0 / 8;
};

/// \brief Forces an opening on an overloaded server if the server is expected
/// to answer within \a aim_fraction of the route's aim; the same for all
/// routes.
admission_policy admit_by_aim(double aim_fraction);

/// \brief The same with a lower limit the more a request costs. Equal to \ref
/// admit_by_aim if all routes have the same priority.
admission_policy admit_by_priority(const admission_limits& limits);

} // namespace briarfield

#endif
