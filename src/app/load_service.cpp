#include "load_service.hpp"

#include "metrics_service.hpp"

#include <chrono>
#include <cmath>

namespace briarfield::app
{

namespace
{

using namespace std::chrono_literals;

constexpr duration estimate_interval = 250ms;
constexpr duration weigh_interval = 1s;

/// A relative change of the capacity below this is not announced, since each
/// change makes the observers of the service rebuild its map.
constexpr double announce_band = 0.03;

constexpr duration ramp_complete =
    1h; ///< Skips the ramp, which the agent registry applies.

target_load load_of(const announcement& a)
{
    target_load t;
    t.instance = make_instance_id(a.instance);
    t.serving = a.state == serving_state::serving;
    t.capacity = a.capacity;
    t.load = a.in_progress;
    t.serving_for = ramp_complete;
    return t;
}

} // namespace

std::vector<std::string_view> agent_load_service::depends_on() const
{
    return {announcer_service::service_name, metrics_service::service_name};
}

result<void> agent_load_service::start(kernel& k)
{
    runtime_ = k.find<runtime_service>(runtime_service::service_name);
    estimator_ = std::make_unique<capacity_estimator>(
        capacity_estimator::options{}, runtime_->time_source());
    agent_core& flows =
        k.find<agent_data_path>(agent_data_path::service_name)->core();
    flows.observe = [this](const flow_observation& o)
    { estimator_->observe(o); };
    flows.admit = [this](const flow_key&) { return admit(); };
    announcer& own =
        k.find<announcer_service>(announcer_service::service_name)->core();
    own.fill = [this, previous_fill = own.fill](announcement& a)
    {
        previous_fill(a);
        fill(a);
    };
    update_estimate();
    return add_metrics(k);
}

result<void> agent_load_service::add_metrics(const kernel& k)
{
    metric_registry& r =
        k.find<metrics_service>(metrics_service::service_name)->registry();
    BOOST_OUTCOME_TRYV(r.add_gauge({"briarfield_agent_capacity",
                                    "Requests per second that the server can "
                                    "process; 0 while unknown."},
                                   [this] { return estimate().capacity; }));
    BOOST_OUTCOME_TRYV(r.add_gauge(
        {"briarfield_agent_load", "Requests per second that arrive."},
        [this] { return estimate().load; }));
    BOOST_OUTCOME_TRYV(
        r.add_gauge({"briarfield_agent_slots",
                     "Requests that the server runs concurrently."},
                    [this] { return estimate().slots; }));
    BOOST_OUTCOME_TRYV(r.add_gauge(
        {"briarfield_agent_success", "Fraction of requests that succeed."},
        [this] { return estimate().success; }));
    return r.add_gauge(
        {"briarfield_agent_in_progress", "Requests in progress."},
        [this] { return static_cast<double>(estimator_->in_progress()); });
}

void agent_load_service::update_estimate()
{
    estimator_->step();
    runtime_->loop().timers().schedule(estimate_interval,
                                       [this] { update_estimate(); });
}

void agent_load_service::fill(announcement& a)
{
    const capacity_estimate& e = estimate();
    if (std::abs(e.capacity - announced_capacity_) >
        announce_band * announced_capacity_)
        announced_capacity_ = e.capacity;
    a.capacity = announced_capacity_;
    a.in_progress = e.load;
}

bool agent_load_service::admit() const
{
    const double limit = estimate().concurrency;
    return limit <= 0 || estimator_->in_progress() < limit;
}

std::vector<std::string_view> balancer_load_service::depends_on() const
{
    return {balancer_data_path::service_name, metrics_service::service_name};
}

result<void> balancer_load_service::start(kernel& k)
{
    runtime_ = k.find<runtime_service>(runtime_service::service_name);
    config_ = k.find<config_service>(config_service::service_name);
    directory_ = k.find<directory_service>(directory_service::service_name);
    weigher_ = std::make_unique<target_weigher>(target_weigher::options{});
    rate_scheduler::options rate;
    rate.rate = runtime_->config().balancer_new_flow_limit;
    shares_ = std::make_unique<rate_scheduler>(rate, runtime_->time_source());
    agent_registry& agents = directory_->control().agents();
    agents.on_announcement = [this](const announcement& a)
    { on_announcement(a); };
    agents.weight = [this](const announcement& a)
    {
        return weigher_->weight(make_service_id(a.team, a.service),
                                make_instance_id(a.instance));
    };
    k.find<balancer_data_path>(balancer_data_path::service_name)->core().admit =
        [this](const service_entry& entry) {
            return !shares_->contains(entry.service) ||
                   shares_->admit(entry.service);
        };
    runtime_->on_reload(
        [this]
        { shares_->set_rate(runtime_->config().balancer_new_flow_limit); });
    update_weights();
    update_shares();
    return ok();
}

void balancer_load_service::on_announcement(const announcement& a)
{
    weigher_->on_announcement(make_service_id(a.team, a.service), load_of(a),
                              runtime_->time_source().now());
}

void balancer_load_service::update_weights()
{
    agent_registry& agents = directory_->control().agents();
    for (const service_id changed :
         weigher_->step(runtime_->time_source().now()))
        if (agents.on_change)
            agents.on_change(changed, map_urgency::normal);
    runtime_->loop().timers().schedule(weigh_interval,
                                       [this] { update_weights(); });
}

void balancer_load_service::update_shares()
{
    apply_config();
    shares_->step();
    runtime_->loop().timers().schedule(rate_scheduler::options{}.interval,
                                       [this] { update_shares(); });
}

void balancer_load_service::apply_config()
{
    if (config_->version() == config_version_)
        return;
    config_version_ = config_->version();
    std::vector<share_class> classes;
    for (const auto& [id, spec] : config_->services())
        classes.push_back({id, make_service_id(spec.team, ""),
                           static_cast<unsigned>(spec.urgency_class),
                           spec.share});
    shares_->set_classes(classes);
}

} // namespace briarfield::app
