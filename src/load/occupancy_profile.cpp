#include "briarfield/load/occupancy_profile.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace briarfield
{

namespace
{

/// Bins below this weight are ignored.
constexpr double min_weight = 0.01;

/// Minimum improvement of the fit by a knee over a constant time, in squared
/// standard errors.
constexpr double knee_significance = 12.0;

/// Sums over a bin and all later ones, with z = mean / (n + 1) of bin n.
struct tail_sums
{
    double scaled = 0;  ///< Sum of weight * z.
    double squares = 0; ///< Sum of weight * z * z.
};

} // namespace

void occupancy_profile::add(std::uint32_t occupancy, double seconds)
{
    const std::size_t n = std::min<std::size_t>(occupancy, max_occupancy - 1);
    bin& b = bins_[n];
    b.weight += 1;
    b.sum += seconds;
    b.squares += seconds * seconds;
    used_ = std::max(used_, n + 1);
}

void occupancy_profile::decay(double factor)
{
    for (std::size_t n = 0; n < used_; ++n)
    {
        bins_[n].weight *= factor;
        bins_[n].sum *= factor;
        bins_[n].squares *= factor;
    }
    while (used_ > 0 && bins_[used_ - 1].weight < min_weight)
        bins_[--used_] = bin{};
}

double occupancy_profile::weight() const
{
    double total = 0;
    for (std::size_t n = 0; n < used_; ++n)
        total += bins_[n].weight;
    return total;
}

double occupancy_profile::mean_seconds() const
{
    double sum = 0;
    for (std::size_t n = 0; n < used_; ++n)
        sum += bins_[n].sum;
    const double total = weight();
    return total > 0 ? sum / total : 0.0;
}

double occupancy_profile::quantile(double fraction) const
{
    const double target_weight = weight() * fraction;
    double cumulative = 0;
    for (std::size_t n = 0; n < used_; ++n)
    {
        cumulative += bins_[n].weight;
        if (cumulative >= target_weight)
            return static_cast<double>(n);
    }
    return used_ == 0 ? 0.0 : static_cast<double>(used_ - 1);
}

occupancy_fit occupancy_profile::fit() const
{
    occupancy_fit best;
    const double total = weight();
    if (total < 1)
        return best;
    std::vector<tail_sums> tail(used_ + 1);
    double within = 0;
    for (std::size_t n = used_; n-- > 0;)
    {
        tail[n] = tail[n + 1];
        const bin& b = bins_[n];
        if (b.weight < min_weight)
            continue;
        const double mean = b.sum / b.weight;
        const double z = mean / static_cast<double>(n + 1);
        tail[n].scaled += b.weight * z;
        tail[n].squares += b.weight * z * z;
        if (mean > 0)
            within += std::max(0.0, b.squares - b.sum * mean) / (mean * mean);
    }
    // For each number of slots, computes the relative spread between the bins
    // after dividing each by its expected slowdown. The best number of slots
    // minimises it.
    double flat_sum = 0;
    double flat_squares = 0;
    double flat_weight = 0;
    double min_spread = 0;
    std::size_t knee = used_;
    for (std::size_t slots = 1; slots <= used_; ++slots)
    {
        const bin& b = bins_[slots - 1];
        flat_sum += b.sum;
        flat_weight += b.weight;
        if (b.weight >= min_weight)
            flat_squares += b.sum * b.sum / b.weight;
        const auto s = static_cast<double>(slots);
        const double sum = flat_sum + s * tail[slots].scaled;
        const double squares = flat_squares + s * s * tail[slots].squares;
        if (sum <= 0)
            continue;
        const double spread = squares * total / (sum * sum) - 1;
        if (slots == 1 || spread <= min_spread)
        {
            min_spread = spread;
            knee = slots;
            best.slots = s;
            best.service_s = sum / total;
            best.flat_weight = flat_weight;
        }
    }
    const double flat_spread =
        flat_sum > 0 ? flat_squares * total / (flat_sum * flat_sum) - 1 : 0;
    const double variance = std::max(within / total, 1e-6);
    best.saturated = knee < used_ && (flat_spread - min_spread) * total >
                                         knee_significance * variance;
    if (!best.saturated)
        best.service_s = flat_sum / total;
    return best;
}

} // namespace briarfield
