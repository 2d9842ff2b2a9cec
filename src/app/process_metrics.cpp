#include "process_metrics.hpp"

#include "logging.hpp"

#include <chrono>
#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace briarfield::app
{

namespace
{

double seconds_of(const timeval& t)
{
    constexpr double microsecond = 1e-6;
    return static_cast<double>(t.tv_sec) +
           static_cast<double>(t.tv_usec) * microsecond;
}

double cpu_seconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return seconds_of(usage.ru_utime) + seconds_of(usage.ru_stime);
}

double resident_bytes()
{
    std::ifstream in("/proc/self/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    in >> total >> resident;
    return static_cast<double>(resident) *
           static_cast<double>(sysconf(_SC_PAGESIZE));
}

double unix_seconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration<double>(now).count();
}

} // namespace

result<void> add_process_metrics(metric_registry& registry)
{
    const double started = unix_seconds();
    BOOST_OUTCOME_TRYV(registry.add_counter(
        {"process_cpu_seconds_total", "Processor time used, in seconds."},
        cpu_seconds));
    BOOST_OUTCOME_TRYV(registry.add_gauge(
        {"process_resident_memory_bytes", "Memory in use, in bytes."},
        resident_bytes));
    BOOST_OUTCOME_TRYV(registry.add_gauge(
        {"process_start_time_seconds", "Start time, in seconds since 1970."},
        [started] { return started; }));
    return registry.add_counter(
        {"briarfield_log_lines_suppressed_total",
         "Log lines not written: above the rate limit, or the output was not "
         "writable."},
        [] { return static_cast<double>(suppressed_log_lines()); });
}

} // namespace briarfield::app
