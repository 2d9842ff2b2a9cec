#include "briarfield/dispatch/warmup_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace briarfield
{

namespace
{

/// Largest limit; below \ref unlimited_openings.
constexpr double max_capacity = unlimited_openings - 1;

} // namespace

void warmup_limiter::set_limit(std::uint64_t version, const warmup_limit& limit)
{
    if (version < version_)
        return;
    version_ = version;
    limit_ = limit;
}

void warmup_limiter::record_opening()
{
    if (!enabled())
        return;
    const time_point now = clock_->now();
    while (!openings_.empty() && now - openings_.front() >= window)
        openings_.pop_front();
    openings_.push_back(now);
}

std::uint16_t warmup_limiter::room(const std::string& service) const
{
    if (!enabled() || unlimited(service))
        return unlimited_openings;
    const time_point now = clock_->now();
    if (now - started_ < window)
        return 0;
    const auto recent = static_cast<std::uint64_t>(
        std::count_if(openings_.begin(), openings_.end(),
                      [now](time_point t) { return now - t < window; }));
    const std::uint64_t limit = capacity(service);
    return static_cast<std::uint16_t>(limit > recent ? limit - recent : 0);
}

bool warmup_limiter::unlimited(const std::string& service) const
{
    return limit_ && limit_->service == service && limit_->per_second <= 0;
}

std::uint64_t warmup_limiter::capacity(const std::string& service) const
{
    const bool limit_known = limit_ && limit_->service == service;
    const double per_second = limit_known ? limit_->per_second : 0;
    const double openings = per_second * options_.overshoot + options_.slack;
    return static_cast<std::uint64_t>(
        std::floor(std::clamp(openings, 0.0, max_capacity)));
}

} // namespace briarfield
