#include "briarfield/dispatch/admission_costs.hpp"

#include <algorithm>
#include <cmath>

namespace briarfield
{

double admission_costs::cost(double work, unsigned level) const
{
    return work / std::pow(weight_ratio, level);
}

double admission_costs::relative(const endpoint& address,
                                 const route_table::entry& route)
{
    const bool outdated = version_ != routes_->version() ||
                          clock_->now() - refreshed_ >= refresh_interval;
    if (outdated)
        refresh();
    const double work = work_->of(address);
    const double own = cost(work > 0 ? work : mean_work_, route.priority_level);
    const double range = std::max(highest_ - lowest_, lowest_);
    return std::clamp((own - lowest_) / range, 0.0, 1.0);
}

/// While no work is known, the priorities alone decide.
void admission_costs::refresh()
{
    refreshed_ = clock_->now();
    version_ = routes_->version();
    lowest_ = 0;
    highest_ = 0;
    double sum = 0;
    std::size_t measured = 0;
    for (const endpoint& destination : work_->destinations())
    {
        const route_table::entry* route = routes_->find(destination);
        if (route == nullptr)
            continue;
        const double work = work_->of(destination);
        sum += work;
        ++measured;
        add(cost(work, route->priority_level));
    }
    mean_work_ = measured > 0 ? sum / static_cast<double>(measured) : 1;
    if (measured > 0)
        return;
    add(cost(1, 0));
    add(cost(1, routes_->priority_levels() - 1));
}

void admission_costs::add(double cost)
{
    lowest_ = lowest_ > 0 ? std::min(lowest_, cost) : cost;
    highest_ = std::max(highest_, cost);
}

} // namespace briarfield
