#include "briarfield/control/store_era.hpp"

#include <charconv>

namespace briarfield
{

namespace
{

std::optional<std::uint64_t> whole_number(std::string_view text)
{
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, value);
    if (failure != std::errc() || stop != end)
        return std::nullopt;
    return value;
}

} // namespace

era_verdict store_era::observe(std::string_view text)
{
    if (text.empty())
        return era_verdict::absent;
    const auto era = whole_number(text);
    if (!era)
        return era_verdict::unreadable;
    if (current_ && *era < *current_)
        return era_verdict::older;
    const bool rises = current_ && *era > *current_;
    current_ = era;
    if (!rises)
        return era_verdict::same;
    ++restores_;
    return era_verdict::newer;
}

} // namespace briarfield
