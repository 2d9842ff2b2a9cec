#include "briarfield/dispatch/server_registration.hpp"

namespace briarfield
{

server_registration::server_registration(const clock& c,
                                         std::string service,
                                         duration silence_limit)
    : clock_(&c), silence_limit_(silence_limit),
      configured_service_(std::move(service)), heard_(c.now()),
      last_beat_(c.now())
{
    latest_.service = configured_service_;
    tag_ = make_service_tag(latest_.service);
}

bool server_registration::is_older_life(const server_heartbeat& beat) const
{
    if (state_ == server_state::unknown)
        return false;
    if (beat.born_ms != latest_.born_ms)
        return beat.born_ms < latest_.born_ms;
    if (beat.id != latest_.id)
        return false;
    return state_ == server_state::gone || beat.sequence <= latest_.sequence;
}

result<void> server_registration::take(const server_heartbeat& beat)
{
    if (is_older_life(beat))
        return fail(errc::message_stale, "heartbeat " +
                                             std::to_string(beat.sequence) +
                                             " of " + beat.id);
    const server_state state =
        beat.draining ? server_state::draining : server_state::ready;
    const bool changed = state != state_ || beat.id != latest_.id ||
                         beat.born_ms != latest_.born_ms ||
                         beat.service != latest_.service;
    latest_ = beat;
    state_ = state;
    tag_ = make_service_tag(beat.service);
    heard_ = clock_->now();
    last_beat_ = heard_;
    if (changed)
        change();
    return ok();
}

result<void> server_registration::leave(const std::string& id)
{
    if (state_ != server_state::unknown && id != latest_.id)
        return fail(errc::message_stale, "leave of " + id);
    latest_.id = id;
    if (state_ == server_state::gone)
        return ok();
    state_ = server_state::gone;
    change();
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
    change();
}

void server_registration::change()
{
    if (on_change)
        on_change();
}

} // namespace briarfield
