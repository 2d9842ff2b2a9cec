#ifndef BRIARFIELD_DISPATCH_OPENING_POLICY_HPP
#define BRIARFIELD_DISPATCH_OPENING_POLICY_HPP

#include "briarfield/dispatch/evacuation_set.hpp"
#include "briarfield/dispatch/server_registration.hpp"
#include "briarfield/dispatch/warmup_limiter.hpp"

#include <functional>
#include <optional>
#include <string>

namespace briarfield
{

/// \brief Whether an agent may deliver an opening to its server, by what
/// operators have ordered.
enum class opening_permission : std::uint8_t
{
    granted,
    /// The agent's zone is evacuated, or the agent does not know yet whether
    /// it is.
    evacuated,
    warming ///< The server warms up and has taken as many as it may.
};

/// \brief Decides at an agent which openings its server may get: none while the
/// zone is evacuated, and a limited number while the server warms up.
///
/// The agent sees all openings of its server, so outdated records of balancers
/// do no harm.
class opening_policy
{
public:
    /// \brief What is enabled; see docs/design/evacuation.md.
    struct options
    {
        std::string zone; ///< Availability zone of the agent.
        bool follows_evacuations = false;
        warmup_limiter::options warmup;
    };

    /// \a server must outlive the policy.
    opening_policy(const clock& c,
                   options opts,
                   const server_registration& server);

    /// \brief Applies the evacuated zones in a balancer's notice. A balancer
    /// that has not read them sends revision 0; this has no effect.
    void apply_evacuations(const evacuated_zones& zones);

    /// \brief Applies the limit of the server's service in a notice.
    void apply_limit(std::uint64_t config_version, const warmup_limit& limit);

    /// \brief Whether an opening may be delivered now.
    opening_permission permission() const;

    /// \brief Records an opening that is delivered to the server.
    void record_opening() { limiter_.record_opening(); }

    /// \brief Records that the server may have restarted: it counts as cold
    /// until its next heartbeat.
    void record_possible_restart() { cold_since_ = clock_->now(); }

    /// \brief Whether the server may get no opening because its zone is
    /// evacuated, or may be.
    bool drains() const;

    /// \brief Whether the evacuated zones have not been received from a
    /// balancer yet, so that no opening is taken.
    bool awaits_evacuations() const;

    /// \brief Whether the server warms up, or may.
    bool cold() const;

    /// \brief Value of agent_status::opening_room.
    std::uint16_t opening_room() const;

    /// \brief Called when \ref drains has changed, and with it the state that
    /// balancers need to know.
    std::function<void(bool drains)> on_change;

private:
    const clock* clock_;
    options options_;
    const server_registration* server_;
    evacuation_set evacuations_;
    warmup_limiter limiter_;
    /// Heartbeats received until then do not tell whether the server is cold.
    std::optional<time_point> cold_since_;
};

} // namespace briarfield

#endif
