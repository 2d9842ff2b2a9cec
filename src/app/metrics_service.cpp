#include "metrics_service.hpp"

#include "process_metrics.hpp"

#include <chrono>

namespace briarfield::app
{

namespace
{

using namespace std::chrono_literals;

constexpr duration lag_interval = 250ms;

} // namespace

std::vector<std::string_view> metrics_service::depends_on() const
{
    return {runtime_service::service_name};
}

result<void> metrics_service::start(kernel& k)
{
    runtime_ = k.find<runtime_service>(runtime_service::service_name);
    auto added = add_process_metrics(k);
    if (!added)
        return added;
    measure_lag(runtime_->time_source().now());
    return ok();
}

result<void> metrics_service::add_process_metrics(const kernel& k)
{
    const auto counter = [this](const char* name, const char* help,
                                metric_registry::reader read) {
        return registry_.add_counter({name, help}, std::move(read));
    };
    const auto gauge =
        [this](const metric_info& info, metric_registry::reader read)
    { return registry_.add_gauge(info, std::move(read)); };

    BOOST_OUTCOME_TRYV(app::add_process_metrics(registry_));
    BOOST_OUTCOME_TRYV(
        counter("briarfield_reloads_total", "Successful settings reloads.",
                [this] { return static_cast<double>(runtime_->reloads()); }));
    BOOST_OUTCOME_TRYV(counter(
        "briarfield_reloads_refused_total",
        "Settings reloads rejected because of an error.",
        [this] { return static_cast<double>(runtime_->reloads_refused()); }));
    BOOST_OUTCOME_TRYV(gauge({"briarfield_build_info",
                              "Always 1; the version is a label.",
                              {{"version", BRIARFIELD_VERSION}}},
                             [] { return 1.0; }));
    BOOST_OUTCOME_TRYV(
        gauge({"briarfield_ready", "1 while /readyz answers 200."},
              [&k] { return k.ready() ? 1.0 : 0.0; }));
    return registry_.add_histogram(
        {"briarfield_loop_lag_seconds", "Delay of the event loop's timers."},
        loop_lag_);
}

void metrics_service::measure_lag(time_point due)
{
    const time_point now = runtime_->time_source().now();
    loop_lag_.record(now - due);
    runtime_->loop().timers().schedule(
        lag_interval, [this, next = now + lag_interval] { measure_lag(next); });
}

result<void> add_socket_metrics(metric_registry& registry,
                                const std::string& name,
                                const udp_socket& socket)
{
    BOOST_OUTCOME_TRYV(registry.add_counter(
        {"briarfield_socket_send_failures_total",
         "Datagrams that the kernel did not accept.",
         {{"socket", name}}},
        [&socket] { return static_cast<double>(socket.send_failures()); }));
    return registry.add_counter(
        {"briarfield_socket_oversized_total",
         "Datagrams longer than the receive buffer, dropped.",
         {{"socket", name}}},
        [&socket] { return static_cast<double>(socket.oversized()); });
}

} // namespace briarfield::app
