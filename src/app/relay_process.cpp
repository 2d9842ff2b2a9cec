#include "relay_process.hpp"

#include "exit_code.hpp"
#include "logging.hpp"
#include "process_metrics.hpp"

#include <csignal>
#include <random>
#include <spdlog/spdlog.h>
#include <sys/stat.h>

namespace briarfield::app
{

namespace
{

using namespace std::chrono_literals;

constexpr std::string_view metrics_path = "/metrics";

/// Interval at which the modification time of the settings file is checked.
constexpr duration settings_check_interval = 500ms;

/// Interval at which buffered log lines are written.
constexpr duration log_flush_interval = 200ms;

} // namespace

relay_process::relay_process(settings s, std::string ready_path)
    : settings_(std::move(s)), ready_path_(std::move(ready_path)),
      random_(std::random_device()())
{
}

int relay_process::run()
{
    const auto opened = open();
    if (!opened)
    {
        spdlog::error("event=start_failed error=\"{}\"",
                      opened.error().message());
        return exit_start_failed;
    }
    spdlog::info("event=started instance={} zone={}", settings_.instance_name,
                 settings_.instance_zone);
    flush_lines();
    watch_settings();
    loop_->run();
    spdlog::info("event=stopped");
    flush_log();
    return exit_ok;
}

result<void> relay_process::open()
{
    BOOST_OUTCOME_TRY(loop, event_loop::create(clock_, tls_support::off));
    loop_ = std::move(loop);
    BOOST_OUTCOME_TRYV(loop_->watch_signals(
        {SIGTERM, SIGINT, SIGHUP}, [this](int number) { on_signal(number); }));
    BOOST_OUTCOME_TRYV(open_daemon());
    BOOST_OUTCOME_TRYV(add_process_metrics(metrics_));
    BOOST_OUTCOME_TRYV(metrics_.add_gauge(
        {"briarfield_ready", "1 while requests can be served."},
        [this] { return not_ready_reason().empty() ? 1.0 : 0.0; }));
    BOOST_OUTCOME_TRY(http,
                      http_server::create(*loop_, settings_.http_address,
                                          [this](const http_server_request& r,
                                                 const http_responder& out)
                                          { on_http(r, out); }));
    http_ = std::move(http);
    return ok();
}

void relay_process::finish_after(duration delay)
{
    loop_->timers().schedule(delay, [this] { loop_->stop(); });
}

void relay_process::on_signal(int number)
{
    if (number == SIGHUP)
        return reload();
    if (stopping_)
        return loop_->stop();
    stopping_ = true;
    spdlog::info("event=stopping signal={}", number);
    on_terminate();
}

void relay_process::on_http(const http_server_request& r,
                            const http_responder& out)
{
    if (r.path == metrics_path)
        return out.reply(200, metrics_.text(), "text/plain");
    if (r.path == ready_path_)
        return answer_ready(out);
    out.reply(404, "{\"error\":\"no such path\"}");
}

void relay_process::answer_ready(const http_responder& out)
{
    const std::string reason = stopping_ ? "stopping" : not_ready_reason();
    if (reason != reported_reason_)
    {
        reported_reason_ = reason;
        spdlog::info("event={} reason=\"{}\"",
                     reason.empty() ? "ready" : "not_ready", reason);
    }
    out.reply(reason.empty() ? 200 : 503, "{}");
}

void relay_process::watch_settings()
{
    struct stat info;
    if (stat(settings_.source_file.c_str(), &info) == 0)
    {
        const auto mtime =
            std::make_pair(info.st_mtim.tv_sec, info.st_mtim.tv_nsec);
        if (settings_mtime_ != mtime && settings_mtime_.first != 0)
            reload();
        settings_mtime_ = mtime;
    }
    loop_->timers().schedule(settings_check_interval,
                             [this] { watch_settings(); });
}

void relay_process::reload()
{
    const auto changed = load_settings(settings_.source_file, settings_.role);
    settings next = settings_;
    const result<void> applied = changed ? apply_reload(next, changed.value())
                                         : result<void>(changed.error());
    if (!applied)
    {
        spdlog::warn("event=reload_refused error=\"{}\"",
                     applied.error().message());
        return;
    }
    settings_ = next;
    set_log_level(settings_);
    spdlog::info("event=reloaded");
    on_settings(settings_);
}

void relay_process::flush_lines()
{
    flush_log();
    loop_->timers().schedule(log_flush_interval, [this] { flush_lines(); });
}

} // namespace briarfield::app
