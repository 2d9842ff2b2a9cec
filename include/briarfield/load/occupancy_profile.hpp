#ifndef BRIARFIELD_LOAD_OCCUPANCY_PROFILE_HPP
#define BRIARFIELD_LOAD_OCCUPANCY_PROFILE_HPP

#include "briarfield/core/clock.hpp"

#include <array>
#include <cstdint>

namespace briarfield
{

/// \brief Result of \ref occupancy_profile::fit.
struct occupancy_fit
{
    bool saturated = false; ///< True if a knee was found.
    double slots = 0;       ///< Slots at the knee; undefined without one.
    double service_s = 0;   ///< Time of a unit without queueing, seconds.
    double flat_weight = 0; ///< Weight of the samples below the knee.
};

/// \brief Times of units of work by the number in progress on arrival.
///
/// A server with S slots and service time s that has n other units in progress
/// takes a time of about s * max(1, (n + 1) / S) for a new one: constant up to
/// the knee, then proportional to the queue (Little's law). The fit finds S and
/// s from the shape of this curve, so it needs neither an idle server nor a
/// known baseline. The weight of old samples decays.
class occupancy_profile
{
public:
    static constexpr std::size_t max_occupancy = 512;
    ///< Number of bins; higher occupancies are counted in the last one.

    /// \brief Adds a unit that took \a seconds, with \a occupancy others in
    /// progress on its arrival.
    void add(std::uint32_t occupancy, double seconds);

    /// \brief Multiplies the weight of every sample by \a factor, which is
    /// below 1.
    void decay(double factor);

    /// \brief Fits slots and service time to the samples.
    occupancy_fit fit() const;

    /// \brief Quantile \a fraction of the occupancies.
    double quantile(double fraction) const;

    /// \brief Total weight of the samples.
    double weight() const;

    /// \brief Mean time of a unit, seconds; 0 without samples.
    double mean_seconds() const;

private:
    struct bin
    {
        double weight = 0;
        double sum = 0;     ///< Weighted sum of the times, seconds.
        double squares = 0; ///< Weighted sum of the squared times.
    };

    std::array<bin, max_occupancy> bins_{};
    std::size_t used_ = 0; ///< Bins from this index on are empty.
};

} // namespace briarfield

#endif
