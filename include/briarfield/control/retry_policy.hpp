#ifndef BRIARFIELD_CONTROL_RETRY_POLICY_HPP
#define BRIARFIELD_CONTROL_RETRY_POLICY_HPP

#include "briarfield/core/clock.hpp"
#include "briarfield/core/random.hpp"

#include <algorithm>

namespace briarfield
{

/// \brief Bounds of the delays of a \ref backoff.
struct backoff_options
{
    duration initial = std::chrono::milliseconds(200);
    duration maximum = std::chrono::seconds(30);
};

/// \brief Exponential backoff with full jitter between attempts.
///
/// The n-th delay is uniform in (0, min(maximum, initial * 2^n)], so that
/// clients that failed at the same time do not retry at the same time.
///
/// \sa retry_budget, token_bucket
class backoff
{
public:
    explicit backoff(backoff_options options = {})
        : options_(options), ceiling_(options.initial)
    {
    }

    /// \brief Delay before the next attempt.
    duration next(random_source& random)
    {
        const auto bound = static_cast<std::uint64_t>(ceiling_.count());
        const duration delay(
            static_cast<duration::rep>(random.below(bound) + 1));
        ceiling_ = std::min(options_.maximum, ceiling_ * 2);
        return delay;
    }

    /// \brief Returns to the initial delay; called after a success.
    void reset() { ceiling_ = options_.initial; }

private:
    backoff_options options_;
    duration ceiling_;
};

/// \brief Token bucket: tokens accrue at a constant rate up to a maximum.
class token_bucket
{
public:
    /// \param rate Tokens per second.
    /// \param burst Maximum number of tokens; the bucket starts full.
    token_bucket(double rate, double burst)
        : rate_(rate), burst_(burst), tokens_(burst)
    {
    }

    /// \brief Takes \a count tokens; takes none and returns false if fewer are
    /// available.
    bool try_take(time_point now, double count = 1.0)
    {
        refill(now);
        if (tokens_ < count)
            return false;
        tokens_ -= count;
        return true;
    }

private:
    void refill(time_point now)
    {
        const std::chrono::duration<double> elapsed = now - last_refill_;
        tokens_ = std::min(burst_, tokens_ + elapsed.count() * rate_);
        last_refill_ = now;
    }

    double rate_;
    double burst_;
    double tokens_;
    time_point last_refill_{};
};

} // namespace briarfield

#endif
