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

/// \brief What happened to agents; one counter each.
enum class agent_registry_event : std::uint8_t
{
    joined,
    stopped,
    queried, ///< Silent here; another observer was asked.
    vouched, ///< Another observer has heard it lately.
    died,
    ejection_deferred, ///< Ejecting it now would pass the bound.
    duplicate_refused, ///< A live instance's name from another endpoint.
    stale_dropped,     ///< A replayed or overtaken announcement.
    count_
};

/// \brief Label of \a event in metrics.
std::string_view agent_registry_event_name(agent_registry_event event) noexcept;

/// \brief Agents as an observer of their services hears them.
///
/// Free of I/O. Agents announce themselves to the observers of their service,
/// and only these know them: what all balancers need is in the maps. An agent
/// that is silent here is dead only if another observer, where there is one,
/// confirms the silence, never before \ref options::death, and never as the
/// last of its service. Agents stop taking new flows by themselves before
/// that (\sa announcer). Times are of the local clock alone.
class agent_registry
{
public:
    struct options
    {
        duration query = std::chrono::milliseconds(1700); ///< Asks others.
        duration query_interval = std::chrono::milliseconds(200);
        duration death = std::chrono::milliseconds(2200); ///< Silence to dead.
        duration ramp = std::chrono::seconds(10); ///< To the full weight.
        double ramp_start = 0.1; ///< Share of the weight at the start.
        duration forget = std::chrono::minutes(1); ///< Dead entries go.
        double ejection_share = 0.5; ///< Most unconfirmed deaths, of all.
        duration ejection_window = std::chrono::seconds(10);
    };

    agent_registry(const clock& c, options opts) : clock_(&c), options_(opts) {}
    explicit agent_registry(const clock& c) : agent_registry(c, options()) {}

    /// \brief Takes an announcement; whether the sender may be granted.
    bool on_heartbeat(const announcement& a);

    /// \brief Incarnation that a later process of the instance must pass.
    std::uint64_t incarnation_of(instance_id instance) const;

    /// \brief Takes what another balancer has observed.
    void on_report(const observation_report& report);

    /// \brief Own observations of the items of \a query.
    ///
    /// Of an instance never heard here: the time since it was first asked for.
    observation_report answer(const observation_report& query);

    /// \brief Asks about the silent, and buries the dead; call it often.
    void sweep();

    /// \brief Agents of \a service as input of a map build.
    ///
    /// Targets of \a current that have not announced themselves here yet are
    /// expected: the input is incomplete until they do or are found dead.
    map_input input(service_id service, const bucket_map* current);

    /// \brief Takes dead targets of \a m for possibly alive again.
    ///
    /// Another balancer has put them in a map: they count as expected until
    /// heard, or found dead once more.
    void doubt(const bucket_map& m);

    /// \brief Forgets the agents of services that \a keep refuses.
    void retain(const std::function<bool(service_id)>& keep);

    std::size_t size() const { return entries_.size(); }

    const counter_set<agent_registry_event>& counters() const
    {
        return counters_;
    }

    /// \brief Called when the map of \a service may have to change.
    std::function<void(service_id, map_urgency)> on_change;

    /// \brief Asks other observers of \a service; returns how many there are.
    std::function<std::size_t(service_id, const observation_report&)> ask;

    /// \brief Told of each announcement that was taken; may be empty.
    std::function<void(const announcement&)> on_announcement;

    /// \brief Weight of an agent for new flows; empty: its capacity.
    std::function<double(const announcement&)> weight;

private:
    enum class phase : std::uint8_t
    {
        expected, ///< A map names it; not heard yet.
        known,
        dead
    };

    struct entry
    {
        announcement last;
        service_id service = 0;
        endpoint agent;
        phase life = phase::expected;
        time_point heard;  ///< Latest evidence, own or another observer's.
        time_point direct; ///< Latest own evidence; others are told of this.
        time_point joined;
        time_point confirmed; ///< When another observer confirmed silence.
        bool ever_confirmed = false;
        bool ramping = false;
        time_point asked;          ///< When other observers were asked.
        std::size_t observers = 0; ///< Asked last time.
    };

    void bury(entry& e);
    void forgive_stall(time_point now);
    void check_silence(entry& e, time_point now);
    bool may_eject(const entry& e, bool confirmed, time_point now);
    double weight_of(entry& e, time_point now) const;
    void tell(service_id service, map_urgency urgency) const;

    const clock* clock_;
    options options_;
    std::map<instance_id, entry> entries_;
    std::map<service_id, std::set<instance_id>> by_service_;
    std::map<instance_id, time_point> missing_; ///< First asked for, unheard.
    std::map<service_id, std::vector<time_point>> unconfirmed_;
    counter_set<agent_registry_event> counters_;
    time_point swept_;
};

} // namespace briarfield

#endif
