#ifndef BRIARFIELD_SRC_APP_DIRECTORY_SERVICE_HPP
#define BRIARFIELD_SRC_APP_DIRECTORY_SERVICE_HPP

#include "balancer_services.hpp"

#include "briarfield/control/balancer_control.hpp"
#include "briarfield/net/udp_socket.hpp"

namespace briarfield::app
{

/// Sends and receives the control datagrams of a balancer.
class directory_service final : public service
{
public:
    static constexpr std::string_view service_name = "directory";

    std::string_view name() const override { return service_name; }
    std::vector<std::string_view> depends_on() const override;
    result<void> start(kernel& k) override;
    void drain() override { control_->leave(); }

    balancer_control& control() const { return *control_; }

private:
    void poll();
    void on_datagram(byte_span bytes, const endpoint& from);
    void send(const endpoint& to, const control_datagram& d);

    runtime_service* runtime_ = nullptr;
    std::unique_ptr<udp_socket> socket_;
    std::unique_ptr<balancer_control> control_;
};

} // namespace briarfield::app

#endif
