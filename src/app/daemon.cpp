#include "daemon.hpp"

#include "agent_services.hpp"
#include "announcer_service.hpp"
#include "balancer_services.hpp"
#include "directory_service.hpp"
#include "exit_code.hpp"
#include "load_service.hpp"
#include "logging.hpp"
#include "map_service.hpp"
#include "metrics_service.hpp"
#include "status_service.hpp"
#include "trace_service.hpp"

#include <csignal>
#include <functional>
#include <spdlog/spdlog.h>

namespace briarfield::app
{

namespace
{

using namespace std::chrono_literals;

constexpr duration drain_check_interval = 100ms;

/// Bounds on the duration of a drain. Evaluated again at each check, since a
/// reload may change the settings.
struct drain_policy
{
    duration min_duration{}; ///< The drain takes at least this long.
    duration max_duration{}; ///< The daemon stops after this, drained or not.
};

/// Starts the kernel, serves, reloads and drains on signals, and stops.
class daemon
{
public:
    using policy_function = std::function<drain_policy(const settings&)>;

    daemon(kernel& k, policy_function policy)
        : kernel_(&k), policy_(std::move(policy))
    {
    }

    int run()
    {
        auto started = kernel_->start();
        if (!started)
        {
            spdlog::error("event=start_failed error=\"{}\"",
                          started.error().message());
            return exit_start_failed;
        }
        runtime_ =
            kernel_->find<runtime_service>(runtime_service::service_name);
        loop_ = &runtime_->loop();
        auto watched =
            loop_->watch_signals({SIGTERM, SIGINT, SIGHUP},
                                 [this](int number) { on_signal(number); });
        if (!watched)
        {
            spdlog::error("event=start_failed error=\"{}\"",
                          watched.error().message());
            kernel_->stop();
            return exit_start_failed;
        }
        spdlog::info("event=started");
        loop_->run();
        kernel_->stop();
        spdlog::info("event=stopped exit_code={}", exit_code_);
        return exit_code_;
    }

private:
    void on_signal(int number)
    {
        if (number == SIGHUP)
            return runtime_->reload();
        if (kernel_->draining())
            return finish(kernel_->drained() ? exit_ok : exit_drain_cut);
        spdlog::info("event=draining");
        kernel_->drain();
        drain_started_ = loop_->timers().now();
        check_drained();
    }

    void check_drained()
    {
        const drain_policy policy = policy_(runtime_->config());
        const duration age = loop_->timers().now() - drain_started_;
        if (kernel_->drained() && age >= policy.min_duration)
            return finish(exit_ok);
        if (age >= policy.max_duration)
            return finish(exit_drain_cut);
        loop_->timers().schedule(drain_check_interval,
                                 [this] { check_drained(); });
    }

    void finish(int code)
    {
        exit_code_ = code;
        loop_->stop();
    }

    kernel* kernel_;
    policy_function policy_;
    runtime_service* runtime_ = nullptr;
    event_loop* loop_ = nullptr;
    time_point drain_started_;
    int exit_code_ = exit_ok;
};

drain_policy balancer_policy(const settings& s)
{
    return {s.balancer_withdrawal, s.balancer_drain_limit};
}

/// An agent drains for at least 1 s, even without flows, so that its last
/// announcement is sent before it stops.
drain_policy agent_policy(const settings& s)
{
    constexpr duration min_drain = 1s;
    return {min_drain, s.agent_drain_limit};
}

} // namespace

int run_balancer(settings s)
{
    start_logging(s);
    kernel k;
    (void)k.add(std::make_unique<runtime_service>(std::move(s)));
    (void)k.add(std::make_unique<config_service>());
    (void)k.add(std::make_unique<directory_service>());
    (void)k.add(std::make_unique<map_service>());
    (void)k.add(std::make_unique<balancer_data_path>());
    (void)k.add(std::make_unique<balancer_load_service>());
    (void)k.add(std::make_unique<metrics_service>());
    (void)k.add(std::make_unique<trace_service>());
    (void)k.add(std::make_unique<status_service>());
    return daemon(k, balancer_policy).run();
}

int run_agent(settings s)
{
    start_logging(s);
    kernel k;
    (void)k.add(std::make_unique<runtime_service>(std::move(s)));
    (void)k.add(std::make_unique<agent_data_path>());
    (void)k.add(std::make_unique<announcer_service>());
    (void)k.add(std::make_unique<agent_load_service>());
    (void)k.add(std::make_unique<metrics_service>());
    (void)k.add(std::make_unique<trace_service>());
    (void)k.add(std::make_unique<status_service>());
    return daemon(k, agent_policy).run();
}

} // namespace briarfield::app
