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

/// \brief What the configuration says of a service, as agents are told.
struct granted_service
{
    std::uint32_t bucket_count = 0;
    std::vector<service_address> addresses;
};

/// \brief A balancer's part in discovery and in making maps, free of I/O.
///
/// Ties \ref membership, \ref agent_registry, \ref map_authority and
/// \ref peer_exchange together; the caller moves datagrams and time.
class balancer_control
{
public:
    struct options
    {
        membership::options members;
        agent_registry::options agents;
        map_authority::options maps;
        peer_exchange::options peers;
        /// Least time between two pushes, so that changes go together.
        duration push_interval = std::chrono::milliseconds(200);
        duration sweep_interval = std::chrono::milliseconds(50);
        /// Without any peer's answer maps are built after this.
        duration alone_after = std::chrono::seconds(2);
        /// With peers that never agree, maps are built after this.
        duration agreed_after = std::chrono::seconds(10);
        /// A longer gap between two polls means a paused process.
        duration stall = std::chrono::seconds(1);
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

    /// \brief Takes the services of the configuration at \a version.
    void set_services(std::map<service_id, granted_service> services,
                      std::uint64_t version);

    /// \brief Takes an authenticated datagram.
    void on_datagram(const control_datagram& d, const endpoint& from);

    /// \brief Does what is due; call it often.
    void poll();

    /// \brief Gives up every author's part; the balancer stops soon.
    void leave();

    membership& members() { return members_; }
    agent_registry& agents() { return agents_; }
    map_authority& maps() { return maps_; }
    peer_exchange& peers() { return peers_; }

    /// \brief Whether this balancer is an observer of the agents of \a id.
    bool observes(service_id id) const;

    /// \brief Whether the configuration lets a backend server serve what it
    /// announces; unset: yes. One that may not, or not any more, counts as
    /// draining: it gets no new flow and keeps those it has.
    std::function<bool(const announcement&)> may_serve;

    /// \brief Sends a datagram to a balancer or an agent.
    std::function<void(const endpoint&, const control_datagram&)> send;

    /// \brief Called after the map of a service was replaced.
    std::function<void(service_id)> on_map;

private:
    void on_announcement(const announcement& a, const endpoint& from);
    void on_observations(const observation_report& r, const endpoint& from);
    void fill_map(service_grant& grant, const announcement& a) const;
    std::size_t ask(service_id id, const observation_report& query);
    void notice_stall();
    void check_synchronized();

    const clock* clock_;
    options options_;
    membership members_;
    agent_registry agents_;
    map_authority maps_;
    peer_exchange peers_;
    std::map<service_id, granted_service> services_;
    std::uint64_t config_version_ = 0;
    time_point started_; ///< Or resumed.
    time_point polled_;
    time_point next_sweep_;
    time_point next_push_;
    bool push_due_ = false;
};

} // namespace briarfield

#endif
