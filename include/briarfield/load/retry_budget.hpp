#ifndef BRIARFIELD_LOAD_RETRY_BUDGET_HPP
#define BRIARFIELD_LOAD_RETRY_BUDGET_HPP

#include "briarfield/core/clock.hpp"

#include <algorithm>
#include <chrono>

namespace briarfield
{

/// \brief Limits retries to a ratio of first attempts, so that retries do not
/// amplify an overload.
///
/// A token bucket: each first attempt adds a fraction of a token, each retry
/// consumes a whole one. A low constant refill rate allows retries to a caller
/// with few requests; the capacity limits the burst after a period of low load.
class retry_budget
{
public:
    /// \brief Settings of the budget.
    struct options
    {
        double ratio = 0.1;      ///< Tokens added per first attempt.
        double per_second = 0.5; ///< Tokens added per second.
        double max_tokens = 10;  ///< Capacity of the bucket, tokens.
    };

    retry_budget(options opts, const clock& c)
        : options_(opts), clock_(&c), tokens_(opts.max_tokens),
          last_refill_(c.now())
    {
    }

    /// \brief Adds the tokens of a first attempt.
    void record_first_attempt() { add(options_.ratio); }

    /// \brief Takes a token for a retry; returns false if there is none.
    bool try_retry()
    {
        refill();
        if (tokens_ < 1)
            return false;
        tokens_ -= 1;
        return true;
    }

private:
    void refill()
    {
        const time_point now = clock_->now();
        const std::chrono::duration<double> elapsed = now - last_refill_;
        last_refill_ = now;
        add(elapsed.count() * options_.per_second);
    }

    void add(double tokens)
    {
        tokens_ = std::min(options_.max_tokens, tokens_ + tokens);
    }

    options options_;
    const clock* clock_;
    double tokens_;
    time_point last_refill_;
};

} // namespace briarfield

#endif
