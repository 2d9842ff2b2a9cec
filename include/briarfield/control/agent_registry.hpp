#ifndef BRIARFIELD_CONTROL_AGENT_REGISTRY_HPP
#define BRIARFIELD_CONTROL_AGENT_REGISTRY_HPP

#include "briarfield/control/announcement.hpp"
#include "briarfield/control/map_authority.hpp"
#include "briarfield/core/clock.hpp"
#include "briarfield/core/counter_set.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string_view>
#include <vector>

namespace briarfield
{

/// \brief Events in the tracking of agents; each has a counter.
enum class agent_registry_event : std::uint8_t
{
    joined,
    stopped,
    queried, ///< Timed out here; the other observers were queried.
    vouched, ///< Another observer reported a later announcement.
    died,
    /// Not marked dead: the last live agent, or the limit is reached.
    ejection_deferred,
    duplicate_refused, ///< Another endpoint uses the name of a live instance.
    stale_dropped,     ///< A replayed or reordered announcement.
    count_
};

/// \brief Label of \a event in metrics.
std::string_view agent_registry_event_name(agent_registry_event event) noexcept;

/// \brief Agents of the services that this balancer observes.
///
/// Does no I/O. Agents announce themselves to the observers of their service,
/// and only the observers track them; the other balancers get what they need
/// from the bucket maps. An agent that has timed out here is marked dead only
/// after \ref options::death_timeout and only if another observer, if there is
/// one, confirms the timeout. The last live agent of a service is never marked
/// dead. Agents stop accepting new flows by themselves before that (\sa
/// announcer). All times are local.
class agent_registry
{
public:
    struct options
    {
        /// Time without an announcement after which other observers are
        /// queried. A report of at least this time confirms the timeout.
        duration query_timeout = std::chrono::milliseconds(1700);
        /// Interval between queries about the same agent.
        duration query_interval = std::chrono::milliseconds(200);
        /// Time without an announcement after which an agent can be marked
        /// dead.
        duration death_timeout = std::chrono::milliseconds(2200);
        /// Time from joining until an agent has its full weight.
        duration ramp = std::chrono::seconds(10);
        /// Share of the full weight when the ramp starts.
        double ramp_start = 0.1;
        /// How long entries of dead and stopped agents are kept.
        duration dead_entry_retention = std::chrono::minutes(1);
        /// Maximum share of a service's agents that may be marked dead without
        /// confirmation within \ref ejection_window.
        double max_ejection_share = 0.5;
        duration ejection_window = std::chrono::seconds(10);
    };

    agent_registry(const clock& c, options opts) : clock_(&c), options_(opts) {}
    explicit agent_registry(const clock& c) : agent_registry(c, options()) {}

    /// \brief Processes an announcement.
    ///
    /// Returns whether the sender may get a grant; false for a duplicate
    /// instance.
    bool on_heartbeat(const announcement& received);

    /// \brief Last incarnation of \a instance, which a new process must exceed.
    ///
    /// 0 if the instance has not announced itself.
    std::uint64_t incarnation_of(instance_id instance) const;

    /// \brief Processes the observations of another balancer.
    void on_report(const observation_report& report);

    /// \brief Local observations of the items of \a query.
    ///
    /// For an instance that has not announced itself here, the observation is
    /// the time since it was first queried.
    observation_report answer(const observation_report& query);

    /// \brief Queries other observers about agents that have timed out, marks
    /// agents as dead and removes expired entries; call it often.
    void sweep();

    /// \brief Agents of \a service as input of a map build.
    ///
    /// Targets of \a current that have not announced themselves here yet are
    /// expected to: the input is incomplete until they do or are marked dead.
    map_input input(service_id service, const bucket_map* current);

    /// \brief Marks dead targets of \a map as expected again.
    ///
    /// Another balancer has built a map with them, so they may be alive. They
    /// stay expected until they announce themselves or are marked dead again.
    void expect_targets(const bucket_map& map);

    /// \brief Removes the agents of services for which \a keep returns false.
    void retain(const std::function<bool(service_id)>& keep);

    /// \brief Number of tracked agents, dead ones included.
    std::size_t size() const { return entries_.size(); }

    const counter_set<agent_registry_event>& counters() const
    {
        return counters_;
    }

    /// \brief Called when the map of a service may have to change.
    std::function<void(service_id, map_urgency)> on_change;

    /// \brief Sends a query to the other observers of a service; returns their
    /// number.
    std::function<std::size_t(service_id, const observation_report&)>
        query_observers;

    /// \brief Called with each accepted announcement; may be empty.
    std::function<void(const announcement&)> on_announcement;

    /// \brief Returns the weight of an agent for new flows; if empty, the
    /// weight is the capacity.
    std::function<double(const announcement&)> weight;

private:
    enum class entry_state : std::uint8_t
    {
        expected,  ///< Target of a map; no announcement received yet.
        announced, ///< Has announced itself and is not marked dead.
        dead
    };

    struct entry
    {
        announcement last_announcement;
        service_id service = 0;
        endpoint agent;
        entry_state status = entry_state::expected;
        /// Last announcement received here or reported by another observer.
        time_point last_evidence;
        /// Last announcement received here; reported to other observers.
        time_point last_received;
        time_point joined_at;
        /// When another observer last confirmed the timeout.
        time_point confirmed_at;
        bool ever_confirmed = false;
        bool ramping = false;
        time_point last_query;             ///< To the other observers.
        std::size_t queried_observers = 0; ///< Number in the last query.
    };

    void mark_dead(entry& e);
    void compensate_for_stall(time_point now);
    void check_timeout(entry& e, time_point now);
    bool may_eject(const entry& e, bool confirmed, time_point now);
    double weight_of(entry& e, time_point now) const;
    void notify_change(service_id service, map_urgency urgency) const;

    const clock* clock_;
    options options_;
    std::map<instance_id, entry> entries_;
    std::map<service_id, std::set<instance_id>> by_service_;
    /// When a peer first queried an agent that has not announced itself here.
    std::map<instance_id, time_point> unknown_since_;
    /// Times of deaths without confirmation, within the ejection window.
    std::map<service_id, std::vector<time_point>> unconfirmed_ejections_;
    counter_set<agent_registry_event> counters_;
    time_point last_sweep_;
};

} // namespace briarfield

#endif
