#ifndef BRIARFIELD_DISPATCH_FLOW_COMPLETENESS_HPP
#define BRIARFIELD_DISPATCH_FLOW_COMPLETENESS_HPP

#include "briarfield/core/clock.hpp"

#include <chrono>
#include <cstdint>

namespace briarfield
{

/// \brief Whether an agent has a record of every flow that its server can hold.
///
/// This is the case once the agent has run for the longest life of a flow, or
/// if its server started after the agent: all of the server's flows were then
/// opened through this agent. The agent knows the latter when a heartbeat of an
/// earlier incarnation of the server has reached it. The start time that a
/// server reports is not compared with the agent's clock of day, since either
/// may have jumped.
class flow_completeness
{
public:
    /// \brief A heartbeat is received at most this long after it was sent. An
    /// earlier incarnation heard sooner after the agent's start may have
    /// stopped before it.
    static constexpr duration max_heartbeat_delay = std::chrono::seconds(2);

    flow_completeness(const clock& c, duration max_flow_age)
        : clock_(&c), max_flow_age_(max_flow_age), started_(c.now())
    {
    }

    /// \brief Records the latest heartbeat of the server, which started at
    /// \a born_ms (0: unknown) and was heard at \a received.
    void on_heartbeat(std::uint64_t born_ms, time_point received);

    /// \brief Records that a flow was not recorded since the table was full.
    void on_table_full() { table_was_full_ = true; }

    /// \brief Whether all flows are recorded.
    bool complete() const;

private:
    const clock* clock_;
    duration max_flow_age_;
    time_point started_;
    std::uint64_t born_ms_ = 0;   ///< Of the latest incarnation.
    time_point last_heartbeat_{}; ///< Of the latest incarnation.
    bool server_started_later_ = false;
    bool table_was_full_ = false;
};

} // namespace briarfield

#endif
