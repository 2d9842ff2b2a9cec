#include "briarfield/dispatch/admission_policy.hpp"

namespace briarfield
{

namespace
{

admission decide(const admission_request& r, double aim_fraction)
{
    if (!r.overloaded)
        return admission::place;
    const bool misses_aim =
        r.aim > duration(0) && r.expected > aim_fraction * r.aim;
    return r.may_reject && misses_aim ? admission::reject : admission::force;
}

/// Whether the opening is in the guaranteed share. The hash of the flow
/// decides, so balancers need no shared state, and each retry of a caller, from
/// another port, draws anew.
bool guaranteed(const admission_request& r, double share)
{
    constexpr double hashes = 0x1.0p32;
    return static_cast<double>(r.flow_hash >> 32U) < share * hashes;
}

} // namespace

admission_policy admit_by_aim(double aim_fraction)
{
    return [aim_fraction](const admission_request& r)
    { return decide(r, aim_fraction); };
}

admission_policy admit_by_priority(const admission_limits& limits)
{
    return [limits](const admission_request& r)
    {
        const bool equal =
            !r.priorities_differ || guaranteed(r, limits.guaranteed_share);
        const double cost = equal ? 0 : r.cost;
        return decide(r, limits.aim_fraction -
                             cost * (limits.aim_fraction -
                                     limits.expensive_aim_fraction));
    };
}

} // namespace briarfield
