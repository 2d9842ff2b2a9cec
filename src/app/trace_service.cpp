#include "trace_service.hpp"

#include "metrics_service.hpp"

#include <chrono>
#include <random>

namespace briarfield::app
{

namespace
{

using namespace std::chrono_literals;

constexpr duration export_interval = 1s;
constexpr std::size_t batch_limit = 512; // Spans per request.

std::uint64_t unix_nanoseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::nanoseconds>(now).count());
}

std::uint64_t random_seed()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

} // namespace

std::vector<std::string_view> trace_service::depends_on() const
{
    return {runtime_service::service_name, metrics_service::service_name};
}

result<void> trace_service::start(kernel& k)
{
    runtime_ = k.find<runtime_service>(runtime_service::service_name);
    sampler_ = std::make_unique<trace_sampler>(random_seed());
    const endpoint& collector = runtime_->config().trace_collector;
    if (collector != endpoint{})
    {
        http_client::options opts;
        opts.host = collector.address.to_string();
        opts.port = collector.port;
        client_ = std::make_unique<http_client>(runtime_->loop(), opts);
        export_batch();
    }
    apply_ratio();
    runtime_->on_reload(
        [this]
        {
            apply_ratio();
            record_action("reload", duration{0}, {});
        });
    return add_metrics(k);
}

void trace_service::stop()
{
    if (exchange_)
        http_client::abandon(exchange_);
    client_.reset();
}

result<void> trace_service::add_metrics(const kernel& k)
{
    metric_registry& r =
        k.find<metrics_service>(metrics_service::service_name)->registry();
    BOOST_OUTCOME_TRYV(r.add_counter(
        {"briarfield_spans_exported_total", "Spans accepted by the collector."},
        [this] { return static_cast<double>(exported_); }));
    return r.add_counter(
        {"briarfield_spans_dropped_total",
         "Spans dropped: the queue was full or the export failed."},
        [this] { return static_cast<double>(queue_.dropped()); });
}

void trace_service::apply_ratio()
{
    sampler_->set_ratio(enabled() ? runtime_->config().trace_ratio : 0.0);
}

bool trace_service::sample_flow(trace_context& out)
{
    if (!sampler_->sample(runtime_->time_source().now(), out))
        return false;
    push(out, nullptr, "fabric", duration{0}, {}, false);
    out = record_hop(out, "balancer", duration{0}, {});
    return true;
}

trace_context trace_service::record_hop(const trace_context& parent,
                                        std::string_view name,
                                        duration length,
                                        attributes values,
                                        bool failed)
{
    const trace_context own = sampler_->child_of(parent);
    push(own, &parent, name, length, std::move(values), failed);
    return own;
}

void trace_service::record_action(std::string_view name,
                                  duration length,
                                  attributes values,
                                  bool failed)
{
    push(sampler_->root(), nullptr, name, length, std::move(values), failed);
}

void trace_service::push(const trace_context& context,
                         const trace_context* parent,
                         std::string_view name,
                         duration length,
                         attributes values,
                         bool failed)
{
    if (!enabled())
        return;
    span s;
    s.context = context;
    if (parent != nullptr)
        s.parent = parent->span_id;
    s.name = std::string(name);
    s.end = unix_nanoseconds();
    s.start = s.end - static_cast<std::uint64_t>(length.count());
    s.attributes = std::move(values);
    s.failed = failed;
    queue_.push(std::move(s));
}

void trace_service::export_batch()
{
    runtime_->loop().timers().schedule(export_interval,
                                       [this] { export_batch(); });
    if (exchange_ || queue_.size() == 0 || !enabled())
        return;
    const std::vector<span> batch = queue_.take(batch_limit);
    const std::uint64_t count = batch.size();
    http_request request;
    request.method = "POST";
    request.path = "/v1/traces";
    request.headers = {{"content-type", "application/json"}};
    request.body = otlp_json(batch, runtime_->config().instance_name,
                             runtime_->config().instance_zone);
    exchange_ =
        client_->start(std::move(request),
                       [this, count](const result<http_response>& answer)
                       {
                           exchange_.reset();
                           constexpr int success = 2; // Of 200 to 299.
                           if (answer && answer.value().status / 100 == success)
                               exported_ += count;
                           else
                               queue_.add_dropped(count);
                       });
}

} // namespace briarfield::app
