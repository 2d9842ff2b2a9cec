#ifndef BRIARFIELD_RELAY_RANDOM_DURATION_HPP
#define BRIARFIELD_RELAY_RANDOM_DURATION_HPP

#include "briarfield/core/clock.hpp"
#include "briarfield/core/random.hpp"

namespace briarfield
{

/// A random duration below \a limit.
inline duration random_duration(random_source& random, duration limit)
{
    return duration(static_cast<duration::rep>(
        random.below(static_cast<std::uint64_t>(limit.count()))));
}

} // namespace briarfield

#endif
