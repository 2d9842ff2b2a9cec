#ifndef BRIARFIELD_SRC_APP_SPAN_HPP
#define BRIARFIELD_SRC_APP_SPAN_HPP

#include "briarfield/core/clock.hpp"
#include "briarfield/core/random.hpp"
#include "briarfield/packet/overlay_header.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace briarfield::app
{

/// One hop of a sampled flow, or one control action.
struct span
{
    trace_context context;                ///< Trace id and id of this span.
    std::array<std::uint8_t, 8> parent{}; ///< Parent span id; zero for a root.
    std::string name;                     ///< "balancer", "agent".
    std::uint64_t start = 0;              ///< Nanoseconds since 1970.
    std::uint64_t end = 0;                ///< Nanoseconds since 1970.
    bool failed = false;
    std::vector<std::pair<std::string, std::string>> attributes{};
};

/// Bounded queue of spans for export; spans that do not fit are dropped and
/// counted.
class span_queue
{
public:
    explicit span_queue(std::size_t capacity) : capacity_(capacity) {}

    void push(span s);

    /// Removes and returns the oldest spans, at most \a limit.
    std::vector<span> take(std::size_t limit);

    std::size_t size() const { return spans_.size(); }
    std::uint64_t dropped() const { return dropped_; }

    /// Counts spans that were removed but not received by the collector.
    void add_dropped(std::uint64_t count) { dropped_ += count; }

private:
    std::size_t capacity_;
    std::deque<span> spans_;
    std::uint64_t dropped_ = 0;
};

/// Selects the flows that are traced: a random fraction, limited in rate.
class trace_sampler
{
public:
    /// Maximum number of traces that a process starts per second.
    static constexpr double rate_limit = 200;

    explicit trace_sampler(std::uint64_t seed) : random_(seed) {}

    /// Sets the fraction of flows to sample, 0 to 1.
    void set_ratio(double ratio) { ratio_ = ratio; }

    /// Fills \a out with new ids if a flow that opens at \a now is sampled.
    bool sample(time_point now, trace_context& out);

    /// A new span of the same trace.
    trace_context child_of(const trace_context& parent);

    /// A new trace, regardless of ratio and rate limit.
    trace_context root();

private:
    double ratio_ = 0;
    double tokens_ = rate_limit;
    time_point last_{};
    random_source random_;
};

/// The W3C traceparent header of \a context: "00-TRACE-SPAN-01".
std::string traceparent(const trace_context& context);

/// Body of an OTLP/HTTP JSON export (opentelemetry-proto 1.x).
std::string otlp_json(const std::vector<span>& spans,
                      const std::string& instance,
                      const std::string& zone);

} // namespace briarfield::app

#endif
