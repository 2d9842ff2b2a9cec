#include "briarfield/dispatch/server_registration.hpp"

namespace briarfield
{

server_registration::server_registration(const clock& c,
                                         std::string service,
                                         duration silence_limit)
    : clock_(&c), silence_limit_(silence_limit),
      configured_service_(std::move(service)), last_activity_(c.now()),
      last_heartbeat_(c.now())
{
    latest_.service = configured_service_;
    tag_ = make_service_tag(latest_.service);
}

bool server_registration::is_older_incarnation(
    const server_heartbeat& heartbeat) const
{
    if (state_ == server_state::unknown)
        return false;
    if (heartbeat.born_ms != latest_.born_ms)
        return heartbeat.born_ms < latest_.born_ms;
    if (heartbeat.id != latest_.id)
        return false;
    return state_ == server_state::gone ||
           heartbeat.sequence <= latest_.sequence;
}

result<void>
server_registration::on_heartbeat(const server_heartbeat& heartbeat)
{
    if (is_older_incarnation(heartbeat))
        return fail(errc::message_stale,
                    "heartbeat " + std::to_string(heartbeat.sequence) + " of " +
                        heartbeat.id);
    const server_state state =
        heartbeat.draining ? server_state::draining : server_state::ready;
    const bool changed = state != state_ || heartbeat.id != latest_.id ||
                         heartbeat.born_ms != latest_.born_ms ||
                         heartbeat.service != latest_.service;
    latest_ = heartbeat;
    state_ = state;
    tag_ = make_service_tag(heartbeat.service);
    last_activity_ = clock_->now();
    last_heartbeat_ = last_activity_;
    if (changed)
        notify_change();
    return ok();
}

result<void> server_registration::on_leave(const std::string& id)
{
    if (state_ != server_state::unknown && id != latest_.id)
        return fail(errc::message_stale, "leave message of " + id);
    latest_.id = id;
    if (state_ == server_state::gone)
        return ok();
    state_ = server_state::gone;
    notify_change();
    return ok();
}

void server_registration::set_configured_service(const std::string& service)
{
    if (service == configured_service_)
        return;
    configured_service_ = service;
    if (service == latest_.service)
        return;
    latest_.service = service;
    tag_ = make_service_tag(service);
    state_ = server_state::unknown;
    notify_change();
}

void server_registration::notify_change()
{
    if (on_change)
        on_change();
}

} // namespace briarfield
