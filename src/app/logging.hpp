#ifndef BRIARFIELD_SRC_APP_LOGGING_HPP
#define BRIARFIELD_SRC_APP_LOGGING_HPP

#include "settings.hpp"

#include "briarfield/core/clock.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace briarfield::app
{

/// Token bucket that limits the rate of log lines and counts the suppressed
/// ones.
class line_budget
{
public:
    static constexpr double default_burst = 200;     // Lines.
    static constexpr double default_per_second = 20; // Lines per second.

    explicit line_budget(double burst = default_burst,
                         double per_second = default_per_second)
        : burst_(burst), per_second_(per_second), tokens_(burst)
    {
    }

    /// Takes a token; returns false if none is left and the line must be
    /// suppressed.
    bool try_take(time_point now);

    /// Number of suppressed lines.
    std::uint64_t suppressed() const { return suppressed_; }

private:
    double burst_;
    double per_second_;
    double tokens_;
    time_point last_;
    std::uint64_t suppressed_ = 0;
};

/// Converts a line of key=value pairs to a JSON object, without a line end.
///
/// A line of another form becomes the value of "message".
std::string json_log_line(std::string_view time,
                          std::string_view level,
                          std::string_view line);

/// When log lines are written to standard output.
enum class log_delivery : std::uint8_t
{
    each_line, ///< Immediately.
    buffered   ///< On \ref flush_log, and on each warning or error.
};

/// Sets up the log of the process: level, format and rate limit; then logs the
/// settings that come from the environment.
///
/// Lines are written to standard output. While it is not writable, because its
/// reader is slow, lines are dropped and counted, so that writing never blocks.
void start_logging(const settings& s,
                   log_delivery delivery = log_delivery::each_line,
                   line_budget budget = line_budget());

/// Writes the buffered lines.
void flush_log();

/// Sets the log level from \a s.
void set_log_level(const settings& s);

/// Lines not written since the start: above the rate limit, or standard output
/// was not writable.
std::uint64_t suppressed_log_lines();

} // namespace briarfield::app

#endif
