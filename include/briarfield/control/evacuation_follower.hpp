#ifndef BRIARFIELD_CONTROL_EVACUATION_FOLLOWER_HPP
#define BRIARFIELD_CONTROL_EVACUATION_FOLLOWER_HPP

#include "briarfield/control/document_follower.hpp"
#include "briarfield/dispatch/evacuation_set.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace briarfield
{

/// \brief A zone that was evacuated or taken back.
struct zone_change
{
    std::string zone;
    bool evacuated = false;
};

/// \brief Result of a watch of the evacuations.
struct zone_events
{
    std::uint64_t era = 0;      ///< Of the store.
    std::uint64_t revision = 0; ///< Of the store, after the changes.
    std::vector<zone_change> changes;
};

/// \brief Follows the evacuated zones in the store: reads all, then watches
/// the changes, in the same way as \ref document_follower.
class evacuation_follower
{
public:
    /// \brief Calls to the store. Each calls its handler once, after it has
    /// returned.
    struct calls
    {
        std::function<void(std::function<void(result<evacuated_zones>)>)> read;
        std::function<void(std::uint64_t revision,
                           const watch_limits&,
                           std::function<void(result<zone_events>)>)>
            watch;
    };

    evacuation_follower(timer_queue& timers,
                        random_source& random,
                        calls store,
                        document_follower_options options = {});
    ~evacuation_follower();
    evacuation_follower(const evacuation_follower&) = delete;
    evacuation_follower& operator=(const evacuation_follower&) = delete;

    void start() { follower_.start(); }

    /// \brief The store came back from an older copy: reads all zones.
    void on_store_restored() { follower_.on_store_restored(); }

    /// \brief Called with all evacuated zones after each read, and after each
    /// watch that has reported changes.
    std::function<void(const evacuated_zones&)> on_zones;

    /// \brief See document_follower::on_lost and on_regained.
    std::function<void(const error&)> on_lost;
    std::function<void(duration outage)> on_regained;

private:
    document_follower::calls follower_calls();
    result<document_state> apply(const result<evacuated_zones>& read);
    result<document_state> apply(std::uint64_t watched_from,
                                 const result<zone_events>& events);

    calls store_;
    evacuated_zones state_; ///< By the last read and the watches since.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    document_follower follower_;
};

} // namespace briarfield

#endif
