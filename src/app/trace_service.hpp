#ifndef BRIARFIELD_SRC_APP_TRACE_SERVICE_HPP
#define BRIARFIELD_SRC_APP_TRACE_SERVICE_HPP

#include "runtime_service.hpp"
#include "span.hpp"

#include "briarfield/net/http_client.hpp"

#include <memory>
#include <string_view>

namespace briarfield::app
{

/// Collects spans and exports them by OTLP/HTTP JSON.
///
/// Without `trace.collector` no flow is sampled and no span is recorded.
class trace_service final : public service
{
public:
    static constexpr std::string_view service_name = "trace";

    /// Attributes of a span.
    using attributes = std::vector<std::pair<std::string, std::string>>;

    std::string_view name() const override { return service_name; }
    std::vector<std::string_view> depends_on() const override;
    result<void> start(kernel& k) override;
    void stop() override;

    /// Whether a collector is configured.
    bool enabled() const { return client_ != nullptr; }

    /// Starts a trace for a flow that the balancer is forwarding, if the flow
    /// is sampled; returns whether it is.
    ///
    /// Records the spans "fabric" and "balancer" and sets \a out to the context
    /// of the latter.
    bool sample_flow(trace_context& out);

    /// Records a hop of duration \a length that ends now, and returns its
    /// context for the next hop.
    trace_context record_hop(const trace_context& parent,
                             std::string_view name,
                             duration length,
                             attributes values,
                             bool failed = false);

    /// Records a control action of duration \a length that ends now, in a new
    /// trace.
    void record_action(std::string_view name,
                       duration length,
                       attributes values,
                       bool failed = false);

private:
    void apply_ratio();
    void push(const trace_context& context,
              const trace_context* parent,
              std::string_view name,
              duration length,
              attributes values,
              bool failed);
    void export_batch();
    result<void> add_metrics(const kernel& k);

    runtime_service* runtime_ = nullptr;
    std::unique_ptr<http_client> client_;
    http_client::exchange_ptr exchange_;
    std::unique_ptr<trace_sampler> sampler_;
    span_queue queue_{queue_limit};
    std::uint64_t exported_ = 0;

    static constexpr std::size_t queue_limit = 2048; // Spans.
};

} // namespace briarfield::app

#endif
