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
    p.last_notice = clock_->now();
    p.last_report = p.last_notice;
    return is_new;
}

bool relay_peers::on_peer_reported(const endpoint& relay)
{
    const bool is_new = peers_.count(relay) == 0;
    peers_[relay].last_report = clock_->now();
    return is_new;
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
    return heard_within(peer_timeout);
}

std::vector<endpoint> relay_peers::heard_within(duration limit)
{
    remove_expired();
    const time_point now = clock_->now();
    std::vector<endpoint> all;
    for (const auto& [relay, p] : peers_)
        if (p.alive && now - p.last_notice <= limit)
            all.push_back(relay);
    return all;
}

void relay_peers::remove_expired()
{
    const time_point now = clock_->now();
    for (auto i = peers_.begin(); i != peers_.end();)
    {
        peer& p = i->second;
        p.alive = p.alive && now - p.last_notice <= peer_timeout;
        const bool expired = now - p.last_report > peer_timeout;
        i = expired && !p.seed ? peers_.erase(i) : std::next(i);
    }
}

} // namespace briarfield
