#ifndef BRIARFIELD_CORE_NEAREST_NAME_HPP
#define BRIARFIELD_CORE_NEAREST_NAME_HPP

#include <string>
#include <string_view>
#include <vector>

namespace briarfield
{

/// \brief Levenshtein distance: the minimum number of insertions, deletions
/// and replacements that turn \a a into \a b.
std::size_t edit_distance(std::string_view a, std::string_view b);

/// \brief The name in \a candidates closest to \a input by edit distance.
///
/// \returns an empty string if the distance to each candidate exceeds both 2
/// and a third of the length of \a input.
std::string nearest_name(std::string_view input,
                         const std::vector<std::string>& candidates);

/// \brief Suffix for an error message: "; did you mean 'NAME'?", or empty if
/// \ref nearest_name finds no name.
std::string did_you_mean(std::string_view input,
                         const std::vector<std::string>& candidates);

} // namespace briarfield

#endif
