#ifndef BRIARFIELD_BENCH_FLOOD_MODEL_HPP
#define BRIARFIELD_BENCH_FLOOD_MODEL_HPP

#include "server_model.hpp"

#include "briarfield/load/peer_limit.hpp"
#include "briarfield/load/share_scheduler.hpp"

#include <memory>
#include <string>
#include <vector>

namespace briarfield::bench
{

/// A class of work with the load that its callers offer.
struct work_class
{
    std::string name;
    std::uint64_t team = 0;
    unsigned urgency_rank = 0;
    double share = 1;
    double rate = 0; ///< Requests per second, each on a new flow.
};

/// Parameters of a simulated flood.
struct flood_options
{
    std::vector<work_class> classes; ///< All classes use the same servers.
    std::vector<unsigned> slots = std::vector<unsigned>(7, 7);
    double service_s = 0.02;
    unsigned balancers = 4;
    double balancer_rate = 1000; ///< New flows per second one can process.
    double fleet_rate = 3600;    ///< Total limit of new flows per second.
    bool admission = true;       ///< False: nothing is rejected.
    unsigned retries = 2;        ///< Maximum retries after rejections.
    std::uint64_t seed = 1;
};

/// Results of one class in a window.
struct class_result
{
    std::uint64_t offered = 0;  ///< Requests, without retries.
    std::uint64_t answered = 0; ///< Answered before the deadline.
    std::uint64_t rejected = 0; ///< Rejected attempts.
    std::uint64_t late = 0;     ///< Answered after the deadline.
    std::uint64_t lost = 0;     ///< Sent to a server that died.
    std::vector<double> times_s;

    double p99_s();
};

/// Simulates callers, balancers and servers under a flood on a manual clock.
class flood_model
{
public:
    explicit flood_model(flood_options opts);

    void run(double seconds);

    /// Sets the rate of a class to \a factor times its configured rate.
    void scale_rate(std::size_t class_index, double factor);
    void kill_server(std::size_t server);
    void drain_server(std::size_t server);
    void kill_balancer();

    void start_window();
    class_result& result_of(std::size_t class_index)
    {
        return results_[class_index];
    }

    /// Number of rejected attempts that a server still processed.
    std::uint64_t rejected_but_run() const { return rejected_but_run_; }

private:
    struct attempt
    {
        std::size_t class_index = 0;
        unsigned retries_made = 0;
        bool rejected = false;
        bool answered = false;
        time_point start_time; ///< Time of this attempt.
    };
    using attempt_ptr = std::shared_ptr<attempt>;

    struct server
    {
        std::unique_ptr<server_model> model;
        std::unique_ptr<work_scheduler> admission;
        bool serving = true; ///< True while it gets new flows.
        bool dead = false;
    };

    struct balancer
    {
        std::unique_ptr<rate_scheduler> admission;
        peer_limit limit{peer_limit::options{}};
        double backlog = 0; ///< Flows that wait for the processor.
        time_point backlog_updated;
    };

    void schedule_offer(std::size_t class_index);
    void attempt_flow(const attempt_ptr& a);
    void arrive_at_server(const attempt_ptr& a);
    void reject(const attempt_ptr& a);
    void finish(const attempt_ptr& a, std::size_t server_index);
    void step();
    double processor_rate() const { return options_.balancer_rate; }
    double balancer_wait(balancer& b);
    void update_balancer_rates();
    std::vector<share_class> share_classes() const;

    flood_options options_;
    manual_clock clock_;
    event_queue events_{clock_};
    random_source random_;
    std::vector<double> rate_factors_;
    std::vector<std::uint64_t> offer_serials_;
    std::vector<server> servers_;
    std::vector<balancer> balancers_;
    std::vector<class_result> results_;
    std::uint64_t rejected_but_run_ = 0;
};

} // namespace briarfield::bench

#endif
