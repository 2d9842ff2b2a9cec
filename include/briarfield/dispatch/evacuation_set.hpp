#ifndef BRIARFIELD_DISPATCH_EVACUATION_SET_HPP
#define BRIARFIELD_DISPATCH_EVACUATION_SET_HPP

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace briarfield
{

/// \brief Zones whose servers get no new flows, as read from the store.
struct evacuated_zones
{
    /// Of the store; rises each time it is restored from an older copy.
    std::uint64_t era = 0;
    std::uint64_t revision = 0; ///< Of the store; 0: never read.
    std::vector<std::string> zones;
};

/// \brief The evacuated zones in force; an older state never replaces a newer
/// one.
class evacuation_set
{
public:
    /// \brief Puts \a zones in force unless their pair (era, revision) is not
    /// newer than the current one. The first state is always put in force.
    ///
    /// \returns whether they are in force now.
    bool apply(evacuated_zones zones);

    /// \brief Whether any state was put in force; before that, any zone may be
    /// evacuated.
    bool known() const { return known_; }

    /// \brief Whether \a zone is evacuated.
    bool contains(const std::string& zone) const;

    const evacuated_zones& current() const { return current_; }

    /// \brief Called for each zone whose evacuation begins or ends.
    std::function<void(const std::string& zone, bool evacuated)> on_change;

private:
    bool known_ = false;
    evacuated_zones current_;
};

} // namespace briarfield

#endif
