#ifndef BRIARFIELD_LOAD_CAPACITY_ESTIMATOR_HPP
#define BRIARFIELD_LOAD_CAPACITY_ESTIMATOR_HPP

#include "briarfield/load/occupancy_profile.hpp"
#include "briarfield/load/work_tracker.hpp"

#include <chrono>
#include <functional>

namespace briarfield
{

/// \brief Input of a \ref slot_model for one interval.
struct load_window
{
    const occupancy_profile* profile = nullptr;
    ///< Successful answers of the recent past; times in seconds.
    const occupancy_profile* history = nullptr;
    ///< Successful answers of a longer past; each time is divided by the
    ///< service time that was estimated when the answer was recorded.
    double seconds = 0;          ///< Length of the interval.
    double mean_time_s = 0;      ///< Mean time of the units answered in it.
    double baseline_s = 0;       ///< Minimum time of a unit; it rises slowly.
    double mean_in_progress = 0; ///< Time average of the units in progress.
    double failed_fraction = 0;  ///< Failed units as a fraction of \ref ended.
    std::uint32_t ended = 0;     ///< Units that ended in the interval.
};

/// \brief Slots and service time of a server as estimated by a model.
struct slot_estimate
{
    double slots = 0;     ///< Units of work run concurrently; 0 if unknown.
    double service_s = 0; ///< Time of a unit without queueing, seconds.
};

/// \brief Computes the next estimate from the previous one and an interval.
///
/// \sa knee_model(), gradient_model(), aimd_model()
using slot_model =
    std::function<slot_estimate(const load_window&, slot_estimate)>;

/// \brief Finds the knee in the times of work over occupancy; the default.
slot_model knee_model();

/// \brief Adjusts the slots by the ratio of the baseline to the current time.
slot_model gradient_model();

/// \brief Adjusts the slots by additive increase, multiplicative decrease.
slot_model aimd_model();

/// \brief Estimated capacity and load of a server.
///
/// Capacity and load are in the same unit, so that their ratio is the
/// utilisation, which may exceed 1.
struct capacity_estimate
{
    double slots = 0;     ///< Units of work run concurrently; 0 if unknown.
    double service_s = 0; ///< Time of a unit without queueing, seconds.
    double capacity = 0;  ///< Successful units per second; 0 if unknown.
    double load = 0;      ///< Recent arrival rate, units per second.
    double success = 1;   ///< Fraction of units that succeeded recently.
    double concurrency = 0;
    ///< Units in progress above which a new one would wait for a slot longer
    ///< than capacity_estimator::options::max_wait, but at least
    ///< min_concurrency; 0 if unknown.

    bool known() const { return capacity > 0; }
};

/// \brief Estimates the capacity of a backend server from observed traffic.
///
/// Uses no health or load endpoint. The following count as failures: an
/// answer that is both much shorter and much faster than is typical, a reset,
/// a rejected flow, and a request that times out while the server answers no
/// other. Failures lower the capacity and are not passed to the model, so that
/// a server that fails fast is not mistaken for a fast one.
class capacity_estimator
{
public:
    /// \brief Settings of the estimator.
    struct options
    {
        duration interval = std::chrono::milliseconds(250);
        ///< Time between two steps of the model.
        duration profile_time_constant = std::chrono::seconds(20);
        ///< Time in which the weight of a sample in the recent profile
        ///< decays to 1/e.
        duration history_time_constant = std::chrono::seconds(90);
        ///< Time constant of the longer profile.
        duration answer_time_constant = std::chrono::minutes(10);
        ///< Time constant of the typical size and time of an answer.
        double suspect_ratio = 0.25;
        ///< An answer below this fraction of both the typical size and the
        ///< typical time counts as failed.
        double min_success = 0.02;
        ///< Lower bound of the success fraction. A failing server keeps some
        ///< flows, so that its recovery can be observed.
        duration max_wait = std::chrono::milliseconds(500);
        ///< Longest acceptable wait of a new unit for a slot.
        double min_concurrency = 16;
        ///< Lower bound of capacity_estimate::concurrency, units.
        work_tracker::options tracking;
    };

    capacity_estimator(options opts, const clock& c);
    capacity_estimator(options opts, const clock& c, slot_model model);

    // Not copyable: the tracker holds a callback to this object.
    capacity_estimator(const capacity_estimator&) = delete;
    capacity_estimator& operator=(const capacity_estimator&) = delete;

    /// \brief Processes one observation of a flow.
    void observe(const flow_observation& o);

    /// \brief Updates the estimate; to be called about once per interval.
    ///
    /// Does nothing if less than an interval has passed since the last step.
    void step();

    const capacity_estimate& estimate() const { return estimate_; }

    /// \brief Units of work currently in progress.
    std::uint32_t in_progress() const { return tracker_.in_progress(); }

private:
    void record_sample(const work_sample& s);
    bool suspect(const work_sample& s) const;
    bool failed(const work_sample& s) const;
    void record_answer(const work_sample& s);
    void detect_change(const work_sample& s, double seconds);
    void accumulate(time_point now);
    void update_estimate(double seconds);

    options options_;
    const clock* clock_;
    slot_model model_;
    work_tracker tracker_;
    occupancy_profile profile_;
    occupancy_profile history_;
    slot_estimate slots_;
    capacity_estimate estimate_;

    time_point last_step_;
    time_point last_accumulated_;
    double unit_seconds_ = 0; ///< Integral of the units in progress over time.
    std::uint32_t arrived_ = 0;
    std::uint32_t ended_ = 0;
    std::uint32_t failed_ = 0;
    double time_sum_s_ = 0;
    std::uint32_t timed_units_ = 0;

    // Decaying sums of the ratio of observed to estimated service time.
    double shift_weight_ = 0;
    double shift_sum_ = 0;
    double shift_squares_ = 0;

    double baseline_s_ = 0;
    double typical_bytes_ = 0;
    double typical_time_s_ = 0;
    time_point typical_updated_;
    double weighted_arrivals_ = 0;
    double weighted_successes_ = 0;
    double weighted_seconds_ = 0;
    double good_weight_ = 0;
    double failed_weight_ = 0;
    double answer_weight_ = 0; ///< Number of samples of the typical answer.
};

} // namespace briarfield

#endif
