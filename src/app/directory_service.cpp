#include "directory_service.hpp"

#include <chrono>

namespace briarfield::app
{

namespace
{

using namespace std::chrono_literals;

constexpr duration poll_interval = 20ms;

} // namespace

std::vector<std::string_view> directory_service::depends_on() const
{
    return {runtime_service::service_name};
}

result<void> directory_service::start(kernel& k)
{
    runtime_ = k.find<runtime_service>(runtime_service::service_name);
    const settings& s = runtime_->config();
    balancer_record local;
    local.instance = s.instance_name;
    local.zone = s.instance_zone;
    local.region = s.instance_region;
    local.control = s.balancer_control;
    local.incarnation = runtime_service::start_incarnation();
    control_ = std::make_unique<balancer_control>(local, s.balancer_peers,
                                                  runtime_->time_source());
    control_->send = [this](const endpoint& to, const control_datagram& d)
    { send(to, d); };
    auto socket = udp_socket::create(
        runtime_->loop(), s.balancer_control,
        [this](byte_span bytes, const endpoint& from)
        { on_datagram(bytes, from); },
        udp_socket::datagram_limit);
    if (!socket)
        return fail(socket.error().code, socket.error().detail);
    socket_ = std::move(socket.value());
    poll();
    return ok();
}

void directory_service::poll()
{
    control_->poll();
    runtime_->loop().timers().schedule(poll_interval, [this] { poll(); });
}

void directory_service::send(const endpoint& to, const control_datagram& d)
{
    const std::string sealed =
        runtime_->authenticator().seal(encode_control_datagram(d));
    socket_->send(to, {reinterpret_cast<const std::uint8_t*>(sealed.data()),
                       sealed.size()});
}

void directory_service::on_datagram(byte_span bytes, const endpoint& from)
{
    auto body = runtime_->authenticator().open(
        {reinterpret_cast<const char*>(bytes.data()), bytes.size()});
    if (!body)
        return;
    auto datagram = decode_control_datagram(body.value());
    if (datagram)
        control_->on_datagram(datagram.value(), from);
}

} // namespace briarfield::app
