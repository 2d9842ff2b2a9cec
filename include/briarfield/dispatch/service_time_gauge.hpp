#ifndef BRIARFIELD_DISPATCH_SERVICE_TIME_GAUGE_HPP
#define BRIARFIELD_DISPATCH_SERVICE_TIME_GAUGE_HPP

#include "briarfield/core/clock.hpp"

#include <chrono>

namespace briarfield
{

/// \brief Exponentially weighted mean of the time in which a server answers a
/// request that need not wait for others.
class service_time_gauge
{
public:
    /// \brief Weight of a new observation.
    static constexpr double weight = 1.0 / 16;

    /// \brief Records a request that found a free slot and took \a time.
    void record(duration time)
    {
        const duration change =
            std::chrono::duration_cast<duration>(weight * (time - mean_));
        mean_ = mean_ == duration(0) ? time : mean_ + change;
    }

    /// \brief The mean; 0 before the first request.
    duration mean() const { return mean_; }

private:
    duration mean_{};
};

} // namespace briarfield

#endif
