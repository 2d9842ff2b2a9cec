#include "briarfield/dispatch/route_table.hpp"

namespace briarfield
{

namespace
{

route_table::entry make_entry(const dispatch_route& route)
{
    route_table::entry e;
    for (const service_share& s : route.shares)
    {
        e.targets.push_back({make_service_tag(s.service), s.weight});
        e.total_weight += s.weight;
    }
    return e;
}

} // namespace

const route_table::target* route_table::entry::pick(std::uint64_t h) const
{
    if (total_weight == 0)
        return nullptr;
    std::uint64_t left = h % total_weight;
    for (const target& t : targets)
    {
        if (left < t.weight)
            return &t;
        left -= t.weight;
    }
    return nullptr;
}

bool route_table::take(const route_set& routes)
{
    if (routes.version <= version_)
        return false;
    std::unordered_map<endpoint, entry, endpoint_hash> fresh;
    for (const dispatch_route& r : routes.routes)
        fresh.emplace(r.address, make_entry(r));
    for (const auto& [address, old] : entries_)
        if (fresh.count(address) == 0)
            removed_.insert(address);
    for (const auto& [address, e] : fresh)
        removed_.erase(address);
    entries_ = std::move(fresh);
    version_ = routes.version;
    return true;
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
