#ifndef BRIARFIELD_CONTROL_STORE_ERA_HPP
#define BRIARFIELD_CONTROL_STORE_ERA_HPP

#include <cstdint>
#include <optional>
#include <string_view>

namespace briarfield
{

/// \brief What the era in a response of the store says about the response.
enum class era_verdict
{
    absent,     ///< The response names no era; it is used.
    same,       ///< The response is of the current era, or the first with one.
    newer,      ///< The store came back from an older copy; the response is
                ///< the first of the new era.
    older,      ///< The response must be discarded.
    unreadable, ///< The era is no whole number; it is ignored.
};

/// \brief Tracks the era of a store: a number that rises each time the store
/// comes back from an older copy.
///
/// Revisions of different eras cannot be compared, and what was written since
/// the copy is lost.
class store_era
{
public:
    /// \brief Judges a response by its era \a text, which is empty if the
    /// response names none.
    era_verdict observe(std::string_view text);

    /// \brief The highest era that was observed.
    std::optional<std::uint64_t> current() const { return current_; }

    /// \brief How often the era has risen since the first one.
    std::uint64_t restores() const { return restores_; }

private:
    std::optional<std::uint64_t> current_;
    std::uint64_t restores_ = 0;
};

} // namespace briarfield

#endif
