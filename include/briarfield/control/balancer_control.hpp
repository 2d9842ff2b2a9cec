#ifndef BRIARFIELD_CONTROL_BALANCER_CONTROL_HPP
#define BRIARFIELD_CONTROL_BALANCER_CONTROL_HPP

#include "briarfield/control/agent_registry.hpp"
#include "briarfield/control/map_authority.hpp"
#include "briarfield/control/membership.hpp"
#include "briarfield/control/peer_exchange.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace briarfield
{

/// \brief Configuration of a service as sent to agents in grants.
struct granted_service
{
    std::uint32_t bucket_count = 0;
    std::vector<service_address> addresses;
};

/// \brief A balancer's part in discovery and map building; does no I/O.
///
/// Combines \ref membership, \ref agent_registry, \ref map_authority and
/// \ref peer_exchange. The caller transfers the datagrams and calls
/// \ref poll.
class balancer_control
{
public:
    struct options
    {
        membership::options members;
        agent_registry::options agents;
        map_authority::options maps;
        peer_exchange::options peers;
        /// Minimum time between two pushes, so that changes are batched.
        duration push_interval = std::chrono::milliseconds(200);
        duration sweep_interval = std::chrono::milliseconds(50);
        /// Time after the start when maps are built if no other balancer is
        /// live.
        duration alone_startup_grace = std::chrono::seconds(2);
        /// Time after the start when maps are built even if the sections have
        /// not converged with any peer's.
        duration agreement_timeout = std::chrono::seconds(10);
        /// A longer gap between two polls means that this process was paused.
        duration stall_threshold = std::chrono::seconds(1);
    };

    balancer_control(const balancer_record& local_record,
                     std::vector<endpoint> seeds,
                     const clock& c,
                     const options& opts);
    balancer_control(const balancer_record& local_record,
                     std::vector<endpoint> seeds,
                     const clock& c)
        : balancer_control(local_record, std::move(seeds), c, options())
    {
    }
    balancer_control(const balancer_control&) = delete;
    balancer_control& operator=(const balancer_control&) = delete;

    /// \brief Sets the configured services, from configuration \a version.
    void set_services(std::map<service_id, granted_service> services,
                      std::uint64_t version);

    /// \brief Processes an authenticated datagram.
    void on_datagram(const control_datagram& datagram, const endpoint& from);

    /// \brief Runs all periodic work that is due; call it often.
    void poll();

    /// \brief Announces that this balancer leaves, before it stops.
    ///
    /// It is then no longer the author of any service.
    void leave();

    membership& members() { return members_; }
    agent_registry& agents() { return agents_; }
    map_authority& maps() { return maps_; }
    peer_exchange& peers() { return peers_; }

    /// \brief Whether this balancer is an observer of the agents of \a id.
    bool observes(service_id id) const;

    /// \brief Whether the configuration allows a backend server to serve the
    /// service it announces; if unset, all may.
    ///
    /// A server that is not allowed, or no longer, is treated as draining: it
    /// gets no new flows and keeps the existing ones.
    std::function<bool(const announcement&)> may_serve;

    /// \brief Sends a datagram to a balancer or an agent.
    std::function<void(const endpoint&, const control_datagram&)> send;

    /// \brief Called after the map of a service was replaced.
    std::function<void(service_id)> on_map;

private:
    void on_announcement(const announcement& a, const endpoint& from);
    void on_observations(const observation_report& report,
                         const endpoint& from);
    void fill_map(service_grant& grant, const announcement& a) const;
    std::size_t query_observers(service_id id, const observation_report& query);
    void detect_stall();
    void check_synchronized();

    const clock* clock_;
    options options_;
    membership members_;
    agent_registry agents_;
    map_authority maps_;
    peer_exchange peers_;
    std::map<service_id, granted_service> services_;
    std::uint64_t config_version_ = 0;
    time_point started_; ///< Start, or end of the last pause.
    time_point last_poll_;
    time_point next_sweep_;
    time_point next_push_;
    bool push_pending_ = false;
};

} // namespace briarfield

#endif
