#ifndef BRIARFIELD_SRC_APP_PROCESS_METRICS_HPP
#define BRIARFIELD_SRC_APP_PROCESS_METRICS_HPP

#include "metric_registry.hpp"

namespace briarfield::app
{

/// Publishes processor time, memory, start time and suppressed log lines of
/// this process.
///
/// Errors: as those of \ref metric_registry.
result<void> add_process_metrics(metric_registry& registry);

} // namespace briarfield::app

#endif
