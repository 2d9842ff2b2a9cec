#ifndef BRIARFIELD_SRC_DISPATCH_FLOW_PARTS_HPP
#define BRIARFIELD_SRC_DISPATCH_FLOW_PARTS_HPP

#include "briarfield/dispatch/flow_locator.hpp"

#include <algorithm>
#include <vector>

// Shared by the two sources of flow_dispatcher: placement and search.
namespace briarfield
{

/// Whether \a all contains \a i.
inline bool contains(const std::vector<agent_index>& all, agent_index i)
{
    return std::find(all.begin(), all.end(), i) != all.end();
}

/// Adds \a i to the agents not to be tried again, unless it is there.
inline void add_tried(flow_location& location, agent_index i)
{
    if (i != no_agent && !contains(location.tried, i))
        location.tried.push_back(i);
}

/// Allows the agents in \a to_remove to be tried again.
inline void remove_tried(flow_location& location,
                         const std::vector<agent_index>& to_remove)
{
    const auto is_one = [&to_remove](agent_index i)
    { return contains(to_remove, i); };
    location.tried.erase(
        std::remove_if(location.tried.begin(), location.tried.end(), is_one),
        location.tried.end());
}

/// Hash by which a flow ranks servers; identical on all balancers.
inline std::uint64_t hash_of(const flow_key& key)
{
    return flow_key_hash()(key);
}

/// Address and port of the service that the flow is for.
inline endpoint destination_of(const flow_key& key)
{
    return {key.destination, key.destination_port};
}

} // namespace briarfield

#endif
