#ifndef BRIARFIELD_SRC_APP_CONFIG_SERVICE_HPP
#define BRIARFIELD_SRC_APP_CONFIG_SERVICE_HPP

#include "runtime_service.hpp"

#include "briarfield/control/balancer_control.hpp"
#include "briarfield/control/config_follower.hpp"
#include "briarfield/control/http_object_store.hpp"

#include <map>
#include <optional>

namespace briarfield::app
{

/// Holds the operators' objects, as read from the object API or a peer.
class config_service final : public service
{
public:
    static constexpr std::string_view service_name = "config";

    std::string_view name() const override { return service_name; }
    std::vector<std::string_view> depends_on() const override;
    result<void> start(kernel& k) override;
    void stop() override;
    bool ready() const override { return follower_ && follower_->ready(); }
    std::string not_ready_reason() const override
    {
        return "no configuration from the object API or a peer yet";
    }

    const std::map<service_id, service_spec>& services() const
    {
        return current_->services;
    }
    std::uint64_t version() const { return current_->version; }

    /// The configuration in force.
    const configuration& current() const { return *current_; }

    /// Follower that reads the object API and exchanges documents with peers.
    config_follower& follower() { return *follower_; }

    /// Called after each change of the configuration.
    std::function<void()> on_change;

private:
    void on_follower_change();
    bool is_watcher() const;
    void log_rejected_objects(const configuration& previous) const;

    std::shared_ptr<const configuration> current_ =
        std::make_shared<configuration>();
    balancer_control* control_ = nullptr;
    std::optional<random_source> random_;
    std::unique_ptr<http_object_store> store_;
    std::unique_ptr<config_follower> follower_;
};

} // namespace briarfield::app

#endif
