#include "briarfield/load/share_scheduler.hpp"

#include <algorithm>

namespace briarfield
{

namespace
{

/// Ratio of the demand to the recent use. It is above 1 so that random
/// variation alone does not cause rejections.
constexpr double demand_headroom = 1.25;

/// Factor by which an old demand decays per interval.
constexpr double demand_decay = 0.8;

/// Multiple of its floor that a service may use while its mean use is below the
/// floor.
constexpr double floor_burst = 2;

/// Weight of the latest step in the mean of the units in use.
constexpr double mean_smoothing = 0.1;

share_claim make_claim(const share_class& c)
{
    share_claim claim;
    claim.team = c.team;
    claim.urgency_rank = c.urgency_rank;
    claim.share = c.share;
    return claim;
}

template <class State>
std::vector<share_claim> collect_claims(const std::vector<State>& states)
{
    std::vector<share_claim> claims;
    claims.reserve(states.size());
    for (const State& s : states)
        claims.push_back(s.claim);
    return claims;
}

/// Replaces the classes and keeps the state of services that remain.
template <class State>
void replace_classes(const std::vector<share_class>& classes,
                     std::vector<State>& states,
                     std::unordered_map<service_id, std::size_t>& index)
{
    std::vector<State> next;
    std::unordered_map<service_id, std::size_t> next_index;
    for (const share_class& c : classes)
    {
        State s;
        const auto found = index.find(c.service);
        if (found != index.end())
            s = states[found->second];
        s.service = c.service;
        const double demand = s.claim.demand;
        s.claim = make_claim(c);
        s.claim.demand = demand;
        next_index[c.service] = next.size();
        next.push_back(s);
    }
    states = std::move(next);
    index = std::move(next_index);
}

/// Reserve of a service with \a floor, tokens. It is at least 1, so that a
/// small share can accumulate a whole flow.
double reserve_tokens(double floor, double seconds)
{
    return std::max(1.0, floor * seconds);
}

} // namespace

rate_scheduler::rate_scheduler(options opts, const clock& c)
    : options_(opts), clock_(&c), last_step_(c.now())
{
}

void rate_scheduler::set_classes(const std::vector<share_class>& classes)
{
    std::unordered_map<service_id, bool> previous;
    for (const state& s : states_)
        previous[s.service] = true;
    replace_classes(classes, states_, index_);
    const auto floors = share_floors(options_.rate, collect_claims(states_));
    const double reserve =
        std::chrono::duration<double>(options_.reserve).count();
    for (std::size_t i = 0; i < states_.size(); ++i)
        if (previous.count(states_[i].service) == 0)
            states_[i].tokens = reserve_tokens(floors[i], reserve);
}

bool rate_scheduler::admit(service_id service)
{
    const auto found = index_.find(service);
    if (found == index_.end())
        return false;
    state& s = states_[found->second];
    s.requested += 1;
    if (s.tokens >= 1)
    {
        s.tokens -= 1;
        return true;
    }
    if (ungranted_tokens_ < 1)
        return false;
    ungranted_tokens_ -= 1;
    return true;
}

void rate_scheduler::step()
{
    const time_point now = clock_->now();
    if (now - last_step_ < options_.interval)
        return;
    const double seconds =
        std::chrono::duration<double>(now - last_step_).count();
    last_step_ = now;
    distribute_tokens(seconds);
}

void rate_scheduler::distribute_tokens(double seconds)
{
    const double reserve =
        std::chrono::duration<double>(options_.reserve).count();
    const auto floors = share_floors(options_.rate, collect_claims(states_));
    for (std::size_t i = 0; i < states_.size(); ++i)
    {
        state& s = states_[i];
        s.demand = std::max(s.requested / seconds, s.demand * demand_decay);
        s.requested = 0;
        // Refilling the reserve counts as demand.
        const double missing = reserve_tokens(floors[i], reserve) - s.tokens;
        s.claim.demand = std::max(demand_headroom * s.demand,
                                  std::min(missing / seconds, floors[i]));
        s.claim.demand = std::max(s.claim.demand, 0.0);
    }
    const auto grants = allocate_shares(options_.rate, collect_claims(states_));
    double granted = 0;
    for (std::size_t i = 0; i < states_.size(); ++i)
    {
        state& s = states_[i];
        s.grant = grants[i];
        granted += grants[i];
        const double max_tokens =
            std::max(reserve_tokens(floors[i], reserve), grants[i] * seconds);
        s.tokens = std::min(max_tokens, s.tokens + grants[i] * seconds);
    }
    ungranted_tokens_ = std::max(0.0, options_.rate - granted) * seconds;
}

double rate_scheduler::grant(service_id service) const
{
    const auto found = index_.find(service);
    return found == index_.end() ? 0.0 : states_[found->second].grant;
}

void work_scheduler::set_classes(const std::vector<share_class>& classes)
{
    replace_classes(classes, states_, index_);
    in_use_ = 0;
    for (const state& s : states_)
        in_use_ += s.in_use;
    step();
}

work_scheduler::state* work_scheduler::find(service_id service)
{
    const auto found = index_.find(service);
    return found == index_.end() ? nullptr : &states_[found->second];
}

void work_scheduler::add_units(state& s, double units)
{
    const double before = std::max(0.0, s.in_use - s.floor);
    s.in_use += units;
    in_use_ += units;
    const double after = std::max(0.0, s.in_use - s.floor);
    for (unsigned rank = s.claim.urgency_rank + 1; rank < rank_count; ++rank)
        (*s.team)[rank] += after - before;
}

bool work_scheduler::admit(service_id service)
{
    state* s = find(service);
    if (s == nullptr)
        return false;
    const unsigned rank = std::min(s->claim.urgency_rank, rank_count - 1);
    const double after = in_use_ + 1;
    const bool within_floor = s->in_use < s->floor; // The floor is rounded up.
    const bool granted = s->in_use < s->grant && after <= limit_;
    const bool below_lending_limit = after <= lending_limit_;
    // Random arrivals come in bursts: the floor applies to the mean.
    const bool catching_up =
        s->mean < s->floor && s->in_use < floor_burst * s->floor;
    // Reclaims the capacity borrowed by less urgent services of the team.
    const bool reclaimed = after <= limit_ + (*s->team)[rank];
    if (!within_floor && !granted && !below_lending_limit && !catching_up &&
        !reclaimed)
    {
        s->rejected += 1;
        return false;
    }
    add_units(*s, 1);
    s->peak = std::max(s->peak, s->in_use);
    return true;
}

void work_scheduler::release(service_id service)
{
    state* s = find(service);
    if (s != nullptr && s->in_use > 0)
        add_units(*s, -1);
}

void work_scheduler::step()
{
    for (state& s : states_)
    {
        const double current = demand_headroom * (s.peak + s.rejected);
        s.claim.demand = std::max(current, s.claim.demand * demand_decay);
        s.peak = s.in_use;
        s.rejected = 0;
    }
    const auto claims = collect_claims(states_);
    const auto floors = share_floors(limit_, claims);
    const auto grants = allocate_shares(lending_limit_, claims);
    borrowed_.clear();
    for (std::size_t i = 0; i < states_.size(); ++i)
    {
        state& s = states_[i];
        s.floor = std::max(floors[i], 1.0);
        s.mean += mean_smoothing * (s.in_use - s.mean);
        s.grant = std::max(s.floor, grants[i]);
        s.team = &borrowed_[s.claim.team];
        const double borrowed = std::max(0.0, s.in_use - s.floor);
        for (unsigned rank = s.claim.urgency_rank + 1; rank < rank_count;
             ++rank)
            (*s.team)[rank] += borrowed;
    }
}

} // namespace briarfield
