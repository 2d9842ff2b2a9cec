#ifndef BRIARFIELD_LOAD_TARGET_WEIGHER_HPP
#define BRIARFIELD_LOAD_TARGET_WEIGHER_HPP

#include "briarfield/load/weight_policy.hpp"

#include <map>
#include <vector>

namespace briarfield
{

/// \brief Maintains the weights of the targets of many services.
///
/// It receives the announcements of the targets and provides the weights for
/// building bucket maps.
class target_weigher
{
public:
    /// \brief Settings of the weigher.
    struct options
    {
        weight_policy::options policy;
        duration target_timeout = std::chrono::seconds(5);
        ///< A target without an announcement for this long is removed.
    };

    explicit target_weigher(options opts) : options_(opts) {}

    /// \brief Processes an announcement of \a target of \a service, received
    /// at \a now.
    void on_announcement(service_id service,
                         const target_load& target,
                         time_point now);

    /// \brief Weight of a target relative to the others of its service.
    ///
    /// A target without a computed weight gets the average weight.
    double weight(service_id service, instance_id instance) const;

    /// \brief Recomputes all weights; to be called about once per second.
    ///
    /// \returns the services whose weights have changed.
    std::vector<service_id> step(time_point now);

private:
    struct announced_target
    {
        target_load load;
        time_point received;
    };

    struct service_state
    {
        explicit service_state(weight_policy::options o) : policy(o) {}

        weight_policy policy;
        std::map<instance_id, announced_target> targets;
        std::map<instance_id, double> weights;
    };

    bool update_weights(service_state& s, time_point now) const;

    options options_;
    std::map<service_id, service_state> services_;
};

} // namespace briarfield

#endif
