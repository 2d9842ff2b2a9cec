#include "fleet_model.hpp"
#include "flood_model.hpp"

#include <chrono>
#include <cstdio>
#include <cstring>

namespace
{

using namespace briarfield;
using namespace briarfield::bench;

struct policy_row
{
    const char* name;
    placement placement_policy;
    slot_model model;
};

struct fleet_row
{
    const char* name;
    std::vector<unsigned> slots;
};

void print(const std::string& name, double value, const char* unit)
{
    std::printf("%s: %.4g %s\n", name.c_str(), value, unit);
}

/// Runs \a fleet for \a seconds and returns the integral of its imbalance
/// above 1.
double imbalance_integral(fleet_model& fleet, double seconds)
{
    double sum = 0;
    for (double t = 0; t < seconds; t += 1)
    {
        fleet.run(1);
        sum += std::max(0.0, fleet.pinned_imbalance().max_ratio - 1);
    }
    return sum;
}

void run_fleet(const fleet_row& row,
               const policy_row& policy,
               std::uint64_t seed)
{
    fleet_options options;
    options.slots = row.slots;
    options.placement_policy = policy.placement_policy;
    options.model = policy.model;
    options.seed = seed;
    fleet_model fleet(options);
    const std::string prefix = std::string(row.name) + "." + policy.name +
                               ".s" + std::to_string(seed) + ".";
    fleet.run(options.fill_time_s + 30);
    print(prefix + "flows_imbalance_30s", fleet.pinned_imbalance().max_ratio,
          "ratio");
    fleet.start_window();
    fleet.run(120);
    const imbalance steady = fleet.window_imbalance();
    print(prefix + "imbalance_max", steady.max_ratio, "ratio");
    print(prefix + "imbalance_p99", steady.p99, "ratio");
    print(prefix + "flows_imbalance_150s", fleet.pinned_imbalance().max_ratio,
          "ratio");
    print(prefix + "request_p99", fleet.p99_time_s() * 1e3, "ms");
    double max_error = 0;
    for (std::size_t i = 0; i < row.slots.size(); ++i)
        max_error = std::max(max_error, std::abs(fleet.estimate_ratio(i) - 1));
    if (policy.placement_policy == placement::measured)
        print(prefix + "estimate_error_max", max_error, "ratio");
    const std::uint32_t moved = fleet.buckets_moved();
    print(prefix + "buckets_moved_to_settled", moved, "buckets");
    fleet.scale_service_time(0, 1.5);
    print(prefix + "drift_integral_90s", imbalance_integral(fleet, 90), "s");
    print(prefix + "drift_end", fleet.pinned_imbalance().max_ratio, "ratio");
    fleet.scale_service_time(0, 1);
    fleet.run(60);
    fleet.join(row.slots[0], 3);
    print(prefix + "join_integral_90s", imbalance_integral(fleet, 90), "s");
    fleet.drain(1);
    print(prefix + "drain_integral_90s", imbalance_integral(fleet, 90), "s");
    print(prefix + "drain_end", fleet.pinned_imbalance().max_ratio, "ratio");
    print(prefix + "buckets_moved", fleet.buckets_moved() - moved, "buckets");
}

/// Freezes two load endpoints, then lets a server fail fast.
void run_faults(const fleet_row& row, const policy_row& policy)
{
    fleet_options options;
    options.slots = row.slots;
    options.placement_policy = policy.placement_policy;
    options.model = policy.model;
    fleet_model fleet(options);
    const std::string prefix = std::string("fault.") + policy.name + ".";
    fleet.run(options.fill_time_s);
    fleet.freeze_endpoint(0, 0.0);
    fleet.freeze_endpoint(1, 1.0);
    fleet.run(30);
    fleet.start_window();
    fleet.run(120);
    print(prefix + "frozen_endpoints_imbalance",
          fleet.window_imbalance().max_ratio, "ratio");
    fleet.fail_fast(2, true);
    fleet.run(30);
    fleet.start_window();
    fleet.run(60);
    print(prefix + "failing_server_new_flows",
          fleet.opened_fraction(2) * static_cast<double>(row.slots.size()),
          "of_its_even_part");
}

constexpr double normal_s = 20;
constexpr double flood_s = 30;

enum class flood_fault
{
    none,
    server_dies,
    server_drains,
    balancer_dies
};

struct flood_row
{
    const char* name;
    std::size_t flooding; ///< Index of the flooding class.
    bool admission;
    flood_fault fault;
    unsigned retries = 2; ///< Of a rejected caller, at intervals of about 1 s.
};

/// Four classes of two teams, three of them in one team; without the flood they
/// use 0.7 of the servers' capacity.
flood_options flood_setup(const flood_row& row)
{
    flood_options options;
    options.classes = {{"background", 1, 0, 1, 490},
                       {"interactive", 1, 2, 1, 490},
                       {"critical", 1, 3, 1, 490},
                       {"other_team", 2, 1, 1, 245}};
    options.admission = row.admission;
    options.retries = row.retries;
    return options;
}

void inject_fault(flood_model& model, flood_fault fault)
{
    if (fault == flood_fault::server_dies)
        model.kill_server(0);
    if (fault == flood_fault::server_drains)
        model.drain_server(0);
    if (fault == flood_fault::balancer_dies)
        model.kill_balancer();
}

/// Time after the flood until all later half-second windows have at most 5% of
/// the requests rejected, lost or late: for the flooding class, and for all
/// others.
struct recovery
{
    double others_s = 0;
    double flooding_s = 0;
};

recovery
measure_recovery(flood_model& model, std::size_t classes, std::size_t flooding)
{
    constexpr double window_s = 0.5;
    constexpr double tolerated = 0.05;
    recovery recovered;
    for (double t = window_s; t <= normal_s; t += window_s)
    {
        model.start_window();
        model.run(window_s);
        for (std::size_t i = 0; i < classes; ++i)
        {
            const class_result& r = model.result_of(i);
            const auto failed =
                static_cast<double>(r.rejected + r.late + r.lost);
            if (failed > tolerated * static_cast<double>(r.offered))
                (i == flooding ? recovered.flooding_s : recovered.others_s) = t;
        }
    }
    return recovered;
}

/// Requests per second guaranteed to each class by its share of the servers.
std::vector<double> floor_rates(const flood_options& options)
{
    double capacity = 0;
    for (const unsigned slots : options.slots)
        capacity += slots / options.service_s;
    std::vector<share_claim> claims;
    for (const work_class& c : options.classes)
        claims.push_back({c.team, c.urgency_rank, c.share, c.rate});
    return share_floors(capacity, claims);
}

double answered_fraction(const class_result& r)
{
    return static_cast<double>(r.answered) / static_cast<double>(r.offered);
}

void run_flood(const flood_row& row)
{
    const flood_options options = flood_setup(row);
    flood_model model(options);
    const std::string prefix = std::string("flood.") + row.name + ".";
    model.run(normal_s);
    model.start_window();
    model.run(normal_s);
    std::vector<double> rate;
    std::vector<double> answered;
    std::vector<double> p99;
    for (std::size_t i = 0; i < options.classes.size(); ++i)
    {
        class_result& r = model.result_of(i);
        rate.push_back(options.classes[i].rate);
        answered.push_back(answered_fraction(r));
        p99.push_back(r.p99_s());
    }
    model.start_window();
    model.scale_rate(row.flooding, 10);
    model.run(flood_s / 3);
    inject_fault(model, row.fault);
    model.run(flood_s - flood_s / 3);
    std::vector<double> floors = floor_rates(options);
    const bool server_removed = row.fault == flood_fault::server_dies ||
                                row.fault == flood_fault::server_drains;
    if (server_removed) // For the last two thirds of the flood.
        for (double& floor : floors)
            floor *= 1 - 2.0 / 3 / static_cast<double>(options.slots.size());
    double late = 0;
    double processed = 0;
    for (std::size_t i = 0; i < options.classes.size(); ++i)
    {
        class_result& r = model.result_of(i);
        const double answered_rate = static_cast<double>(r.answered) / flood_s;
        const std::string name = prefix + options.classes[i].name + ".";
        if (i != row.flooding)
            print(name + "goodput_kept", answered_fraction(r) / answered[i],
                  "ratio");
        print(name + "share_kept", answered_rate / std::min(rate[i], floors[i]),
              "ratio");
        print(name + "p99_ratio", r.p99_s() / p99[i], "ratio");
        late += static_cast<double>(r.late);
        processed += static_cast<double>(r.late + r.answered);
    }
    print(prefix + "wasted_work", processed > 0 ? late / processed : 0,
          "ratio");
    model.scale_rate(row.flooding, 1);
    const recovery r =
        measure_recovery(model, options.classes.size(), row.flooding);
    print(prefix + "recovery_others", r.others_s, "s");
    print(prefix + "recovery_flooding", r.flooding_s, "s");
    print(prefix + "refused_that_ran",
          static_cast<double>(model.rejected_but_run()), "flows");
}

/// Mean nanoseconds of a call of \a call, over \a count calls.
template <class Call>
double cost_ns(std::size_t count, Call call)
{
    const auto start_time = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < count; ++i)
        call(i);
    const std::chrono::duration<double, std::nano> taken =
        std::chrono::steady_clock::now() - start_time;
    return taken.count() / static_cast<double>(count);
}

