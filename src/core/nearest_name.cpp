#include "briarfield/core/nearest_name.hpp"

#include <algorithm>
#include <numeric>

namespace briarfield
{

std::size_t edit_distance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= a.size(); ++i)
    {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j)
        {
            const std::size_t replaced =
                diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
        }
    }
    return row[b.size()];
}

std::string nearest_name(std::string_view input,
                         const std::vector<std::string>& candidates)
{
    std::size_t best_distance = std::max<std::size_t>(2, input.size() / 3) + 1;
    std::string nearest;
    for (const std::string& name : candidates)
    {
        const std::size_t distance = edit_distance(input, name);
        if (distance >= best_distance)
            continue;
        best_distance = distance;
        nearest = name;
    }
    return nearest;
}

std::string did_you_mean(std::string_view input,
                         const std::vector<std::string>& candidates)
{
    const std::string nearest = nearest_name(input, candidates);
    return nearest.empty() ? "" : "; did you mean '" + nearest + "'?";
}

} // namespace briarfield
