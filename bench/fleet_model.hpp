#ifndef BRIARFIELD_BENCH_FLEET_MODEL_HPP
#define BRIARFIELD_BENCH_FLEET_MODEL_HPP

#include "server_model.hpp"

#include "briarfield/load/capacity_estimator.hpp"
#include "briarfield/load/weight_policy.hpp"
#include "briarfield/route/map_builder.hpp"

#include <memory>
#include <string>
#include <vector>

namespace briarfield::bench
{

/// How the backend server of a new connection is chosen.
enum class placement
{
    round_robin,
    least_connections,
    lagging_endpoint, ///< Bucket map with weights from load endpoints.
    measured,         ///< Bucket map with weights from agents' estimates.
};

/// Parameters of a simulated service with its backend servers.
struct fleet_options
{
    std::vector<unsigned> slots; ///< Slots of each target.
    double service_s = 0.02;     ///< Mean service time of a request.
    unsigned connections_per_target = 2000;
    double utilisation = 0.7; ///< Offered load over the true total capacity.
    double flow_lifetime_s = 177; ///< Mean over all flows: 4.6 M / 26,000/s.
    double permanent_fraction = 0.25; ///< Fraction of flows that never close.
    double fill_time_s = 60; ///< Time over which the first flows are opened.
    placement placement_policy = placement::measured;
    slot_model model;
    std::uint64_t seed = 1;
};

/// Deviation of the targets' utilisation from the mean.
struct imbalance
{
    double max_ratio = 0; ///< Maximum over the mean.
    double p99 = 0;       ///< 99th percentile over the mean.
};

/// Simulates a service on a manual clock: callers' flows, servers, agents'
/// estimators, delayed announcements, and bucket maps that pin flows.
class fleet_model
{
public:
    explicit fleet_model(fleet_options opts);

    void run(double seconds);

    /// Sets the service time of one target to \a factor times the configured
    /// one.
    void scale_service_time(std::size_t target, double factor);
    /// Adds a target whose service time is \a cold_factor times the configured
    /// one for its first 10 s.
    void join(unsigned slots, double cold_factor);
    void drain(std::size_t target);
    /// Fixes the utilisation that the load endpoint of a target reports.
    void freeze_endpoint(std::size_t target, double reported);
    /// Makes a target answer immediately with a short error, or ends that.
    void fail_fast(std::size_t target, bool failing);

    /// Imbalance of the flows currently pinned to each target.
    imbalance pinned_imbalance() const;

    /// Imbalance of the work offered to each target since \ref start_window.
    imbalance window_imbalance() const;
    void start_window();

    /// Fraction of the flows opened since \ref start_window that went to
    /// \a target.
    double opened_fraction(std::size_t target) const;

    /// 99th percentile of the request times since \ref start_window, seconds.
    double p99_time_s();

    std::uint32_t buckets_moved() const { return buckets_moved_; }
    std::uint32_t maps_built() const { return maps_built_; }

    /// Ratio of the estimated to the true capacity of \a target.
    double estimate_ratio(std::size_t target) const;

private:
    struct target
    {
        std::unique_ptr<server_model> server;
        std::unique_ptr<capacity_estimator> estimator;
        std::vector<std::uint32_t> flows_by_bucket;
        std::uint32_t flows = 0;
        std::uint32_t opened = 0;
        bool serving = true;
        bool failing = false;
        double window_start_s = 0;
        time_point added_time;
        target_load announced;
        double reported = 0; ///< Utilisation reported by the endpoint.
        double last_offered_s = 0;
        bool frozen = false;
    };

    struct connection
    {
        std::uint16_t target = 0;
        std::uint16_t bucket = 0;
        bool permanent = false;
        bool request_outstanding = false;
        std::uint32_t generation = 0;
    };

    void add_target(unsigned slots);
    void open(std::size_t index);
    void close(std::size_t index);
    std::size_t choose_target(std::uint16_t bucket);
    void request(std::size_t index);
    void answer(std::size_t index, std::uint32_t generation, std::size_t bytes);
    void
    observe_flow(std::size_t index, flow_activity activity, std::size_t bytes);
    void schedule_every(double seconds, std::function<void()> callback);
    void schedule_request();
    void schedule_churn();
    void announce();
    void report();
    void update_weights();
    std::vector<double> weights();
    double rate() const;
    double true_capacity() const;
    imbalance imbalance_of(const std::vector<double>& utilisation,
                           double mean) const;

    fleet_options options_;
    manual_clock clock_;
    event_queue events_{clock_};
    random_source random_;
    std::vector<target> targets_;
    std::vector<connection> connections_;
    std::size_t max_connections_ = 0;
    double full_rate_ = 0;
    bucket_map map_;
    weight_policy policy_{weight_policy::options{}};
    std::vector<double> request_times_s_;
    std::size_t last_target_ = 0;
    std::uint32_t buckets_moved_ = 0;
    std::uint32_t maps_built_ = 0;
};

} // namespace briarfield::bench

#endif
