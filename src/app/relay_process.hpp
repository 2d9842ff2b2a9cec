#ifndef BRIARFIELD_SRC_APP_RELAY_PROCESS_HPP
#define BRIARFIELD_SRC_APP_RELAY_PROCESS_HPP

#include "metric_registry.hpp"
#include "settings.hpp"

#include "briarfield/core/random.hpp"
#include "briarfield/net/event_loop.hpp"
#include "briarfield/net/http_server.hpp"

#include <memory>
#include <string>
#include <utility>

namespace briarfield::app
{

/// Base class of the relay daemons: event loop, signals, readiness, metrics and
/// settings file.
///
/// The settings file is reloaded on SIGHUP and whenever its modification time
/// changes.
class relay_process
{
public:
    /// \param ready_path HTTP path that replies 200 while requests can be
    /// served, else 503.
    relay_process(settings s, std::string ready_path);
    virtual ~relay_process() = default;
    relay_process(const relay_process&) = delete;
    relay_process& operator=(const relay_process&) = delete;

    /// Runs until a signal stops it; returns the exit code.
    int run();

protected:
    /// Opens the daemon's own sockets and components; an error ends the
    /// process.
    virtual result<void> open_daemon() = 0;

    /// Empty while requests can be served, else the reason why not.
    virtual std::string not_ready_reason() const = 0;

    /// Called on the first SIGTERM or SIGINT; the daemon must call \ref
    /// finish_after.
    virtual void on_terminate() = 0;

    /// Called after a reload has changed the settings.
    virtual void on_settings(const settings&) {}

    /// Stops the loop after \a delay.
    void finish_after(duration delay);

    event_loop& loop() { return *loop_; }
    random_source& random() { return random_; }
    const settings& config() const { return settings_; }
    metric_registry& metrics() { return metrics_; }

private:
    result<void> open();
    void on_signal(int number);
    void on_http(const http_server_request& r, const http_responder& out);
    void answer_ready(const http_responder& out);
    void watch_settings();
    void reload();
    void flush_lines();

    steady_clock clock_;
    settings settings_;
    std::string ready_path_;
    random_source random_;
    std::unique_ptr<event_loop> loop_;
    std::unique_ptr<http_server> http_;
    metric_registry metrics_;
    std::string reported_reason_ = "starting";
    std::pair<time_t, long> settings_mtime_{}; ///< Modification time.
    bool stopping_ = false;
};

/// Time that a stopping daemon keeps running so that its leave messages are
/// sent.
constexpr duration leave_message_time = std::chrono::milliseconds(50);

} // namespace briarfield::app

#endif
