#include "briarfield/dispatch/flow_locator.hpp"

namespace briarfield
{

flow_location* flow_locator::find(const flow_key& key)
{
    const auto found = flows_.find(key);
    return found == flows_.end() ? nullptr : &found->second;
}

flow_location& flow_locator::insert(const flow_key& key, time_point now)
{
    // A full cache evicts an arbitrary flow; a search finds it again.
    if (flows_.size() >= capacity)
        flows_.erase(flows_.begin());
    flow_location& location = flows_[key];
    location.last_packet = now;
    return location;
}

void flow_locator::expire(time_point now, duration idle_timeout)
{
    for (auto i = flows_.begin(); i != flows_.end();)
        i = now - i->second.last_packet > idle_timeout ? flows_.erase(i)
                                                       : std::next(i);
}

} // namespace briarfield
