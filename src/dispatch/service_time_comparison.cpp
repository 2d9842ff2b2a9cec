#include "briarfield/dispatch/service_time_comparison.hpp"

#include <algorithm>

namespace briarfield
{

namespace
{

double time_of(const agent_directory::record& record)
{
    return static_cast<double>(record.status.service_time.count());
}

} // namespace

bool service_time_comparison::counts(const agent_directory::record& record)
{
    return record.status.service_time > duration(0) &&
           record.status.warmup_ms == 0 &&
           record.status.requests_in_progress >= idle_requests;
}

void service_time_comparison::add(const agent_directory::record& record)
{
    requests_ += record.status.requests_in_progress;
    slots_ += std::max(1U, record.status.slots);
    if (!counts(record))
        return;
    const double time = time_of(record);
    shortest_ = count_ > 0 ? std::min(shortest_, time) : time;
    longest_ = std::max(longest_, time);
    sum_ += time;
    ++count_;
}

bool service_time_comparison::unequal() const
{
    return requests_ >= min_load * slots_ &&
           longest_ > unequal_ratio * shortest_;
}

double
service_time_comparison::relative(const agent_directory::record& record) const
{
    return unequal() && counts(record) ? time_of(record) * count_ / sum_ : 1;
}

} // namespace briarfield
