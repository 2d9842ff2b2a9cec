#include "balancer_services.hpp"

#include "map_service.hpp"
#include "metrics_service.hpp"
#include "trace_service.hpp"

#include <spdlog/spdlog.h>

namespace briarfield::app
{

std::vector<std::string_view> balancer_data_path::depends_on() const
{
    return {map_service::service_name};
}

result<void> balancer_data_path::start(kernel& k)
{
    auto* runtime = k.find<runtime_service>(runtime_service::service_name);
    auto* maps = k.find<map_service>(map_service::service_name);
    core_ = std::make_unique<balancer_core>(balancer_core::options{},
                                            flow_hasher(runtime->flow_secret()),
                                            runtime->keys());
    maps->on_change = [this, maps] { core_->set_table(maps->table()); };
    if (auto* trace = k.find<trace_service>(trace_service::service_name))
        core_->sample = [trace](trace_context& out)
        { return trace->sample_flow(out); };
    auto overlay =
        udp_socket::create(runtime->loop(), runtime->config().balancer_overlay,
                           [](byte_span, const endpoint&) {});
    if (!overlay)
        return fail(overlay.error().code, overlay.error().detail);
    overlay_ = std::move(overlay.value());
    auto fabric = udp_socket::create_batched(
        runtime->loop(), runtime->config().balancer_fabric,
        [this](const udp_socket::datagram* batch, std::size_t count)
        { on_batch(batch, count); });
    if (!fabric)
        return fail(fabric.error().code, fabric.error().detail);
    fabric_ = std::move(fabric.value());
    return add_metrics(k);
}

result<void> balancer_data_path::add_metrics(const kernel& k)
{
    auto* metrics = k.find<metrics_service>(metrics_service::service_name);
    if (metrics == nullptr)
        return ok();
    metric_registry& r = metrics->registry();
    BOOST_OUTCOME_TRYV(r.add_counters({"briarfield_balancer_packets_total",
                                       "Packets at the balancer, by outcome."},
                                      "event", core_->counters(),
                                      balancer_event_name));
    BOOST_OUTCOME_TRYV(add_socket_metrics(r, "overlay", *overlay_));
    return add_socket_metrics(r, "fabric", *fabric_);
}

void balancer_data_path::on_batch(const udp_socket::datagram* batch,
                                  std::size_t count)
{
    static_assert(udp_socket::max_batch <= balancer_core::max_batch);
    std::array<byte_span, udp_socket::max_batch> packets;
    for (std::size_t i = 0; i < count; ++i)
        packets[i] = batch[i].bytes;
    core_->decide_batch(packets.data(), count, verdicts_.data());
    for (std::size_t i = 0; i < count; ++i)
    {
        const balancer_verdict& verdict = verdicts_[i];
        if (!verdict.datagram.empty())
            overlay_->queue(verdict.next, verdict.datagram);
        if (!verdict.answer.empty())
            fabric_->queue_copy(batch[i].from,
                                {verdict.answer.data(), verdict.answer.size()});
    }
    overlay_->flush();
}

} // namespace briarfield::app
