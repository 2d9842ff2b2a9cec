#include "briarfield/control/announcer.hpp"

#include <algorithm>

namespace briarfield
{

void announcer::announce_to(const endpoint& address)
{
    ++own_.sequence;
    send_times_[own_.sequence % send_times_.size()] = clock_->now();
    if (fill)
        fill(own_);
    send(address, own_);
}

void announcer::announce_to_all()
{
    for (const endpoint& address : targets())
        announce_to(address);
}

void announcer::announce_to_next()
{
    const std::vector<endpoint>& addresses = targets();
    if (!addresses.empty())
        announce_to(addresses[next_observer_++ % addresses.size()]);
    // If no observer answers, all of them may have failed: try a seed too.
    const bool observers_unresponsive = unanswered_ > observers_.size();
    if (observers_unresponsive && !observers_.empty() && !seeds_.empty())
        announce_to(seeds_[next_seed_++ % seeds_.size()]);
}

void announcer::poll()
{
    const time_point now = clock_->now();
    if (now < next_announcement_)
        return;
    ++unanswered_;
    if (granted_)
        announce_to_next();
    else
        announce_to_all();
    next_announcement_ = now + options_.retry_interval;
}

void announcer::set_state(serving_state state)
{
    own_.state = state;
    ++unanswered_;
    announce_to_all();
    next_announcement_ = clock_->now() + options_.retry_interval;
}

bool announcer::on_grant(const service_grant& grant)
{
    if (grant.instance != own_.instance)
        return false;
    if (grant.incarnation > own_.incarnation)
    {
        // An earlier process of this instance had a higher incarnation, for
        // example because the clock was ahead then.
        own_.incarnation = grant.incarnation + 1;
        announce_to_all();
        return false;
    }
    const bool matches =
        grant.incarnation == own_.incarnation &&
        grant.sequence <= own_.sequence &&
        own_.sequence - grant.sequence < send_times_.size() &&
        grant.service == make_service_id(own_.team, own_.service);
    if (!matches || grant.addresses.empty())
        return false;
    const time_point now = clock_->now();
    unanswered_ = 0;
    const time_point announced_at =
        send_times_[grant.sequence % send_times_.size()];
    granted_at_ = granted_ ? std::max(granted_at_, announced_at) : announced_at;
    granted_ = true;
    next_announcement_ = now + options_.interval;
    if (grant.observers.empty() || grant.observers == observers_)
        return true;
    observers_ = grant.observers;
    announce_to_all();
    return true;
}

} // namespace briarfield
