#ifndef BRIARFIELD_CONTROL_ANNOUNCER_HPP
#define BRIARFIELD_CONTROL_ANNOUNCER_HPP

#include "briarfield/control/announcement.hpp"
#include "briarfield/core/clock.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <vector>

namespace briarfield
{

/// \brief The agent's part in discovery; does no I/O.
///
/// Announces the agent to the observers of its service in round-robin order,
/// after a shorter interval if an announcement is not answered, and to all of
/// them when the agent's state changes. Grants carry the addresses of the
/// observers; until the first grant, announcements go to the seeds from the
/// settings, which are also tried while no observer answers. When \ref
/// options::lease has passed without a grant, the agent must not accept new
/// flows, since balancers may soon mark it as dead.
class announcer
{
public:
    struct options
    {
        /// Interval from a grant to the next announcement.
        duration interval = std::chrono::milliseconds(500);
        /// Interval to the next announcement while no grant arrives.
        duration retry_interval = std::chrono::milliseconds(150);
        /// How long a grant is valid, from the sending of its announcement.
        duration lease = std::chrono::milliseconds(2000);
    };

    announcer(announcement own,
              std::vector<endpoint> seeds,
              const clock& c,
              options opts)
        : own_(std::move(own)), seeds_(std::move(seeds)), clock_(&c),
          options_(opts)
    {
    }
    announcer(announcement own, std::vector<endpoint> seeds, const clock& c)
        : announcer(std::move(own), std::move(seeds), c, options())
    {
    }

    /// \brief Sends announcements whose time has come; call it often.
    void poll();

    /// \brief Changes the state and announces it to all observers immediately.
    void set_state(serving_state state);

    /// \brief Processes a grant.
    ///
    /// Returns whether it was accepted: it must answer a recent announcement
    /// of this process and list addresses to serve.
    bool on_grant(const service_grant& grant);

    /// \brief Whether the lease is valid, so that new flows may be accepted.
    bool leased() const
    {
        return granted_ && clock_->now() - granted_at_ < options_.lease;
    }

    /// \brief Whether a grant has been received since the start.
    bool granted() const { return granted_; }

    /// \brief The announcement of this agent as last sent or changed.
    const announcement& own() const { return own_; }

    /// \brief Sends an announcement to a balancer.
    std::function<void(const endpoint&, const announcement&)> send;

    /// \brief Updates the variable fields of an announcement before it is sent.
    std::function<void(announcement&)> fill;

private:
    const std::vector<endpoint>& targets() const
    {
        return observers_.empty() ? seeds_ : observers_;
    }
    void announce_to(const endpoint& address);
    void announce_to_all();
    void announce_to_next();

    announcement own_;
    std::vector<endpoint> seeds_;
    std::vector<endpoint> observers_;
    const clock* clock_;
    options options_;
    time_point next_announcement_;
    time_point granted_at_; ///< When the granted announcement was sent.
    std::array<time_point, 32> send_times_{}; ///< By sequence modulo size.
    std::size_t next_observer_ = 0;
    std::size_t next_seed_ = 0;
    std::size_t unanswered_ = 0; ///< Announcements since the last grant.
    bool granted_ = false;
};

} // namespace briarfield

#endif
