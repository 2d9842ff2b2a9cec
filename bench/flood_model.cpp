#include "flood_model.hpp"

#include <algorithm>

namespace briarfield::bench
{

namespace
{

constexpr double deadline_s = 1.0;       ///< Request timeout of callers.
constexpr double retry_after_s = 1.0;    ///< Mean backoff of a rejected caller.
constexpr double detection_time_s = 2.2; ///< Until a dead server gets no flows.
constexpr double step_s = 0.05;
constexpr double queue_factor = 3;   ///< Units admitted per slot.
constexpr double lend_factor = 2;    ///< Units lent per slot.
constexpr double max_backlog = 2000; ///< Maximum flows queued at a balancer.

double seconds_of(duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace

double class_result::p99_s()
{
    if (times_s.empty())
        return 0;
    const auto at =
        times_s.begin() +
        static_cast<std::ptrdiff_t>(static_cast<double>(times_s.size()) * 0.99);
    std::nth_element(times_s.begin(), at, times_s.end());
    return *at;
}

flood_model::flood_model(flood_options opts)
    : options_(std::move(opts)), random_(options_.seed)
{
    for (const unsigned slots : options_.slots)
    {
        server s;
        s.model =
            std::make_unique<server_model>(events_, slots, options_.service_s);
        s.admission = std::make_unique<work_scheduler>(queue_factor * slots,
                                                       lend_factor * slots);
        s.admission->set_classes(share_classes());
        servers_.push_back(std::move(s));
    }
    balancers_.resize(options_.balancers);
    for (balancer& b : balancers_)
    {
        b.limit.set_total(options_.fleet_rate);
        rate_scheduler::options rate;
        rate.rate = options_.fleet_rate / options_.balancers;
        b.admission = std::make_unique<rate_scheduler>(rate, clock_);
        b.admission->set_classes(share_classes());
    }
    update_balancer_rates();
    results_.resize(options_.classes.size());
    rate_factors_.assign(options_.classes.size(), 1.0);
    offer_serials_.assign(options_.classes.size(), 0);
    for (std::size_t i = 0; i < options_.classes.size(); ++i)
        schedule_offer(i);
    step();
}

std::vector<share_class> flood_model::share_classes() const
{
    std::vector<share_class> classes;
    for (std::size_t i = 0; i < options_.classes.size(); ++i)
    {
        const work_class& c = options_.classes[i];
        classes.push_back({i + 1, c.team, c.urgency_rank, c.share});
    }
    return classes;
}

void flood_model::update_balancer_rates()
{
    for (balancer& b : balancers_)
    {
        b.limit.set_live_balancers(balancers_.size(), clock_.now());
        b.admission->set_rate(
            std::min(b.limit.local_limit(), processor_rate()));
    }
}

void flood_model::step()
{
    update_balancer_rates();
    for (balancer& b : balancers_)
        b.admission->step();
    for (server& s : servers_)
        s.admission->step();
    events_.after(step_s, [this] { step(); });
}

void flood_model::run(double seconds)
{
    events_.run_until(clock_.now() + event_queue::to_duration(seconds));
}

void flood_model::scale_rate(std::size_t class_index, double factor)
{
    rate_factors_[class_index] = factor;
    schedule_offer(class_index);
}

void flood_model::schedule_offer(std::size_t class_index)
{
    const std::uint64_t serial = ++offer_serials_[class_index];
    const double rate =
        options_.classes[class_index].rate * rate_factors_[class_index];
    events_.after(exponential(random_, 1 / rate),
                  [this, class_index, serial]
                  {
                      if (offer_serials_[class_index] != serial)
                          return; // Superseded by a change of the rate.
                      ++results_[class_index].offered;
                      auto a = std::make_shared<attempt>();
                      a->class_index = class_index;
                      attempt_flow(a);
                      schedule_offer(class_index);
                  });
}

/// Seconds that a new flow waits for the balancer's processor; negative if the
/// queue is full.
double flood_model::balancer_wait(balancer& b)
{
    const double rate = processor_rate();
    const double elapsed = seconds_of(clock_.now() - b.backlog_updated);
    b.backlog_updated = clock_.now();
    b.backlog = std::max(0.0, b.backlog - elapsed * rate);
    if (b.backlog >= max_backlog)
        return -1;
    b.backlog += 1;
    return b.backlog / rate;
}

void flood_model::attempt_flow(const attempt_ptr& a)
{
    a->start_time = clock_.now();
    a->rejected = false;
    balancer& b = balancers_[random_.below(balancers_.size())];
    if (options_.admission && !b.admission->admit(a->class_index + 1))
        return reject(a);
    const double wait = balancer_wait(b);
    if (wait < 0)
        return; // The packet is dropped; the caller times out.
    events_.after(wait, [this, a] { arrive_at_server(a); });
}

void flood_model::arrive_at_server(const attempt_ptr& a)
{
    std::vector<std::size_t> open;
    for (std::size_t i = 0; i < servers_.size(); ++i)
        if (servers_[i].serving)
            open.push_back(i);
    const std::size_t server_index = open[random_.below(open.size())];
    server& s = servers_[server_index];
    if (s.dead)
    {
        ++results_[a->class_index].lost;
        return;
    }
    if (options_.admission && !s.admission->admit(a->class_index + 1))
        return reject(a);
    const double size = 0.25 + 1.5 * random_.unit();
    s.model->submit(size, [this, a, server_index] { finish(a, server_index); });
}

void flood_model::reject(const attempt_ptr& a)
{
    a->rejected = true;
    ++results_[a->class_index].rejected;
    if (a->retries_made >= options_.retries)
        return;
    auto next = std::make_shared<attempt>();
    next->class_index = a->class_index;
    next->retries_made = a->retries_made + 1;
    events_.after(retry_after_s * (0.5 + random_.unit()),
                  [this, next] { attempt_flow(next); });
}

void flood_model::finish(const attempt_ptr& a, std::size_t server_index)
{
    server& s = servers_[server_index];
    s.admission->release(a->class_index + 1);
    class_result& r = results_[a->class_index];
    if (a->rejected)
        ++rejected_but_run_;
    if (s.dead)
    {
        ++r.lost;
        return;
    }
    const double time_s = seconds_of(clock_.now() - a->start_time);
    if (time_s > deadline_s)
    {
        ++r.late;
        return;
    }
    ++r.answered;
    r.times_s.push_back(time_s);
}

void flood_model::kill_server(std::size_t i)
{
    servers_[i].dead = true;
    events_.after(detection_time_s, [this, i] { servers_[i].serving = false; });
}

void flood_model::drain_server(std::size_t i)
{
    servers_[i].serving = false;
}

void flood_model::kill_balancer()
{
    balancers_.pop_back();
}

void flood_model::start_window()
{
    for (class_result& r : results_)
        r = class_result{};
}

} // namespace briarfield::bench
