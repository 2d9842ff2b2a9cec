#ifndef BRIARFIELD_SRC_APP_METRICS_SERVICE_HPP
#define BRIARFIELD_SRC_APP_METRICS_SERVICE_HPP

#include "metric_registry.hpp"
#include "runtime_service.hpp"

#include "briarfield/net/udp_socket.hpp"

namespace briarfield::app
{

/// Holds the metrics of the process; other services register theirs in start().
class metrics_service final : public service
{
public:
    static constexpr std::string_view service_name = "metrics";

    std::string_view name() const override { return service_name; }
    std::vector<std::string_view> depends_on() const override;
    result<void> start(kernel& k) override;

    metric_registry& registry() { return registry_; }

private:
    result<void> add_process_metrics(const kernel& k);
    void measure_lag(time_point due);

    runtime_service* runtime_ = nullptr;
    histogram loop_lag_ = histogram::of_durations();
    metric_registry registry_;
};

/// Publishes the counts of datagrams that \a socket failed to send or dropped
/// as oversized, with \a name as the label "socket".
///
/// Errors: as those of \ref metric_registry.
result<void> add_socket_metrics(metric_registry& registry,
                                const std::string& name,
                                const udp_socket& socket);

} // namespace briarfield::app

#endif
