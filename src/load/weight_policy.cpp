#include "briarfield/load/weight_policy.hpp"

#include <algorithm>
#include <cmath>

namespace briarfield
{

namespace
{

/// Below this utilisation the estimate of a capacity is unreliable, and the
/// balance matters little.
constexpr double low_utilisation = 0.10;

/// Factor by which a weight must differ to be changed at low utilisation.
constexpr double low_utilisation_band = 4;

void normalise(std::vector<double>& weights)
{
    double total = 0;
    for (const double w : weights)
        total += w;
    if (total <= 0)
        return;
    for (double& w : weights)
        w /= total;
}

/// Median of the known capacities, or 1.
double typical_capacity(const std::vector<target_load>& targets)
{
    std::vector<double> known;
    for (const target_load& t : targets)
        if (t.serving && t.capacity > 0)
            known.push_back(t.capacity);
    if (known.empty())
        return 1;
    const auto middle =
        known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2);
    std::nth_element(known.begin(), middle, known.end());
    return *middle;
}

double mean_utilisation(const std::vector<target_load>& targets)
{
    double load = 0;
    double capacity = 0;
    for (const target_load& t : targets)
    {
        if (!t.serving || t.capacity <= 0)
            continue;
        load += t.load;
        capacity += t.capacity;
    }
    return capacity > 0 ? load / capacity : 0;
}

} // namespace

double weight_policy::correction(double utilisation, double mean) const
{
    if (mean < low_utilisation)
        return 1;
    return std::clamp(1 + options_.gain * (mean - utilisation) / mean,
                      options_.min_correction, options_.max_correction);
}

std::vector<double>
weight_policy::desired(const std::vector<target_load>& targets) const
{
    const double typical = typical_capacity(targets);
    const double mean = mean_utilisation(targets);
    std::vector<double> desired_weights;
    for (const target_load& t : targets)
    {
        if (!t.serving)
        {
            desired_weights.push_back(0);
            continue;
        }
        const bool known = t.capacity > 0;
        double weight = known
                            ? t.capacity * correction(t.load / t.capacity, mean)
                            : typical;
        const double age =
            std::chrono::duration<double>(t.serving_for).count() /
            std::chrono::duration<double>(options_.ramp).count();
        weight *= std::clamp(age, options_.ramp_start, 1.0);
        desired_weights.push_back(weight);
    }
    normalise(desired_weights);
    if (mean < low_utilisation)
        hold_weights(targets, desired_weights);
    return desired_weights;
}

/// Keeps the applied weights unless they differ by a large factor, for example
/// for a server that fails all requests.
void weight_policy::hold_weights(const std::vector<target_load>& targets,
                                 std::vector<double>& desired_weights) const
{
    if (applied_.empty())
    {
        for (std::size_t i = 0; i < targets.size(); ++i)
            desired_weights[i] = targets[i].serving ? 1 : 0;
        return normalise(desired_weights);
    }
    for (std::size_t i = 0; i < targets.size(); ++i)
    {
        const auto found = applied_.find(targets[i].instance);
        if (found == applied_.end() || !targets[i].serving)
            continue;
        const double applied = found->second;
        const bool within_band =
            desired_weights[i] < low_utilisation_band * applied &&
            applied < low_utilisation_band * desired_weights[i];
        if (within_band)
            desired_weights[i] = applied;
    }
    normalise(desired_weights);
}

void weight_policy::remove_nonserving(const std::vector<target_load>& targets)
{
    std::unordered_map<instance_id, double> kept;
    double total = 0;
    for (const target_load& t : targets)
    {
        const auto found = applied_.find(t.instance);
        if (found == applied_.end() || !t.serving)
            continue;
        kept[t.instance] = found->second;
        total += found->second;
    }
    if (total > 0)
        for (auto& [instance, weight] : kept)
            weight /= total;
    applied_ = std::move(kept);
}

bool weight_policy::exceeds_band(
    double band,
    const std::vector<target_load>& targets,
    const std::vector<double>& desired_weights) const
{
    for (std::size_t i = 0; i < targets.size(); ++i)
    {
        const auto found = applied_.find(targets[i].instance);
        const double applied = found == applied_.end() ? 0 : found->second;
        if (std::abs(desired_weights[i] - applied) >
            band * std::max(desired_weights[i], 1e-9))
            return true;
    }
    return false;
}

void weight_policy::move_weights(double max_distance,
                                 const std::vector<target_load>& targets,
                                 const std::vector<double>& desired_weights)
{
    double distance = 0; // Weight that moves between targets.
    for (std::size_t i = 0; i < targets.size(); ++i)
        distance +=
            std::abs(desired_weights[i] - applied_[targets[i].instance]) / 2;
    const double part = distance > max_distance ? max_distance / distance : 1.0;
    for (std::size_t i = 0; i < targets.size(); ++i)
    {
        double& applied = applied_[targets[i].instance];
        applied += part * (desired_weights[i] - applied);
    }
}

std::vector<double>
weight_policy::update(time_point now, const std::vector<target_load>& targets)
{
    const std::vector<double> desired_weights = desired(targets);
    remove_nonserving(targets);
    if (applied_.empty())
    {
        for (std::size_t i = 0; i < targets.size(); ++i)
            applied_[targets[i].instance] = desired_weights[i];
    }
    else
    {
        const double seconds =
            std::chrono::duration<double>(now - last_update_).count();
        moving_ =
            exceeds_band(moving_ ? options_.stop_band : options_.start_band,
                         targets, desired_weights);
        if (moving_)
            move_weights(options_.move_rate * seconds, targets,
                         desired_weights);
    }
    last_update_ = now;
    std::vector<double> weights;
    weights.reserve(targets.size());
    for (const target_load& t : targets)
        weights.push_back(t.serving ? applied_[t.instance] : 0);
    return weights;
}

} // namespace briarfield
