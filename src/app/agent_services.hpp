#ifndef BRIARFIELD_SRC_APP_AGENT_SERVICES_HPP
#define BRIARFIELD_SRC_APP_AGENT_SERVICES_HPP

#include "agent_tracer.hpp"
#include "runtime_service.hpp"

#include "briarfield/flow/agent_core.hpp"
#include "briarfield/net/udp_socket.hpp"

#include <optional>

namespace briarfield::app
{

/// Receives overlay datagrams, decides on each packet, and delivers it to the
/// backend server or forwards it.
class agent_data_path final : public service
{
public:
    static constexpr std::string_view service_name = "data_path";

    std::string_view name() const override { return service_name; }
    std::vector<std::string_view> depends_on() const override;
    result<void> start(kernel& k) override;
    void drain() override { core_->set_draining(true); }
    bool drained() const override { return core_->flows().size() == 0; }

    agent_core& core() const { return *core_; }

private:
    result<void> add_metrics(const kernel& k);
    void sweep();

    runtime_service* runtime_ = nullptr;
    std::optional<agent_tracer> tracer_;
    std::unique_ptr<agent_core> core_;
    std::unique_ptr<udp_socket> overlay_;
    std::unique_ptr<udp_socket> server_;
};

} // namespace briarfield::app

#endif
