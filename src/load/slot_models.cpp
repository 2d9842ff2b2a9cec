#include "briarfield/load/capacity_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace briarfield
{

namespace
{

constexpr double model_time_constant_s = 4.0; ///< Of the smoothing.
constexpr double high_quantile = 0.99;
constexpr double headroom = 1.5; ///< Over occupancies without queueing.
constexpr double min_samples = 150;
constexpr double min_flat_fraction = 0.05; ///< Of the samples below the knee.
constexpr double slot_decay_per_s = 0.01;  ///< Until the knee shows.
constexpr double initial_limit = 4;        ///< Slots; gradient and AIMD models.

double smooth(double previous, double current, double seconds)
{
    if (previous <= 0)
        return current;
    const double factor = 1 - std::exp(-seconds / model_time_constant_s);
    return previous + factor * (current - previous);
}

/// True if nearly every unit was queued. The profile then determines only the
/// ratio of slots to service time.
bool only_ratio_known(const occupancy_fit& fit,
                      const occupancy_profile& profile)
{
    return fit.saturated &&
           fit.flat_weight < min_flat_fraction * profile.weight();
}

slot_estimate knee_step(const load_window& window, slot_estimate estimate)
{
    if (window.profile->weight() < min_samples)
        return estimate;
    const occupancy_fit recent = window.profile->fit();
    if (only_ratio_known(recent, *window.profile))
    {
        const double previous_slots =
            estimate.slots > 0 ? estimate.slots : recent.slots;
        const double slots = std::max(
            1.0, previous_slots * (1 - slot_decay_per_s * window.seconds));
        const double service_s = recent.service_s * slots / recent.slots;
        estimate.slots = slots;
        estimate.service_s =
            smooth(estimate.service_s, service_s, window.seconds);
        return estimate;
    }
    estimate.service_s =
        smooth(estimate.service_s, recent.service_s, window.seconds);
    if (recent.saturated)
    {
        estimate.slots = smooth(estimate.slots, recent.slots, window.seconds);
        return estimate;
    }
    const occupancy_fit past = window.history->fit();
    if (past.saturated && !only_ratio_known(past, *window.history))
    {
        estimate.slots = smooth(estimate.slots, past.slots, window.seconds);
        return estimate;
    }
    // Without queueing, the slots are at least the occupancies observed.
    const double observed =
        (window.profile->quantile(high_quantile) + 1) * headroom;
    estimate.slots = std::max(estimate.slots,
                              smooth(estimate.slots, observed, window.seconds));
    return estimate;
}

slot_estimate gradient_step(const load_window& window, slot_estimate estimate)
{
    if (window.ended == 0 || window.baseline_s <= 0)
        return estimate;
    if (estimate.slots <= 0)
        estimate.slots = initial_limit;
    estimate.service_s = window.baseline_s;
    const double gradient =
        std::clamp(1.5 * window.baseline_s / window.mean_time_s, 0.5, 1.0);
    const bool limit_used = window.mean_in_progress > estimate.slots / 2;
    const double desired_slots =
        estimate.slots * gradient + std::sqrt(estimate.slots);
    if (limit_used || desired_slots < estimate.slots)
        estimate.slots = std::max(
            1.0, estimate.slots + 0.2 * (desired_slots - estimate.slots));
    return estimate;
}

slot_estimate aimd_step(const load_window& window, slot_estimate estimate)
{
    if (window.ended == 0 || window.baseline_s <= 0)
        return estimate;
    if (estimate.slots <= 0)
        estimate.slots = initial_limit;
    estimate.service_s = window.baseline_s;
    const bool slow = window.mean_time_s > 2 * window.baseline_s;
    if (slow || window.failed_fraction > 0.1)
        estimate.slots = std::max(1.0, estimate.slots * 0.9);
    else if (window.mean_in_progress > estimate.slots / 2)
        estimate.slots += 1;
    return estimate;
}

} // namespace

slot_model knee_model()
{
    return knee_step;
}

slot_model gradient_model()
{
    return gradient_step;
}

slot_model aimd_model()
{
    return aimd_step;
}

} // namespace briarfield
