#ifndef BRIARFIELD_CORE_HISTOGRAM_HPP
#define BRIARFIELD_CORE_HISTOGRAM_HPP

#include "briarfield/core/clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace briarfield
{

/// \brief Histogram with exponential bucket bounds, for the hot path.
///
/// Bucket i counts the values above the bound of bucket i - 1 and at most
/// `first_bound << i`. Values above the last bound are only included in
/// \ref count and \ref sum. Recording takes no lock and allocates no memory.
/// Independent of any metrics library: the observability layer reads the values
/// and publishes them.
///
/// \sa counter_set
class histogram
{
public:
    static constexpr std::size_t bucket_count = 24;

    /// \param first_bound Upper bound of the first bucket; at least 1.
    /// \param scale Factor from recorded values to published ones, such as 1e-9
    /// for values in nanoseconds that are published in seconds.
    explicit histogram(std::uint64_t first_bound, double scale = 1.0)
        : first_bound_(first_bound), scale_(scale)
    {
    }

    /// \brief Histogram of durations, published in seconds, with bounds from
    /// 1 us to 8 s.
    static histogram of_durations() { return histogram(1000, 1e-9); }

    void record(std::uint64_t value)
    {
        std::size_t i = 0;
        while (i < bucket_count && value > (first_bound_ << i))
            ++i;
        if (i < bucket_count)
            ++buckets_[i];
        ++count_;
        sum_ += value;
    }

    /// \brief Records \a d in nanoseconds; a negative duration counts as zero.
    void record(duration d)
    {
        const auto ns = d.count();
        record(ns < 0 ? std::uint64_t{0} : static_cast<std::uint64_t>(ns));
    }

    /// \brief Upper bound of bucket \a i, in published units.
    double bound(std::size_t i) const
    {
        return static_cast<double>(first_bound_ << i) * scale_;
    }

    /// \brief Number of values in bucket \a i, not cumulative.
    std::uint64_t bucket(std::size_t i) const { return buckets_[i]; }

    /// \brief Number of all values, including those above the last bound.
    std::uint64_t count() const { return count_; }

    /// \brief Sum of all values, in published units.
    double sum() const { return static_cast<double>(sum_) * scale_; }

private:
    std::uint64_t first_bound_;
    double scale_;
    std::array<std::uint64_t, bucket_count> buckets_{};
    std::uint64_t count_ = 0;
    std::uint64_t sum_ = 0;
};

} // namespace briarfield

#endif
