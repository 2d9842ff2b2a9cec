#include "briarfield/control/evacuation_follower.hpp"

#include <algorithm>

namespace briarfield
{

namespace
{

void apply_change(std::vector<std::string>& zones, const zone_change& change)
{
    const auto found = std::find(zones.begin(), zones.end(), change.zone);
    if (change.evacuated && found == zones.end())
        zones.push_back(change.zone);
    else if (!change.evacuated && found != zones.end())
        zones.erase(found);
}

} // namespace

evacuation_follower::evacuation_follower(timer_queue& timers,
                                         random_source& random,
                                         calls store,
                                         document_follower_options options)
    : store_(std::move(store)),
      follower_(timers, random, follower_calls(), options)
{
    follower_.on_document = [this](const std::string&)
    {
        if (on_zones)
            on_zones(state_);
    };
    follower_.on_lost = [this](const error& e)
    {
        if (on_lost)
            on_lost(e);
    };
    follower_.on_regained = [this](duration outage)
    {
        if (on_regained)
            on_regained(outage);
    };
}

evacuation_follower::~evacuation_follower()
{
    *alive_ = false;
}

document_follower::calls evacuation_follower::follower_calls()
{
    document_follower::calls c;
    c.read = [this](const document_follower::handler& done)
    {
        store_.read(
            [this, alive = alive_, done](const result<evacuated_zones>& read)
            {
                if (*alive)
                    done(apply(read));
            });
    };
    c.watch = [this](std::uint64_t revision, const watch_limits& limits,
                     const document_follower::handler& done)
    {
        store_.watch(revision, limits,
                     [this, alive = alive_, revision,
                      done](const result<zone_events>& events)
                     {
                         if (*alive)
                             done(apply(revision, events));
                     });
    };
    return c;
}

/// The body of the state is empty: it only shows that there is something new.
result<document_state>
evacuation_follower::apply(const result<evacuated_zones>& read)
{
    if (!read)
        return read.error();
    if (read.value().era < state_.era)
        return fail(errc::store_protocol, "list of an earlier era");
    state_ = read.value();
    document_state outcome;
    outcome.revision = state_.revision;
    outcome.body = "";
    return outcome;
}

/// Events since a revision other than that of the state are the late result of
/// an earlier watch, which document_follower ignores, too. Events of another
/// era do not continue the list that was read.
result<document_state>
evacuation_follower::apply(std::uint64_t watched_from,
                           const result<zone_events>& events)
{
    if (!events)
        return events.error();
    if (events.value().era < state_.era)
        return fail(errc::store_protocol, "events of an earlier era");
    if (events.value().era > state_.era)
        return fail(errc::store_history_compacted, "events of a later era");
    document_state outcome;
    outcome.revision = events.value().revision;
    if (watched_from != state_.revision)
        return outcome;
    state_.revision = events.value().revision;
    for (const zone_change& change : events.value().changes)
        apply_change(state_.zones, change);
    if (!events.value().changes.empty())
        outcome.body = "";
    return outcome;
}

} // namespace briarfield
