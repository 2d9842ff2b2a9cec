#ifndef BRIARFIELD_CORE_RANDOM_HPP
#define BRIARFIELD_CORE_RANDOM_HPP

#include <cstdint>

namespace briarfield
{

/// \brief Seeded pseudo-random generator (SplitMix64; Steele, Lea and Flood,
/// 2014).
///
/// Passed to all code that makes random choices, so that a run can be
/// reproduced from its seed. Not suitable for cryptography.
class random_source
{
public:
    explicit random_source(std::uint64_t seed) : state_(seed) {}

    /// \brief Next 64 uniformly distributed bits.
    std::uint64_t next()
    {
        std::uint64_t z = (state_ += 0x9e3779b97f4a7c15ULL);
        z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
        z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
        return z ^ (z >> 31);
    }

    /// \brief Uniform number below \a bound; \a bound must not be zero.
    ///
    /// The bias of each result is less than bound / 2^64.
    std::uint64_t below(std::uint64_t bound) { return next() % bound; }

    /// \brief Uniform number in [0, 1).
    double unit() { return static_cast<double>(next() >> 11U) * 0x1.0p-53; }

private:
    std::uint64_t state_;
};

} // namespace briarfield

#endif
