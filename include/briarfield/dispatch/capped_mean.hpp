#ifndef BRIARFIELD_DISPATCH_CAPPED_MEAN_HPP
#define BRIARFIELD_DISPATCH_CAPPED_MEAN_HPP

#include "briarfield/core/clock.hpp"

#include <algorithm>

namespace briarfield
{

/// \brief Mean of the times of requests: arithmetic for the first ones, then
/// exponentially weighted.
class capped_mean
{
public:
    /// \brief Weight of a request once this many were measured. With fewer, the
    /// means of 16 equal servers differ by chance by more than \ref
    /// service_time_comparison allows, if the time of a request varies as much
    /// as its mean.
    static constexpr double weight = 1.0 / 64;

    /// \brief A request counts for at most this many means, so that one long
    /// request does not make its server appear slow.
    static constexpr double max_means = 3;

    void record(duration time)
    {
        const auto took = static_cast<double>(time.count());
        const double counted =
            mean_ > 0 ? std::min(took, max_means * mean_) : took;
        count_ = std::min(count_ + 1, 1 / weight);
        mean_ += (counted - mean_) / count_;
    }

    /// \brief Lets the mean weigh no more than \a count requests.
    void limit_count(double count) { count_ = std::min(count_, count); }

    /// \brief In units of \ref duration; 0 before the first request.
    double value() const { return mean_; }

private:
    double mean_ = 0;
    double count_ = 0; ///< Requests of which \ref mean_ is the mean.
};

} // namespace briarfield

#endif
