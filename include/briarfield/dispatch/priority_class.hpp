#ifndef BRIARFIELD_DISPATCH_PRIORITY_CLASS_HPP
#define BRIARFIELD_DISPATCH_PRIORITY_CLASS_HPP

#include <cstdint>
#include <string_view>

namespace briarfield
{

/// \brief Priority of a route whose configuration gives none.
constexpr std::uint8_t lowest_priority = 255;

/// \brief Priority as a label of counters: 0 to 6, and all lower ones together.
enum class priority_class : std::uint8_t
{
    p0,
    p1,
    p2,
    p3,
    p4,
    p5,
    p6,
    lower,
    count_
};

priority_class priority_class_of(std::uint8_t priority) noexcept;

/// \brief Label of \a c in metrics.
std::string_view priority_class_name(priority_class c) noexcept;

} // namespace briarfield

#endif
