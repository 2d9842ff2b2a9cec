#include "agent_services.hpp"

#include "metrics_service.hpp"

#include <chrono>
#include <random>
#include <spdlog/spdlog.h>

namespace briarfield::app
{

namespace
{

using namespace std::chrono_literals;

constexpr duration expiry_interval = 1s;

} // namespace

std::vector<std::string_view> agent_data_path::depends_on() const
{
    return {runtime_service::service_name};
}

result<void> agent_data_path::start(kernel& k)
{
    runtime_ = k.find<runtime_service>(runtime_service::service_name);
    const settings& s = runtime_->config();
    agent_core::options opts;
    opts.service = make_service_id(s.agent_team, s.agent_service);
    opts.local_address = s.agent_overlay;
    opts.flow_seed = std::random_device{}();
    core_ = std::make_unique<agent_core>(opts, runtime_->time_source(),
                                         runtime_->keys());
    auto overlay = udp_socket::create(runtime_->loop(), s.agent_overlay,
                                      [this](byte_span bytes, const endpoint&)
                                      { core_->on_overlay(bytes); });
    if (!overlay)
        return fail(overlay.error().code, overlay.error().detail);
    overlay_ = std::move(overlay.value());
    auto server = udp_socket::create(runtime_->loop(), s.agent_server,
                                     [this](byte_span bytes, const endpoint&)
                                     { core_->on_server_packet(bytes); });
    if (!server)
        return fail(server.error().code, server.error().detail);
    server_ = std::move(server.value());
    core_->to_server = [this, &s](const_byte_span p)
    { server_->send(s.server_address, p); };
    core_->to_fabric = [this, &s](const_byte_span p)
    { overlay_->send(s.fabric_address, p); };
    core_->hash = flow_hasher(runtime_->flow_secret());
    core_->to_agent = [this](const endpoint& to, const_byte_span d)
    { overlay_->send(to, d); };
    if (auto* trace = k.find<trace_service>(trace_service::service_name))
    {
        tracer_.emplace(*trace, runtime_->time_source());
        tracer_->attach(*core_);
    }
    sweep();
    return add_metrics(k);
}

result<void> agent_data_path::add_metrics(const kernel& k)
{
    auto* metrics = k.find<metrics_service>(metrics_service::service_name);
    if (metrics == nullptr)
        return ok();
    metric_registry& r = metrics->registry();
    BOOST_OUTCOME_TRYV(r.add_counters(
        {"briarfield_agent_packets_total", "Packets at the agent, by outcome."},
        "event", core_->counters(), agent_event_name));
    BOOST_OUTCOME_TRYV(
        r.add_gauge({"briarfield_agent_flows", "Open flows."}, [this]
                    { return static_cast<double>(core_->flows().size()); }));
    BOOST_OUTCOME_TRYV(add_socket_metrics(r, "overlay", *overlay_));
    return add_socket_metrics(r, "server", *server_);
}

void agent_data_path::sweep()
{
    core_->expire();
    runtime_->loop().timers().schedule(expiry_interval, [this] { sweep(); });
}

} // namespace briarfield::app
