#include "logging.hpp"

#include "setting_row.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace briarfield::app
{

namespace
{

constexpr const char* text_pattern = "%Y-%m-%dT%H:%M:%S.%e%z %l %v";
constexpr const char* time_pattern = "%Y-%m-%dT%H:%M:%S.%e%z";

std::string_view view_of(const spdlog::memory_buf_t& buffer)
{
    return {buffer.data(), buffer.size()};
}

/// Writes lines to standard output, within a rate limit.
class budget_sink final
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
    budget_sink(bool json, line_budget budget)
        : json_(json), budget_(budget),
          time_(std::make_unique<spdlog::pattern_formatter>(
              time_pattern, spdlog::pattern_time_type::local, ""))
    {
    }

    std::uint64_t lost_lines() const
    {
        return budget_.suppressed() + dropped_lines_;
    }

protected:
    void sink_it_(const spdlog::details::log_msg& message) override
    {
        if (!budget_.try_take(clock_.now()))
            return;
        spdlog::memory_buf_t buffer;
        if (!json_)
        {
            formatter_->format(message, buffer);
            return append(view_of(buffer));
        }
        time_->format(message, buffer);
        const auto level = spdlog::level::to_string_view(message.level);
        append(json_log_line(view_of(buffer), {level.data(), level.size()},
                             {message.payload.data(), message.payload.size()}) +
               "\n");
    }

    void flush_() override { write_buffered(); }

private:
    /// Bytes; a write to a pipe of at most PIPE_BUF bytes is atomic.
    static constexpr std::size_t max_write = 4096;

    void append(std::string_view line)
    {
        if (buffer_.size() + line.size() > max_write)
            write_buffered();
        buffer_.append(line);
        ++buffered_lines_;
    }

    /// Drops the lines if standard output is not writable.
    void write_buffered()
    {
        if (buffer_.empty())
            return;
        pollfd out{STDOUT_FILENO, POLLOUT, 0};
        const bool writable =
            poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
        if (!writable ||
            write(STDOUT_FILENO, buffer_.data(), buffer_.size()) < 0)
            dropped_lines_ += buffered_lines_;
        buffer_.clear();
        buffered_lines_ = 0;
    }

    bool json_;
    line_budget budget_;
    std::unique_ptr<spdlog::formatter> time_;
    steady_clock clock_;
    std::string buffer_;
    std::uint64_t buffered_lines_ = 0;
    std::uint64_t dropped_lines_ = 0; ///< Lines dropped: not writable.
};

/// Sink of the process; \ref suppressed_log_lines reads its count.
std::shared_ptr<budget_sink>& process_sink()
{
    static std::shared_ptr<budget_sink> sink;
    return sink;
}

/// Parses `key=value key="value"` pairs; false if the line has another form.
bool read_pairs(std::string_view line, nlohmann::ordered_json& out)
{
    while (!line.empty())
    {
        const auto equals = line.find('=');
        if (equals == 0 || equals == std::string_view::npos)
            return false;
        const std::string key(line.substr(0, equals));
        if (key.find(' ') != std::string::npos)
            return false;
        line.remove_prefix(equals + 1);
        const bool quoted = !line.empty() && line.front() == '"';
        if (quoted)
            line.remove_prefix(1);
        const auto end = line.find(quoted ? "\" " : " ");
        std::string_view value = line.substr(0, end);
        line.remove_prefix(end == std::string_view::npos
                               ? line.size()
                               : end + (quoted ? 2 : 1));
        if (quoted && end == std::string_view::npos)
        {
            if (value.empty() || value.back() != '"')
                return false;
            value.remove_suffix(1);
        }
        out[key] = std::string(value);
    }
    return true;
}

const std::string& level_of(const settings& s)
{
    return s.log_level_option.empty() ? s.log_level : s.log_level_option;
}

} // namespace

bool line_budget::try_take(time_point now)
{
    const std::chrono::duration<double> elapsed = now - last_;
    last_ = now;
    tokens_ = std::min(burst_, tokens_ + elapsed.count() * per_second_);
    if (tokens_ < 1)
    {
        ++suppressed_;
        return false;
    }
    tokens_ -= 1;
    return true;
}

std::string json_log_line(std::string_view time,
                          std::string_view level,
                          std::string_view line)
{
    nlohmann::ordered_json out;
    out["time"] = std::string(time);
    out["level"] = std::string(level);
    nlohmann::ordered_json with_pairs = out;
    if (read_pairs(line, with_pairs))
        out = std::move(with_pairs);
    else
        out["message"] = std::string(line);
    return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

namespace
{

void log_environment(const settings& s)
{
    for (const std::string& key : s.environment_keys)
        spdlog::info("event=setting_from_environment key={} value=\"{}\"", key,
                     print_value(*find_setting_row(key), s));
    for (const std::string& variable : s.unfilled_variables)
        spdlog::warn("event=variable_unfilled variable={}", variable);
}

} // namespace

void start_logging(const settings& s, log_delivery delivery, line_budget budget)
{
    const std::string& format =
        s.log_format_option.empty() ? s.log_format : s.log_format_option;
    process_sink() = std::make_shared<budget_sink>(format == "json", budget);
    auto logger =
        std::make_shared<spdlog::logger>("briarfield", process_sink());
    logger->set_pattern(text_pattern);
    logger->flush_on(delivery == log_delivery::each_line ? spdlog::level::trace
                                                         : spdlog::level::warn);
    spdlog::set_default_logger(std::move(logger));
    set_log_level(s);
    log_environment(s);
}

void flush_log()
{
    spdlog::default_logger_raw()->flush();
}

void set_log_level(const settings& s)
{
    spdlog::set_level(spdlog::level::from_str(level_of(s)));
}

std::uint64_t suppressed_log_lines()
{
    return process_sink() ? process_sink()->lost_lines() : 0;
}

} // namespace briarfield::app
