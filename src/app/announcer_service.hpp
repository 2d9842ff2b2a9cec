#ifndef BRIARFIELD_SRC_APP_ANNOUNCER_SERVICE_HPP
#define BRIARFIELD_SRC_APP_ANNOUNCER_SERVICE_HPP

#include "agent_services.hpp"

#include "briarfield/control/announcer.hpp"
#include "briarfield/net/udp_socket.hpp"

namespace briarfield::app
{

/// Announces this instance to the balancers and processes their grants.
class announcer_service final : public service
{
public:
    static constexpr std::string_view service_name = "announcer";

    std::string_view name() const override { return service_name; }
    std::vector<std::string_view> depends_on() const override;
    result<void> start(kernel& k) override;
    bool ready() const override { return core_->leased(); }
    std::string not_ready_reason() const override
    {
        return "no valid lease from any balancer";
    }
    void drain() override { core_->set_state(serving_state::draining); }
    void stop() override { core_->set_state(serving_state::stopped); }

    announcer& core() const { return *core_; }

private:
    void poll();
    void send(const endpoint& to, const announcement& a);
    void on_datagram(byte_span bytes);
    void apply_config(const service_grant& grant);

    runtime_service* runtime_ = nullptr;
    agent_data_path* data_path_ = nullptr;
    std::unique_ptr<udp_socket> socket_;
    std::unique_ptr<announcer> core_;
    bool was_leased_ = false;
    std::uint64_t config_version_ = 0; ///< Highest version in a grant so far.
};

} // namespace briarfield::app

#endif
