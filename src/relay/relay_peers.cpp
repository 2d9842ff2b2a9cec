#include "briarfield/relay/relay_peers.hpp"

namespace briarfield
{

void relay_peers::add_seed(const endpoint& relay)
{
    peers_[relay].seed = true;
}

bool relay_peers::heard(const endpoint& relay, std::uint64_t incarnation)
{
    peer& p = peers_[relay];
    const bool fresh = !p.ever_heard || p.incarnation != incarnation;
    p.incarnation = incarnation;
    p.ever_heard = true;
    p.last = clock_->now();
    return fresh;
}

bool relay_peers::introduced(const endpoint& relay)
{
    if (peers_.count(relay) != 0)
        return false;
    peers_[relay].last = clock_->now();
    return true;
}

void relay_peers::left(const endpoint& relay)
{
    const auto found = peers_.find(relay);
    if (found == peers_.end())
        return;
    found->second.ever_heard = false;
    if (!found->second.seed)
        peers_.erase(found);
}

std::vector<endpoint> relay_peers::contacts()
{
    forget_old();
    std::vector<endpoint> all;
    for (const auto& [relay, p] : peers_)
        all.push_back(relay);
    return all;
}

std::vector<endpoint> relay_peers::alive()
{
    forget_old();
    std::vector<endpoint> all;
    for (const auto& [relay, p] : peers_)
        if (p.ever_heard)
            all.push_back(relay);
    return all;
}

void relay_peers::forget_old()
{
    const time_point now = clock_->now();
    for (auto i = peers_.begin(); i != peers_.end();)
    {
        const bool old = now - i->second.last > forget_after;
        if (old)
            i->second.ever_heard = false;
        i = old && !i->second.seed ? peers_.erase(i) : std::next(i);
    }
}

} // namespace briarfield
