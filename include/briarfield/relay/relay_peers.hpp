#ifndef BRIARFIELD_RELAY_RELAY_PEERS_HPP
#define BRIARFIELD_RELAY_RELAY_PEERS_HPP

#include "briarfield/core/clock.hpp"
#include "briarfield/core/endpoint.hpp"

#include <chrono>
#include <map>
#include <vector>

namespace briarfield
{

/// \brief The balancers that a process has discovered, by relay address.
///
/// Seeds come from the settings and are never removed. Other balancers are
/// added when they send a notice, are reported by a peer or have a record in
/// the store, and removed when they time out.
class relay_peers
{
public:
    /// \brief A balancer other than a seed is removed after this time without a
    /// notice.
    static constexpr duration peer_timeout = std::chrono::seconds(12);

    explicit relay_peers(const clock& c) : clock_(&c) {}

    void add_seed(const endpoint& relay);

    /// \brief Records a notice received from a balancer.
    ///
    /// \returns whether it is the first one of the balancer, or the first one
    /// since it timed out, left or restarted.
    bool on_notice(const endpoint& relay, std::uint64_t incarnation);

    /// \brief Records a balancer that a peer reported; true if it is new.
    bool on_peer_reported(const endpoint& relay);

    /// \brief Records a leave message: the balancer is no longer alive, but
    /// stays an address to send to until it times out, since it may restart.
    void on_leave(const endpoint& relay);

    /// \brief All balancers to send messages to: the seeds, and those that sent
    /// a notice or were reported within \ref peer_timeout.
    std::vector<endpoint> recipients();

    /// \brief The balancers that sent a notice within \ref peer_timeout, and
    /// have not left.
    std::vector<endpoint> alive();

    /// \brief Those that sent a notice within \a limit, and have not left.
    std::vector<endpoint> heard_within(duration limit);

private:
    struct peer
    {
        time_point last_notice{};
        time_point last_report{}; ///< Last notice, or last report by a peer.
        std::uint64_t incarnation = 0;
        bool seed = false;
        bool alive = false;
    };

    void remove_expired();

    const clock* clock_;
    std::map<endpoint, peer> peers_;
};

} // namespace briarfield

#endif
