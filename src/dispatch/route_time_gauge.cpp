#include "briarfield/dispatch/route_time_gauge.hpp"

#include <algorithm>

namespace briarfield
{

void route_time_gauge::record(const endpoint& destination, duration time)
{
    entry& e = entry_of(destination);
    e.mean.record(time);
    e.last = clock_->now();
}

route_time_gauge::entry& route_time_gauge::entry_of(const endpoint& destination)
{
    const auto found = std::find_if(entries_.begin(), entries_.end(),
                                    [&destination](const entry& e)
                                    { return e.destination == destination; });
    if (found != entries_.end())
        return *found;
    if (entries_.size() < capacity)
    {
        entries_.push_back({destination, {}, {}});
        return entries_.back();
    }
    entry& oldest = *std::min_element(entries_.begin(), entries_.end(),
                                      [](const entry& a, const entry& b)
                                      { return a.last < b.last; });
    oldest = {destination, {}, {}};
    return oldest;
}

std::vector<route_time> route_time_gauge::report()
{
    const time_point now = clock_->now();
    if (entries_.size() < 2 || now - last_report_ < report_interval)
        return {};
    last_report_ = now;
    std::vector<route_time> all;
    for (const entry& e : entries_)
        all.push_back({e.destination,
                       duration(static_cast<duration::rep>(e.mean.value()))});
    return all;
}

} // namespace briarfield
