#ifndef BRIARFIELD_SRC_APP_RUNTIME_SERVICE_HPP
#define BRIARFIELD_SRC_APP_RUNTIME_SERVICE_HPP

#include "settings.hpp"

#include "briarfield/control/announcement.hpp"
#include "briarfield/core/kernel.hpp"
#include "briarfield/net/event_loop.hpp"
#include "briarfield/packet/overlay_header.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace briarfield::app
{

/// Settings, clock, event loop and keys, which all services of a daemon use.
class runtime_service final : public service
{
public:
    static constexpr std::string_view service_name = "runtime";

    explicit runtime_service(settings s) : settings_(std::move(s)) {}

    std::string_view name() const override { return service_name; }
    result<void> start(kernel& k) override;

    /// Reads settings and keys again and applies them; on any error none of
    /// them changes.
    void reload();

    /// Calls \a hook after each successful reload.
    void on_reload(std::function<void()> hook)
    {
        reload_hooks_.push_back(std::move(hook));
    }

    /// Numbers of successful and of rejected reloads.
    std::uint64_t reloads() const { return reloads_; }
    std::uint64_t reloads_refused() const { return reloads_refused_; }

    const settings& config() const { return settings_; }
    const clock& time_source() const { return clock_; }
    event_loop& loop() const { return *loop_; }
    const overlay_keyring& keys() const { return keys_; }
    const message_authenticator& authenticator() const { return *control_; }

    /// Incarnation of this process: milliseconds since 1970 by the wall clock.
    /// It may be lower than that of an earlier start if the clock was set back.
    static std::uint64_t start_incarnation();

    /// Secret from which the flow hash is derived.
    const_byte_span flow_secret() const;

private:
    result<void> try_reload();

    settings settings_;
    steady_clock clock_;
    std::unique_ptr<event_loop> loop_;
    overlay_keyring keys_;
    std::string flow_secret_;
    std::optional<message_authenticator> control_;
    std::vector<std::function<void()>> reload_hooks_;
    std::uint64_t reloads_ = 0;
    std::uint64_t reloads_refused_ = 0;
};

} // namespace briarfield::app

#endif
