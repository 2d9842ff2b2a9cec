#include "briarfield/relay/relay_peers.hpp"

namespace briarfield
{

void relay_peers::add_seed(const endpoint& relay)
{
    peers_[relay].seed = true;
}

bool relay_peers::on_notice(const endpoint& relay, std::uint64_t incarnation)
{
    peer& p = peers_[relay];
    const bool is_new = !p.alive || p.incarnation != incarnation;
    p.incarnation = incarnation;
    p.alive = true;
    p.last_update = clock_->now();
    return is_new;
}

bool relay_peers::on_peer_reported(const endpoint& relay)
{
    if (peers_.count(relay) != 0)
        return false;
    peers_[relay].last_update = clock_->now();
    return true;
}

void relay_peers::on_leave(const endpoint& relay)
{
    const auto found = peers_.find(relay);
    if (found != peers_.end())
        found->second.alive = false;
}

std::vector<endpoint> relay_peers::recipients()
{
    remove_expired();
    std::vector<endpoint> all;
    for (const auto& [relay, p] : peers_)
        all.push_back(relay);
    return all;
}

std::vector<endpoint> relay_peers::alive()
{
    remove_expired();
    std::vector<endpoint> all;
    for (const auto& [relay, p] : peers_)
        if (p.alive)
            all.push_back(relay);
    return all;
}

void relay_peers::remove_expired()
{
    const time_point now = clock_->now();
    for (auto i = peers_.begin(); i != peers_.end();)
    {
        const bool expired = now - i->second.last_update > peer_timeout;
        if (expired)
            i->second.alive = false;
        i = expired && !i->second.seed ? peers_.erase(i) : std::next(i);
    }
}

} // namespace briarfield
