#ifndef BRIARFIELD_LOAD_WEIGHT_POLICY_HPP
#define BRIARFIELD_LOAD_WEIGHT_POLICY_HPP

#include "briarfield/core/clock.hpp"
#include "briarfield/route/bucket_map.hpp"

#include <chrono>
#include <functional>
#include <unordered_map>
#include <vector>

namespace briarfield
{

/// \brief Input of the weight policy for one backend server.
struct target_load
{
    instance_id instance = 0;
    bool serving = true;     ///< Accepts new flows; otherwise the weight is 0.
    double capacity = 0;     ///< As announced; 0 if unknown.
    double load = 0;         ///< In the unit of the capacity.
    duration serving_for{0}; ///< Time since first announced as serving.
};

/// \brief Computes the weights of a service's targets, in the same order.
using weigh_targets = std::function<std::vector<double>(
    time_point now, const std::vector<target_load>&)>;

/// \brief Computes bucket weights from capacities.
///
/// A weight is the capacity, corrected by the deviation of the utilisation from
/// the mean: a server that is loaded by its pinned flows gets fewer new flows,
/// and one with few pinned flows gets more. The weight of a new server ramps
/// up.
///
/// Weights are constant until the error of one of them exceeds
/// options::start_band. Then they move at a bounded rate until all errors are
/// within options::stop_band. The weight of a server that stops serving becomes
/// 0 immediately. While the utilisation of a service is low, its weights change
/// only for a large difference. The weights sum to 1 unless no target serves.
class weight_policy
{
public:
    /// \brief Settings of the policy.
    struct options
    {
        double gain = 3.0;           ///< Gain of the correction by utilisation.
        double min_correction = 0.3; ///< Lower bound, times the capacity.
        double max_correction = 2.0; ///< Upper bound, times the capacity.
        double start_band = 0.06;    ///< Relative error that starts a change.
        double stop_band = 0.02;     ///< Relative error that ends a change.
        double move_rate = 0.05;     ///< Maximum weight moved per second.
        duration ramp = std::chrono::seconds(10); ///< Ramp of a new server.
        double ramp_start = 0.1; ///< Initial factor of a new server's weight.
    };

    explicit weight_policy(options opts) : options_(opts) {}

    /// \brief Returns the weights of \a targets at \a now, in the same order.
    std::vector<double> update(time_point now,
                               const std::vector<target_load>& targets);

private:
    std::vector<double> desired(const std::vector<target_load>& targets) const;
    void hold_weights(const std::vector<target_load>& targets,
                      std::vector<double>& desired_weights) const;
    double correction(double utilisation, double mean) const;
    void remove_nonserving(const std::vector<target_load>& targets);
    bool exceeds_band(double band,
                      const std::vector<target_load>& targets,
                      const std::vector<double>& desired_weights) const;
    void move_weights(double max_distance,
                      const std::vector<target_load>& targets,
                      const std::vector<double>& desired_weights);

    options options_;
    std::unordered_map<instance_id, double> applied_;
    bool moving_ = false;
    time_point last_update_;
};

} // namespace briarfield

#endif
