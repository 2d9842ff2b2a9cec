#include "announcer_service.hpp"

#include <chrono>
#include <spdlog/spdlog.h>

namespace briarfield::app
{

namespace
{

using namespace std::chrono_literals;

constexpr duration poll_interval = 50ms;

} // namespace

std::vector<std::string_view> announcer_service::depends_on() const
{
    return {agent_data_path::service_name};
}

result<void> announcer_service::start(kernel& k)
{
    runtime_ = k.find<runtime_service>(runtime_service::service_name);
    data_path_ = k.find<agent_data_path>(agent_data_path::service_name);
    const settings& s = runtime_->config();
    announcement own;
    own.instance = s.instance_name;
    own.zone = s.instance_zone;
    own.region = s.instance_region;
    own.team = s.agent_team;
    own.service = s.agent_service;
    own.overlay = s.agent_overlay;
    own.incarnation = runtime_service::start_incarnation();
    own.state = serving_state::serving;
    own.capacity = 1.0;
    core_ = std::make_unique<announcer>(std::move(own), s.balancers,
                                        runtime_->time_source());
    core_->send = [this](const endpoint& to, const announcement& a)
    { send(to, a); };
    core_->fill = [this](announcement& a)
    {
        a.open_flows =
            static_cast<std::uint32_t>(data_path_->core().flows().size());
        a.applied_map = data_path_->core().applied_map();
        a.released = data_path_->core().released();
    };
    auto socket = udp_socket::create(runtime_->loop(), s.agent_control,
                                     [this](byte_span bytes, const endpoint&)
                                     { on_datagram(bytes); });
    if (!socket)
        return fail(socket.error().code, socket.error().detail);
    socket_ = std::move(socket.value());
    data_path_->core().leased = [this] { return core_->leased(); };
    poll();
    return ok();
}

void announcer_service::poll()
{
    core_->poll();
    const bool leased = core_->leased();
    if (leased != was_leased_)
        spdlog::info("event={} instance={}",
                     leased ? "lease_held" : "lease_lapsed",
                     core_->own().instance);
    was_leased_ = leased;
    runtime_->loop().timers().schedule(poll_interval, [this] { poll(); });
}

void announcer_service::send(const endpoint& to, const announcement& a)
{
    const std::string sealed =
        runtime_->authenticator().seal(encode_control_datagram(a));
    socket_->send(to, {reinterpret_cast<const std::uint8_t*>(sealed.data()),
                       sealed.size()});
}

void announcer_service::on_datagram(byte_span bytes)
{
    auto body = runtime_->authenticator().open(
        {reinterpret_cast<const char*>(bytes.data()), bytes.size()});
    if (!body)
        return;
    auto datagram = decode_control_datagram(body.value());
    if (!datagram)
        return;
    const auto* grant = std::get_if<service_grant>(&datagram.value());
    if (grant == nullptr || !core_->on_grant(*grant))
        return;
    apply_config(*grant);
    if (grant->map != map_version{})
        data_path_->core().on_map(grant->map, grant->owned);
}

/// Balancers receive a configuration at different times. A grant with an older
/// version is ignored, so that it cannot remove an address added since.
void announcer_service::apply_config(const service_grant& grant)
{
    const bool older = grant.config_version < config_version_;
    if (older || grant.addresses.empty())
        return;
    config_version_ = grant.config_version;
    agent_core& core = data_path_->core();
    core.set_bucket_count(grant.bucket_count);
    core.set_addresses({grant.addresses.begin(), grant.addresses.end()});
}

} // namespace briarfield::app
