#include "briarfield/dispatch/priority_class.hpp"

#include <algorithm>
#include <iterator>

namespace briarfield
{

namespace
{

constexpr std::string_view class_names[] = {"0", "1", "2", "3",
                                            "4", "5", "6", "lower"};
static_assert(std::size(class_names) ==
              static_cast<std::size_t>(priority_class::count_));

} // namespace

priority_class priority_class_of(std::uint8_t priority) noexcept
{
    const auto lower = static_cast<std::uint8_t>(priority_class::lower);
    return static_cast<priority_class>(std::min(priority, lower));
}

std::string_view priority_class_name(priority_class c) noexcept
{
    return class_names[static_cast<std::size_t>(c)];
}

} // namespace briarfield
