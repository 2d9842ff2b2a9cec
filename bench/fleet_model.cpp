#include "fleet_model.hpp"

#include <algorithm>

namespace briarfield::bench
{

namespace
{

constexpr double step_interval_s = 0.25; ///< Step interval of the estimators.
constexpr double announce_interval_s = 0.5; ///< Interval of announcements.
constexpr double announce_delay_s = 0.1;    ///< Until balancers have them.
constexpr double weight_interval_s = 1.0;   ///< Interval of weight updates.
constexpr double map_delay_s = 0.5;         ///< Until a new map is used.
constexpr double report_interval_s = 10.0;  ///< Period of load endpoints.
constexpr double failing_answer_s = 0.0005;
constexpr std::size_t answer_size = 2000; ///< Bytes.
constexpr std::size_t failure_size = 60;  ///< Bytes.
constexpr std::uint32_t bucket_count = 256;

flow_key key_of(std::size_t connection, std::uint32_t generation)
{
    flow_key key;
    key.source_port = static_cast<std::uint16_t>(connection & 0xffffU);
    key.destination_port = static_cast<std::uint16_t>(connection >> 16U);
    std::uint8_t bytes[4];
    for (unsigned i = 0; i < 4; ++i)
        bytes[i] = static_cast<std::uint8_t>(generation >> (8 * i));
    key.source = ip_address::from_v4(bytes);
    return key;
}

double seconds_of(duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace

fleet_model::fleet_model(fleet_options opts)
    : options_(std::move(opts)), random_(options_.seed)
{
    for (const unsigned slots : options_.slots)
        add_target(slots);
    max_connections_ = options_.slots.size() * options_.connections_per_target;
    full_rate_ = options_.utilisation * true_capacity();
    schedule_every(options_.fill_time_s / static_cast<double>(max_connections_),
                   [this]
                   {
                       if (connections_.size() >= max_connections_)
                           return;
                       connections_.emplace_back();
                       connection& c = connections_.back();
                       c.permanent =
                           random_.unit() < options_.permanent_fraction;
                       open(connections_.size() - 1);
                   });
    schedule_every(step_interval_s,
                   [this]
                   {
                       for (target& t : targets_)
                           t.estimator->step();
                   });
    schedule_every(announce_interval_s, [this] { announce(); });
    schedule_every(report_interval_s, [this] { report(); });
    schedule_every(weight_interval_s, [this] { update_weights(); });
    update_weights();
    schedule_request();
    schedule_churn();
}

void fleet_model::add_target(unsigned slots)
{
    target t;
    t.server =
        std::make_unique<server_model>(events_, slots, options_.service_s);
    t.estimator = std::make_unique<capacity_estimator>(
        capacity_estimator::options{}, clock_,
        options_.model ? options_.model : knee_model());
    t.flows_by_bucket.resize(bucket_count);
    t.added_time = clock_.now();
    t.announced.instance = targets_.size() + 1;
    targets_.push_back(std::move(t));
}

void fleet_model::schedule_every(double seconds, std::function<void()> callback)
{
    events_.after(seconds,
                  [this, seconds, callback = std::move(callback)]
                  {
                      callback();
                      schedule_every(seconds, callback);
                  });
}

void fleet_model::run(double seconds)
{
    events_.run_until(clock_.now() + event_queue::to_duration(seconds));
}

double fleet_model::true_capacity() const
{
    double total = 0;
    for (const target& t : targets_)
        if (t.serving)
            total += t.server->capacity();
    return total;
}

double fleet_model::rate() const
{
    return full_rate_ * static_cast<double>(connections_.size()) /
           static_cast<double>(max_connections_);
}

void fleet_model::schedule_request()
{
    const double mean = 1 / std::max(1.0, rate());
    events_.after(exponential(random_, mean),
                  [this]
                  {
                      if (!connections_.empty())
                          request(random_.below(connections_.size()));
                      schedule_request();
                  });
}

void fleet_model::schedule_churn()
{
    const double all =
        static_cast<double>(max_connections_) / options_.flow_lifetime_s;
    events_.after(exponential(random_, 1 / all),
                  [this]
                  {
                      if (connections_.size() == max_connections_)
                      {
                          std::size_t index = random_.below(max_connections_);
                          while (connections_[index].permanent)
                              index = random_.below(max_connections_);
                          close(index);
                          open(index);
                      }
                      schedule_churn();
                  });
}

std::size_t fleet_model::choose_target(std::uint16_t bucket)
{
    if (options_.placement_policy == placement::round_robin)
    {
        do
            last_target_ = (last_target_ + 1) % targets_.size();
        while (!targets_[last_target_].serving);
        return last_target_;
    }
    if (options_.placement_policy == placement::least_connections)
    {
        std::size_t best = targets_.size();
        for (std::size_t i = 0; i < targets_.size(); ++i)
            if (targets_[i].serving &&
                (best == targets_.size() ||
                 targets_[i].flows < targets_[best].flows))
                best = i;
        return best;
    }
    const bucket_owners& owners = map_.buckets[bucket];
    return map_.targets[owners.target[0]].instance - 1;
}

void fleet_model::open(std::size_t index)
{
    connection& c = connections_[index];
    c.bucket = static_cast<std::uint16_t>(random_.below(bucket_count));
    c.target = static_cast<std::uint16_t>(choose_target(c.bucket));
    ++c.generation;
    c.request_outstanding = false;
    target& t = targets_[c.target];
    ++t.flows;
    ++t.opened;
    ++t.flows_by_bucket[c.bucket];
    observe_flow(index, flow_activity::accepted, 0);
}

void fleet_model::close(std::size_t index)
{
    const connection& c = connections_[index];
    observe_flow(index, flow_activity::closed, 0);
    target& t = targets_[c.target];
    --t.flows;
    --t.flows_by_bucket[c.bucket];
}

void fleet_model::request(std::size_t index)
{
    connection& c = connections_[index];
    if (c.request_outstanding)
        return; // A flow has at most one outstanding request.
    c.request_outstanding = true;
    observe_flow(index, flow_activity::request_bytes, 200);
    const std::uint32_t generation = c.generation;
    target& t = targets_[c.target];
    if (t.failing)
    {
        events_.after(failing_answer_s, [this, index, generation]
                      { answer(index, generation, failure_size); });
        return;
    }
    const time_point request_time = clock_.now();
    const double size = 0.25 + 1.5 * random_.unit();
    t.server->submit(size,
                     [this, index, generation, request_time]
                     {
                         request_times_s_.push_back(
                             seconds_of(clock_.now() - request_time));
                         answer(index, generation, answer_size);
                     });
}

void fleet_model::answer(std::size_t index,
                         std::uint32_t generation,
                         std::size_t bytes)
{
    connection& c = connections_[index];
    if (c.generation != generation)
        return;
    c.request_outstanding = false;
    observe_flow(index, flow_activity::answer_bytes, bytes);
}

void fleet_model::observe_flow(std::size_t index,
                               flow_activity activity,
                               std::size_t bytes)
{
    const connection& c = connections_[index];
    const flow_key key = key_of(index, c.generation);
    targets_[c.target].estimator->observe(
        {activity, &key, bytes, clock_.now()});
}

void fleet_model::announce()
{
    for (std::size_t i = 0; i < targets_.size(); ++i)
    {
        const capacity_estimate& e = targets_[i].estimator->estimate();
        target_load a;
        a.instance = i + 1;
        a.capacity = e.capacity;
        a.load = e.load;
        a.serving = targets_[i].serving;
        events_.after(announce_delay_s,
                      [this, i, a] { targets_[i].announced = a; });
    }
}

void fleet_model::report()
{
    for (target& t : targets_)
    {
        const double offered = t.server->offered_s() - t.last_offered_s;
        t.last_offered_s = t.server->offered_s();
        if (!t.frozen)
            t.reported = std::min(
                1.0, offered / (report_interval_s * t.server->slots()));
    }
}

std::vector<double> fleet_model::weights()
{
    std::vector<double> result;
    if (options_.placement_policy == placement::lagging_endpoint)
    {
        for (const target& t : targets_)
            result.push_back(t.serving ? std::max(0.05, 1 - t.reported) : 0);
        return result;
    }
    std::vector<target_load> loads;
    for (const target& t : targets_)
    {
        loads.push_back(t.announced);
        loads.back().serving_for = clock_.now() - t.added_time;
    }
    return policy_.update(clock_.now(), loads);
}

void fleet_model::update_weights()
{
    const std::vector<double> new_weights = weights();
    build_input input;
    input.bucket_count = bucket_count;
    input.version = map_.version.next(1);
    for (std::size_t i = 0; i < targets_.size(); ++i)
    {
        build_target b;
        b.instance = i + 1;
        b.weight = new_weights[i];
        input.targets.push_back(b);
    }
    input.released = [this](std::uint32_t bucket, instance_id owner)
    { return targets_[owner - 1].flows_by_bucket[bucket] == 0; };
    bucket_map built = build_bucket_map(map_, input);
    if (map_.empty())
    {
        map_ = std::move(built);
        return;
    }
    const std::uint32_t moved_buckets = count_moved(map_, built);
    if (moved_buckets == 0 && built.targets.size() == map_.targets.size())
        return;
    buckets_moved_ += moved_buckets;
    ++maps_built_;
    events_.after(map_delay_s, [this, built] { map_ = built; });
}

void fleet_model::scale_service_time(std::size_t i, double factor)
{
    targets_[i].server->set_service_time(options_.service_s * factor);
}

void fleet_model::join(unsigned slots, double cold_factor)
{
    add_target(slots);
    const std::size_t i = targets_.size() - 1;
    scale_service_time(i, cold_factor);
    events_.after(10, [this, i] { scale_service_time(i, 1); });
}

void fleet_model::drain(std::size_t i)
{
    targets_[i].serving = false;
}

void fleet_model::freeze_endpoint(std::size_t i, double reported)
{
    targets_[i].frozen = true;
    targets_[i].reported = reported;
}

void fleet_model::fail_fast(std::size_t i, bool failing)
{
    targets_[i].failing = failing;
}

imbalance fleet_model::imbalance_of(const std::vector<double>& utilisation,
                                    double mean) const
{
    std::vector<double> sorted = utilisation;
    std::sort(sorted.begin(), sorted.end());
    imbalance result;
    if (sorted.empty() || mean <= 0)
        return result;
    const auto p99_index = static_cast<std::size_t>(std::ceil(
                               0.99 * static_cast<double>(sorted.size()))) -
                           1;
    result.max_ratio = sorted.back() / mean;
    result.p99 = sorted[p99_index] / mean;
    return result;
}

imbalance fleet_model::pinned_imbalance() const
{
    std::vector<double> utilisation;
    double flows = 0;
    double capacity = 0;
    for (const target& t : targets_)
    {
        if (!t.serving)
            continue;
        utilisation.push_back(t.flows / t.server->capacity());
        flows += t.flows;
        capacity += t.server->capacity();
    }
    return imbalance_of(utilisation, flows / capacity);
}

void fleet_model::start_window()
{
    for (target& t : targets_)
    {
        t.window_start_s = t.server->offered_s();
        t.opened = 0;
    }
    request_times_s_.clear();
}

imbalance fleet_model::window_imbalance() const
{
    std::vector<double> utilisation;
    double offered = 0;
    double slots = 0;
    for (const target& t : targets_)
    {
        if (!t.serving)
            continue;
        const double window_offered = t.server->offered_s() - t.window_start_s;
        utilisation.push_back(window_offered / t.server->slots());
        offered += window_offered;
        slots += t.server->slots();
    }
    return imbalance_of(utilisation, offered / slots);
}

double fleet_model::opened_fraction(std::size_t i) const
{
    double all = 0;
    for (const target& t : targets_)
        all += t.opened;
    return all > 0 ? targets_[i].opened / all : 0;
}

double fleet_model::p99_time_s()
{
    if (request_times_s_.empty())
        return 0;
    const auto at = request_times_s_.begin() +
                    static_cast<std::ptrdiff_t>(
                        static_cast<double>(request_times_s_.size()) * 0.99);
    std::nth_element(request_times_s_.begin(), at, request_times_s_.end());
    return *at;
}

double fleet_model::estimate_ratio(std::size_t i) const
{
    return targets_[i].estimator->estimate().capacity /
           targets_[i].server->capacity();
}

} // namespace briarfield::bench
