#ifndef BRIARFIELD_DISPATCH_LOAD_GAUGE_HPP
#define BRIARFIELD_DISPATCH_LOAD_GAUGE_HPP

#include "briarfield/core/clock.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace briarfield
{

/// \brief Exponentially weighted mean of the requests in progress.
class load_gauge
{
public:
    /// \brief Time after which the weight of an observation has fallen to 1/e.
    static constexpr duration time_constant = std::chrono::milliseconds(600);

    explicit load_gauge(const clock& c) : clock_(&c), last_update_(c.now()) {}

    void begin_request()
    {
        update();
        ++in_progress_;
    }

    void end_request()
    {
        update();
        in_progress_ = std::max(0, in_progress_ - 1);
    }

    /// \brief Requests in progress now.
    int in_progress() const { return in_progress_; }

    /// \brief Weighted mean up to now.
    double mean()
    {
        update();
        return mean_;
    }

private:
    void update()
    {
        const time_point now = clock_->now();
        const double passed =
            std::chrono::duration<double>(now - last_update_) /
            std::chrono::duration<double>(time_constant);
        mean_ = in_progress_ + (mean_ - in_progress_) * std::exp(-passed);
        last_update_ = now;
    }

    const clock* clock_;
    time_point last_update_;
    int in_progress_ = 0;
    double mean_ = 0;
};

} // namespace briarfield

#endif