/// Processor cost in a balancer and in an agent at the design size.
void run_cost()
{
    constexpr std::size_t services = 1500;
    constexpr std::size_t teams = 100;
    constexpr std::size_t flows = 1000000;
    constexpr double flows_per_node = 26000.0 / 550;
    manual_clock clock;
    rate_scheduler::options opts;
    opts.rate = 1000;
    rate_scheduler shares(opts, clock);
    std::vector<share_class> classes;
    for (std::size_t i = 0; i < services; ++i)
        classes.push_back({i + 1, i % teams, static_cast<unsigned>(i % 4), 1});
    shares.set_classes(classes);
    random_source random(1);
    std::size_t admitted = 0;
    const double admit = cost_ns(
        flows, [&](std::size_t)
        { admitted += shares.admit(1 + random.below(services)) ? 1U : 0U; });
    const double step = cost_ns(200,
                                [&](std::size_t)
                                {
                                    clock.advance(opts.interval);
                                    shares.step();
                                });
    capacity_estimator estimator({}, clock);
    const double observe = cost_ns(
        flows,
        [&](std::size_t i)
        {
            flow_key key;
            key.source_port = static_cast<std::uint16_t>(i);
            estimator.observe(
                {flow_activity::request_bytes, &key, 200, clock.now()});
            estimator.observe(
                {flow_activity::answer_bytes, &key, 2000, clock.now()});
            estimator.observe({flow_activity::closed, &key, 0, clock.now()});
        });
    const double steps_s =
        1 / std::chrono::duration<double>(opts.interval).count();
    print("cost.balancer_admit", admit, "ns");
    print("cost.balancer_step_1500_services", step / 1000, "us");
    print("cost.balancer_core_part",
          (admit * flows_per_node + step * steps_s) * 1e-9 * 100, "percent");
    print("cost.balancer_per_new_flow", admit + step * steps_s / flows_per_node,
          "ns");
    print("cost.agent_request", observe, "ns");
    if (admitted == 0)
        print("cost.nothing_admitted", 1, "error");
}

} // namespace

