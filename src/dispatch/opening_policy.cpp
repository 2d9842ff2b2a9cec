#include "briarfield/dispatch/opening_policy.hpp"

namespace briarfield
{

opening_policy::opening_policy(const clock& c,
                               options opts,
                               const server_registration& server)
    : clock_(&c), options_(std::move(opts)), server_(&server),
      limiter_(c, options_.warmup)
{
}

void opening_policy::apply_evacuations(const evacuated_zones& zones)
{
    if (!options_.follows_evacuations || zones.revision == 0)
        return;
    const bool drained = drains();
    const bool was_evacuated = evacuations_.contains(options_.zone);
    if (!evacuations_.apply(zones))
        return;
    if (was_evacuated && !evacuations_.contains(options_.zone))
        record_possible_restart();
    if (drained != drains() && on_change)
        on_change(drains());
}

void opening_policy::apply_limit(std::uint64_t config_version,
                                 const warmup_limit& limit)
{
    // A notice that was sent before the server's service changed.
    if (limit.service == server_->service())
        limiter_.set_limit(config_version, limit);
}

opening_permission opening_policy::permission() const
{
    if (drains())
        return opening_permission::evacuated;
    return opening_room() == 0 ? opening_permission::warming
                               : opening_permission::granted;
}

bool opening_policy::drains() const
{
    return awaits_evacuations() || evacuations_.contains(options_.zone);
}

bool opening_policy::awaits_evacuations() const
{
    return options_.follows_evacuations && !evacuations_.known();
}

bool opening_policy::cold() const
{
    const bool warmup_unknown =
        server_->state() == server_state::unknown ||
        (cold_since_ && server_->last_heartbeat() <= *cold_since_);
    return warmup_unknown || server_->warmup_left() > duration(0);
}

std::uint16_t opening_policy::opening_room() const
{
    return limiter_.enabled() && cold() ? limiter_.room(server_->service())
                                        : unlimited_openings;
}

} // namespace briarfield
