#ifndef BRIARFIELD_SRC_APP_LOGGING_HPP
#define BRIARFIELD_SRC_APP_LOGGING_HPP

#include "settings.hpp"

#include "briarfield/core/clock.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace briarfield::app
{

/// Bounds the lines written in a burst; what is above is counted.
class line_budget
{
public:
    static constexpr double default_burst = 200;     // Lines.
    static constexpr double default_per_second = 20; // Lines.

    explicit line_budget(double burst = default_burst,
                         double per_second = default_per_second)
        : burst_(burst), per_second_(per_second), left_(burst)
    {
    }

    /// Whether a line may be written at \a now.
    bool take(time_point now);

    /// Lines that were not written.
    std::uint64_t suppressed() const { return suppressed_; }

private:
    double burst_;
    double per_second_;
    double left_;
    time_point last_;
    std::uint64_t suppressed_ = 0;
};

/// One JSON object, without a line end, of a line of key=value pairs.
///
/// A line that is not of that form becomes the value of "message".
std::string json_log_line(std::string_view time,
                          std::string_view level,
                          std::string_view line);

/// When lines leave the process.
enum class log_delivery : std::uint8_t
{
    each_line, ///< At once.
    buffered   ///< By \ref flush_log, and at once from warnings on.
};

/// Sets up the process's log: level, format and budget.
///
/// Lines go to standard output, and are dropped and counted while nobody
/// reads it, so that writing never blocks.
void start_logging(const settings& s,
                   log_delivery delivery = log_delivery::each_line,
                   line_budget budget = line_budget());

/// Writes the lines that wait.
void flush_log();

/// Puts the level of \a s in force.
void set_log_level(const settings& s);

/// Lines not written since the start: above the budget, or nobody read.
std::uint64_t suppressed_log_lines();

} // namespace briarfield::app

#endif
