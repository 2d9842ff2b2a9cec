#ifndef BRIARFIELD_CORE_COUNTER_SET_HPP
#define BRIARFIELD_CORE_COUNTER_SET_HPP

#include <array>
#include <cstddef>
#include <cstdint>

namespace briarfield
{

/// \brief Set of counters indexed by an enumeration, for the hot path.
///
/// \a Enum is an `enum class` with contiguous values from 0 whose last
/// enumerator is `count_`. Independent of any metrics library: the
/// observability layer reads the values and publishes them.
template <class Enum>
class counter_set
{
public:
    static constexpr std::size_t size() { return std::size_t(Enum::count_); }

    void add(Enum counter, std::uint64_t n = 1)
    {
        values_[static_cast<std::size_t>(counter)] += n;
    }

    std::uint64_t value(Enum counter) const
    {
        return values_[static_cast<std::size_t>(counter)];
    }

private:
    std::array<std::uint64_t, static_cast<std::size_t>(Enum::count_)> values_{};
};

} // namespace briarfield

#endif
