#ifndef BRIARFIELD_SRC_APP_BALANCER_SERVICES_HPP
#define BRIARFIELD_SRC_APP_BALANCER_SERVICES_HPP

#include "config_service.hpp"
#include "runtime_service.hpp"

#include "briarfield/net/udp_socket.hpp"
#include "briarfield/route/balancer_core.hpp"

namespace briarfield::app
{

/// Receives packets from the fabric, decides on each, and forwards it to an
/// agent.
class balancer_data_path final : public service
{
public:
    static constexpr std::string_view service_name = "data_path";

    std::string_view name() const override { return service_name; }
    std::vector<std::string_view> depends_on() const override;
    result<void> start(kernel& k) override;

    balancer_core& core() const { return *core_; }

private:
    result<void> add_metrics(const kernel& k);
    void on_batch(const udp_socket::datagram* batch, std::size_t count);

    std::unique_ptr<balancer_core> core_;
    std::array<balancer_verdict, balancer_core::max_batch> verdicts_;
    std::unique_ptr<udp_socket> fabric_;
    std::unique_ptr<udp_socket> overlay_;
};

} // namespace briarfield::app

#endif
