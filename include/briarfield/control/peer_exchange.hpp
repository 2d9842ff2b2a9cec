#ifndef BRIARFIELD_CONTROL_PEER_EXCHANGE_HPP
#define BRIARFIELD_CONTROL_PEER_EXCHANGE_HPP

#include "briarfield/control/announcement.hpp"
#include "briarfield/control/membership.hpp"
#include "briarfield/core/clock.hpp"
#include "briarfield/core/counter_set.hpp"
#include "briarfield/core/random.hpp"

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace briarfield
{

/// \brief Events of the exchange with peers; each has a counter.
enum class peer_exchange_event : std::uint8_t
{
    sent,
    received,
    equal, ///< The hash of a section matched, so nothing was sent.
    delta_sent,
    delta_taken, ///< A delta of a peer was merged.
    malformed,   ///< The delta of a section could not be decoded.
    count_
};

/// \brief Label of \a event in metrics.
std::string_view peer_exchange_event_name(peer_exchange_event event) noexcept;

/// \brief Push-pull gossip that synchronizes the sections of all balancers.
///
/// Does no I/O. Every message is a heartbeat of its sender. A hello message
/// carries the hash of each section's digest. Where the hashes differ, the two
/// balancers exchange digests, then finer digests of the groups that differ,
/// and deltas in both directions.
class peer_exchange
{
public:
    struct options
    {
        /// Interval between hello messages.
        duration interval = std::chrono::milliseconds(500);
        std::size_t delta_limit = 1300;   ///< Bytes per section.
        std::size_t detail_limit = 400;   ///< Bytes per section.
        std::size_t message_limit = 1800; ///< Bytes, before framing.
        std::size_t random_peers = 1; ///< Per interval, besides the observers.
        std::size_t push_fanout = 3;  ///< Peers notified of a change.
    };

    peer_exchange(membership& members,
                  const clock& c,
                  random_source random,
                  options opts)
        : members_(&members), clock_(&c), random_(random), options_(opts)
    {
    }

    /// \brief Adds a section, which must outlive this object.
    void add(sync_section& section) { sections_.push_back(&section); }

    /// \brief Sets endpoints that get hello messages while no live member has
    /// their address.
    void set_seeds(std::vector<endpoint> seeds) { seeds_ = std::move(seeds); }

    /// \brief Sends the periodic hello messages; call it often.
    void poll();

    /// \brief Sends a hello message with the hashes of all sections to \a to.
    void send_hello(const endpoint& to);

    /// \brief Sends hello messages to a few random peers immediately, after a
    /// section has changed.
    void push();

    /// \brief Processes a message received from \a from and replies to it.
    void on_message(const peer_message& message, const endpoint& from);

    /// \brief Whether each section has been equal to a peer's since the start
    /// or the last \ref reset_agreement.
    bool agreed_once() const { return agreed_.size() == sections_.size(); }

    /// \brief Makes \ref agreed_once false until the sections are equal again.
    void reset_agreement() { agreed_.clear(); }

    const counter_set<peer_exchange_event>& counters() const
    {
        return counters_;
    }

    /// \brief Sends a message to a balancer.
    std::function<void(const endpoint&, const peer_message&)> send;

private:
    peer_message make_message();
    void reply(std::vector<section_message> sections,
               std::uint8_t round,
               const endpoint& to);
    section_message answer_section(sync_section& section,
                                   const section_message& theirs,
                                   std::uint8_t round,
                                   bool& progressed);
    std::vector<endpoint> choose_random_peers(std::size_t count);

    membership* members_;
    const clock* clock_;
    random_source random_;
    options options_;
    std::vector<sync_section*> sections_;
    std::vector<endpoint> seeds_;
    time_point next_send_;
    std::uint64_t sequence_ = 0;
    std::set<std::string> agreed_; ///< Sections that were equal to a peer's.
    counter_set<peer_exchange_event> counters_;
};

} // namespace briarfield

#endif
