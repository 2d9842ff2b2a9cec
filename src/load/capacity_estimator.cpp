#include "briarfield/load/capacity_estimator.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace briarfield
{

namespace
{

constexpr double rate_time_constant_s = 20;   ///< Of arrivals and successes.
constexpr double success_time_constant_s = 5; ///< Of the success fraction.

/// Time constant of the detection of a change in the service time.
constexpr double shift_time_constant_s = 4;

/// Standard errors above which a change of the service time is detected.
constexpr double shift_threshold = 5;

/// Minimum weight of samples for the detection of a change.
constexpr double min_shift_samples = 30;

/// Part of the profile that is kept after a change.
constexpr double kept_after_shift = 0.1;

/// Time constant by which the baseline rises, so that one that is too low
/// expires.
constexpr double baseline_rise_time_s = 60;

/// Weight of an assumed success in the success fraction.
constexpr double prior_weight = 0.5;

/// Samples required before an answer can be compared with the typical one.
constexpr double min_typical_samples = 40;

double seconds_of(duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace

capacity_estimator::capacity_estimator(options opts, const clock& c)
    : capacity_estimator(opts, c, knee_model())
{
}

capacity_estimator::capacity_estimator(options opts,
                                       const clock& c,
                                       slot_model model)
    : options_(opts), clock_(&c), model_(std::move(model)),
      tracker_(opts.tracking), last_step_(c.now()), last_accumulated_(c.now()),
      typical_updated_(c.now())
{
    tracker_.on_sample = [this](const work_sample& s) { record_sample(s); };
}

void capacity_estimator::observe(const flow_observation& o)
{
    accumulate(o.when);
    const std::uint32_t before = tracker_.in_progress();
    tracker_.observe(o);
    if (o.activity == flow_activity::request_bytes &&
        tracker_.in_progress() > before)
        ++arrived_;
}

void capacity_estimator::accumulate(time_point now)
{
    if (now <= last_accumulated_)
        return;
    unit_seconds_ +=
        tracker_.in_progress() * seconds_of(now - last_accumulated_);
    last_accumulated_ = now;
}

bool capacity_estimator::suspect(const work_sample& s) const
{
    if (answer_weight_ < min_typical_samples || typical_bytes_ <= 0)
        return false;
    return static_cast<double>(s.answer_bytes) <
               options_.suspect_ratio * typical_bytes_ &&
           seconds_of(s.first_byte) < options_.suspect_ratio * typical_time_s_;
}

bool capacity_estimator::failed(const work_sample& s) const
{
    switch (s.outcome)
    {
    case work_outcome::answered:
        return suspect(s);
    case work_outcome::abandoned:
        return s.no_answer_meanwhile;
    case work_outcome::cancelled:
        return false;
    default:
        return true;
    }
}

void capacity_estimator::record_sample(const work_sample& s)
{
    if (s.outcome == work_outcome::cancelled)
        return;
    ++ended_;
    if (failed(s))
    {
        ++failed_;
        return;
    }
    if (s.outcome == work_outcome::answered)
        record_answer(s);
}

/// Discards most of the profile when the times have changed significantly, for
/// example when a noisy neighbour appears or stops, or a cold server has warmed
/// up.
void capacity_estimator::detect_change(const work_sample& s, double seconds)
{
    if (slots_.slots <= 0 || slots_.service_s <= 0)
        return;
    if (s.occupancy + 1 > slots_.slots)
        return; // The time includes queueing.
    const double ratio = seconds / slots_.service_s;
    shift_weight_ += 1;
    shift_sum_ += ratio;
    shift_squares_ += ratio * ratio;
    if (shift_weight_ < min_shift_samples)
        return;
    const double mean = shift_sum_ / shift_weight_;
    const double variance = shift_squares_ / shift_weight_ - mean * mean;
    const double relative_error =
        std::sqrt(variance / shift_weight_) / std::max(mean, 1e-9);
    if (std::abs(std::log(mean)) <= shift_threshold * relative_error)
        return;
    profile_.decay(kept_after_shift);
    shift_weight_ = shift_sum_ = shift_squares_ = 0;
}

void capacity_estimator::record_answer(const work_sample& s)
{
    const double time_s = seconds_of(s.occupied);
    profile_.add(s.occupancy, time_s);
    if (slots_.service_s > 0)
        history_.add(s.occupancy, time_s / slots_.service_s);
    detect_change(s, time_s);
    time_sum_s_ += time_s;
    ++timed_units_;
    if (baseline_s_ <= 0 || time_s < baseline_s_)
        baseline_s_ = time_s;
    const auto bytes = static_cast<double>(s.answer_bytes);
    if (typical_bytes_ <= 0)
    {
        typical_bytes_ = bytes;
        typical_time_s_ = seconds_of(s.first_byte);
        typical_updated_ = s.when;
        return;
    }
    // A plain mean over the first samples, an exponential average later.
    const double elapsed = seconds_of(s.when - typical_updated_);
    typical_updated_ = s.when;
    const double time_smoothing =
        1 - std::exp(-elapsed / seconds_of(options_.answer_time_constant));
    const double smoothing = std::max(time_smoothing, 1 / (answer_weight_ + 1));
    typical_bytes_ += smoothing * (bytes - typical_bytes_);
    typical_time_s_ += smoothing * (seconds_of(s.first_byte) - typical_time_s_);
    answer_weight_ = std::min(answer_weight_ + 1, 1e6);
}

void capacity_estimator::step()
{
    const time_point now = clock_->now();
    if (now - last_step_ < options_.interval)
        return;
    accumulate(now);
    tracker_.sweep(now);
    const double seconds = seconds_of(now - last_step_);
    last_step_ = now;
    load_window window;
    window.profile = &profile_;
    window.history = &history_;
    window.seconds = seconds;
    window.mean_time_s = timed_units_ > 0 ? time_sum_s_ / timed_units_ : 0;
    window.baseline_s = baseline_s_;
    window.mean_in_progress = unit_seconds_ / seconds;
    window.failed_fraction =
        ended_ > 0 ? static_cast<double>(failed_) / ended_ : 0.0;
    window.ended = ended_;
    if (timed_units_ > 0)
        slots_ = model_(window, slots_);
    update_estimate(seconds);
    profile_.decay(
        std::exp(-seconds / seconds_of(options_.profile_time_constant)));
    history_.decay(
        std::exp(-seconds / seconds_of(options_.history_time_constant)));
    baseline_s_ *= 1 + seconds / baseline_rise_time_s;
    const double shift_decay = std::exp(-seconds / shift_time_constant_s);
    shift_weight_ *= shift_decay;
    shift_sum_ *= shift_decay;
    shift_squares_ *= shift_decay;
    unit_seconds_ = 0;
    time_sum_s_ = 0;
    arrived_ = ended_ = failed_ = timed_units_ = 0;
}

void capacity_estimator::update_estimate(double seconds)
{
    const double rate_decay = std::exp(-seconds / rate_time_constant_s);
    weighted_arrivals_ = weighted_arrivals_ * rate_decay + arrived_;
    weighted_successes_ = weighted_successes_ * rate_decay + (ended_ - failed_);
    weighted_seconds_ = weighted_seconds_ * rate_decay + seconds;
    const double success_decay = std::exp(-seconds / success_time_constant_s);
    good_weight_ = good_weight_ * success_decay + (ended_ - failed_);
    const double failing = failed_;
    failed_weight_ = failed_weight_ * success_decay + failing;
    // Old failures decay, so that a server without recent samples counts as
    // recovered and is tried again.
    const double successes = good_weight_ + prior_weight;
    const double total_weight = successes + failed_weight_;
    estimate_.success =
        std::max(options_.min_success, successes / total_weight);
    estimate_.slots = slots_.slots;
    estimate_.service_s = slots_.service_s;
    estimate_.load =
        weighted_seconds_ > 0 ? weighted_arrivals_ / weighted_seconds_ : 0;
    if (slots_.slots <= 0 || slots_.service_s <= 0)
        return;
    const double queue_per_slot =
        seconds_of(options_.max_wait) / slots_.service_s;
    estimate_.concurrency =
        std::max(options_.min_concurrency, slots_.slots * (1 + queue_per_slot));
    // The capacity is at least the rate that the server has completed.
    const double completed = weighted_successes_ / weighted_seconds_;
    estimate_.capacity = std::max(completed, slots_.slots / slots_.service_s) *
                         estimate_.success;
}

} // namespace briarfield
