#include "briarfield/dispatch/evacuation_set.hpp"

#include <algorithm>
#include <tuple>

namespace briarfield
{

namespace
{

bool is_newer(const evacuated_zones& a, const evacuated_zones& b)
{
    return std::tie(a.era, a.revision) > std::tie(b.era, b.revision);
}

bool lists(const evacuated_zones& all, const std::string& zone)
{
    return std::find(all.zones.begin(), all.zones.end(), zone) !=
           all.zones.end();
}

} // namespace

bool evacuation_set::apply(evacuated_zones zones)
{
    if (known_ && !is_newer(zones, current_))
        return false;
    known_ = true;
    std::swap(current_, zones);
    const evacuated_zones& previous = zones;
    if (!on_change)
        return true;
    for (const std::string& zone : current_.zones)
        if (!lists(previous, zone))
            on_change(zone, true);
    for (const std::string& zone : previous.zones)
        if (!lists(current_, zone))
            on_change(zone, false);
    return true;
}

bool evacuation_set::contains(const std::string& zone) const
{
    return lists(current_, zone);
}

} // namespace briarfield
