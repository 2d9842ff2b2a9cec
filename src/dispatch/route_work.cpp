#include "briarfield/dispatch/route_work.hpp"

namespace briarfield
{

void route_work::record(const std::vector<route_time>& report)
{
    for (const route_time& r : report)
    {
        if (r.service_time <= duration(0))
            continue; // 0 stands for an unknown time.
        if (entries_.size() >= capacity && entries_.count(r.destination) == 0)
            remove_expired();
        if (entries_.size() >= capacity && entries_.count(r.destination) == 0)
            continue;
        entry& e = entries_[r.destination];
        const auto time = static_cast<double>(r.service_time.count());
        e.mean =
            current(e) && e.mean > 0 ? e.mean + weight * (time - e.mean) : time;
        e.last = clock_->now();
    }
}

void route_work::remove_expired()
{
    for (auto i = entries_.begin(); i != entries_.end();)
        i = current(i->second) ? std::next(i) : entries_.erase(i);
}

double route_work::of(const endpoint& destination) const
{
    const auto found = entries_.find(destination);
    return found != entries_.end() && current(found->second)
               ? found->second.mean
               : 0;
}

std::vector<endpoint> route_work::destinations() const
{
    std::vector<endpoint> all;
    for (const auto& [destination, e] : entries_)
        if (current(e))
            all.push_back(destination);
    return all;
}

} // namespace briarfield
