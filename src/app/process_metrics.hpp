#ifndef BRIARFIELD_SRC_APP_PROCESS_METRICS_HPP
#define BRIARFIELD_SRC_APP_PROCESS_METRICS_HPP

#include "metric_registry.hpp"

namespace briarfield::app
{

/// Publishes processor time, memory, time of the start and lost log lines of
/// this process.
///
/// Errors: errc::internal for a name that Prometheus refuses.
result<void> add_process_metrics(metric_registry& registry);

} // namespace briarfield::app

#endif
