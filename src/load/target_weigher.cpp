#include "briarfield/load/target_weigher.hpp"

namespace briarfield
{

void target_weigher::on_announcement(service_id service,
                                     const target_load& target,
                                     time_point now)
{
    const auto at = services_.try_emplace(service, options_.policy).first;
    at->second.targets[target.instance] = {target, now};
}

double target_weigher::weight(service_id service, instance_id instance) const
{
    const auto found = services_.find(service);
    if (found == services_.end() || found->second.weights.empty())
        return 1;
    const auto& weights = found->second.weights;
    const auto entry = weights.find(instance);
    return entry != weights.end() ? entry->second
                                  : 1 / static_cast<double>(weights.size());
}

std::vector<service_id> target_weigher::step(time_point now)
{
    std::vector<service_id> changed;
    for (auto at = services_.begin(); at != services_.end();)
    {
        if (update_weights(at->second, now))
            changed.push_back(at->first);
        at = at->second.targets.empty() ? services_.erase(at) : std::next(at);
    }
    return changed;
}

bool target_weigher::update_weights(service_state& s, time_point now) const
{
    std::vector<target_load> loads;
    for (auto at = s.targets.begin(); at != s.targets.end();)
    {
        if (now - at->second.received > options_.target_timeout)
        {
            at = s.targets.erase(at);
            continue;
        }
        loads.push_back(at->second.load);
        ++at;
    }
    const std::vector<double> weights = s.policy.update(now, loads);
    std::map<instance_id, double> next;
    for (std::size_t i = 0; i < loads.size(); ++i)
        next[loads[i].instance] = weights[i];
    if (next == s.weights)
        return false;
    s.weights = std::move(next);
    return true;
}

} // namespace briarfield
