#ifndef BRIARFIELD_DISPATCH_RTT_ESTIMATOR_HPP
#define BRIARFIELD_DISPATCH_RTT_ESTIMATOR_HPP

#include "briarfield/core/clock.hpp"

#include <algorithm>
#include <chrono>

namespace briarfield
{

/// \brief Timeout for the answer of one peer, from the smoothed round-trip time
/// (RFC 6298).
class rtt_estimator
{
public:
    /// \brief Allows a process that shares its core to be scheduled.
    static constexpr duration min_timeout = std::chrono::milliseconds(60);

    /// \brief A search must end before its caller gives up, after 1.4 s.
    static constexpr duration max_timeout = std::chrono::milliseconds(480);

    /// \brief Timeout before the first measurement.
    static constexpr duration initial_timeout = std::chrono::milliseconds(100);

    /// \brief Records the round-trip time of a query that was sent once.
    void record(duration rtt)
    {
        if (!measured_)
        {
            smoothed_ = rtt;
            variation_ = rtt / 2;
            measured_ = true;
            return;
        }
        const duration difference =
            smoothed_ > rtt ? smoothed_ - rtt : rtt - smoothed_;
        variation_ += (difference - variation_) / 4;
        smoothed_ += (rtt - smoothed_) / 8;
    }

    /// \brief Timeout of the transmission number \a attempt, from 1; doubles
    /// with each.
    duration timeout(unsigned attempt) const
    {
        const duration first = measured_
                                   ? std::clamp(smoothed_ + 4 * variation_,
                                                min_timeout, max_timeout)
                                   : initial_timeout;
        const unsigned doublings = std::min(attempt - 1, 8U);
        return std::min(first * (1U << doublings), max_timeout);
    }

private:
    duration smoothed_{};
    duration variation_{};
    bool measured_ = false;
};

} // namespace briarfield

#endif