int main(int argc, char** argv)
{
    const bool quick = argc > 1 && std::strcmp(argv[1], "--quick") == 0;
    std::vector<fleet_row> fleets = {
        {"datum_live", std::vector<unsigned>(7, 2)},
        {"grid_depot", std::vector<unsigned>(3, 2)},
        {"mixed_2", {2, 2, 4, 6, 8, 12, 16}},
        {"poolside", std::vector<unsigned>(7, 7)},
        {"certdesk", std::vector<unsigned>(3, 7)},
        {"mixed_7", {7, 7, 14, 21, 28, 42, 56}},
    };
    if (quick)
        fleets.resize(3);
    const std::vector<policy_row> policies = {
        {"round_robin", placement::round_robin, {}},
        {"least_connections", placement::least_connections, {}},
        {"lagging_endpoint", placement::lagging_endpoint, {}},
        {"aimd", placement::measured, aimd_model()},
        {"gradient", placement::measured, gradient_model()},
        {"knee", placement::measured, knee_model()},
    };
    for (const fleet_row& row : fleets)
        for (const policy_row& policy : policies)
            run_fleet(row, policy, 1);
    const std::uint64_t last_seed = quick ? 1 : 3;
    for (const fleet_row& row : fleets)
        for (std::uint64_t seed = 2; seed <= last_seed; ++seed)
            run_fleet(row, policies.back(), seed);
    for (const policy_row& policy : policies)
        run_faults(fleets.front(), policy);
    const std::vector<flood_row> floods = {
        {"least_urgent", 0, true, flood_fault::none},
        {"least_urgent_no_admission", 0, false, flood_fault::none},
        {"most_urgent", 2, true, flood_fault::none},
        {"least_urgent_no_retries", 0, true, flood_fault::none, 0},
        {"most_urgent_no_retries", 2, true, flood_fault::none, 0},
        {"most_urgent_no_admission", 2, false, flood_fault::none},
        {"least_urgent_server_dies", 0, true, flood_fault::server_dies},
        {"least_urgent_server_drains", 0, true, flood_fault::server_drains},
        {"least_urgent_balancer_dies", 0, true, flood_fault::balancer_dies},
        {"most_urgent_server_dies", 2, true, flood_fault::server_dies},
    };
    for (const flood_row& row : floods)
        run_flood(row);
    run_cost();
    return 0;
}
