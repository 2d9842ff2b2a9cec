#include "briarfield/dispatch/route_table.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <set>

namespace briarfield
{

namespace
{

route_table::entry make_entry(const dispatch_route& route)
{
    route_table::entry built;
    built.aim = route.aim;
    built.priority = route.priority;
    for (const service_share& s : route.shares)
    {
        built.targets.push_back({make_service_tag(s.service), s.weight});
        built.total_weight += s.weight;
    }
    return built;
}

/// Sets the level of each entry and returns the number of levels.
unsigned set_priority_levels(
    std::unordered_map<endpoint, route_table::entry, endpoint_hash>& entries)
{
    std::set<std::uint8_t, std::greater<>> priorities;
    for (const auto& [address, e] : entries)
        priorities.insert(e.priority);
    for (auto& [address, e] : entries)
        e.priority_level = static_cast<unsigned>(
            std::distance(priorities.begin(), priorities.find(e.priority)));
    return static_cast<unsigned>(priorities.size());
}

} // namespace

const route_table::target* route_table::entry::pick(std::uint64_t hash) const
{
    if (total_weight == 0)
        return nullptr;
    std::uint64_t remaining = hash % total_weight;
    for (const target& t : targets)
    {
        if (remaining < t.weight)
            return &t;
        remaining -= t.weight;
    }
    return nullptr;
}

bool route_table::entry::allows(service_tag service) const
{
    return std::any_of(targets.begin(), targets.end(),
                       [service](const target& t)
                       { return t.service == service && t.weight > 0; });
}

bool route_table::apply(const route_set& routes)
{
    if (routes.version <= version_)
        return false;
    std::unordered_map<endpoint, entry, endpoint_hash> new_entries;
    for (const dispatch_route& r : routes.routes)
        new_entries.emplace(r.address, make_entry(r));
    for (const auto& [address, old_entry] : entries_)
        if (new_entries.count(address) == 0)
            removed_.insert(address);
    for (const auto& [address, new_entry] : new_entries)
        removed_.erase(address);
    priority_levels_ = set_priority_levels(new_entries);
    entries_ = std::move(new_entries);
    warmup_limits_ = routes.warmup_limits;
    version_ = routes.version;
    return true;
}

warmup_limit route_table::limit_of(const std::string& service) const
{
    const auto found = std::find_if(
        warmup_limits_.begin(), warmup_limits_.end(),
        [&service](const warmup_limit& l) { return l.service == service; });
    warmup_limit none;
    none.service = service;
    return found == warmup_limits_.end() ? none : *found;
}

const route_table::entry* route_table::find(const endpoint& address) const
{
    const auto found = entries_.find(address);
    return found == entries_.end() ? nullptr : &found->second;
}

route_status route_table::status(const endpoint& address) const
{
    if (entries_.count(address) != 0)
        return route_status::in_force;
    return removed_.count(address) != 0 ? route_status::removed
                                        : route_status::unknown;
}

} // namespace briarfield
