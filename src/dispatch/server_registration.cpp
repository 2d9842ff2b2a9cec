#include "briarfield/dispatch/server_registration.hpp"

#include <algorithm>

namespace briarfield
{

server_registration::server_registration(const clock& c,
                                         std::string service,
                                         duration silence_limit,
                                         const endpoint& address)
    : clock_(&c), silence_limit_(silence_limit), address_(address),
      pauses_(c, pause_limit), configured_service_(std::move(service)),
      last_activity_(c.now()), last_heartbeat_(c.now())
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
    return heartbeat.id == latest_.id && heartbeat.sequence <= latest_.sequence;
}

/// Whether the heartbeat names the service and address in the settings.
bool server_registration::concerns_server(
    const server_heartbeat& heartbeat) const
{
    const bool other_address =
        address_.port != 0 && heartbeat.address != address_;
    return heartbeat.service == configured_service_ && !other_address;
}

void server_registration::record_activity()
{
    pauses_.check();
    if (!pauses_.paused() || pauses_.running_for() >= settle_time)
        last_activity_ = clock_->now();
}

result<void>
server_registration::on_heartbeat(const server_heartbeat& heartbeat)
{
    if (!concerns_server(heartbeat))
        return fail(errc::message_stale, "heartbeat of " + heartbeat.service +
                                             " at " +
                                             heartbeat.address.to_string());
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
    last_heartbeat_ = clock_->now();
    record_activity();
    if (changed)
        notify_change();
    return ok();
}

result<void> server_registration::on_leave(const std::string& id)
{
    if (state_ != server_state::unknown && id != latest_.id)
        return fail(errc::message_stale, "leave message of " + id);
    latest_.id = id;
    const bool drained = state_ == server_state::gone || latest_.draining;
    const server_state state =
        drained ? server_state::gone : server_state::draining;
    if (state == state_)
        return ok();
    state_ = state;
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

duration server_registration::warmup_left() const
{
    const duration reported = std::chrono::milliseconds(latest_.warmup_ms);
    return std::max(reported - time_since_last_heartbeat(), duration(0));
}

void server_registration::notify_change()
{
    if (on_change)
        on_change();
}

} // namespace briarfield
