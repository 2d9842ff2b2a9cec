#ifndef BRIARFIELD_RELAY_RELAY_BALANCER_HPP
#define BRIARFIELD_RELAY_RELAY_BALANCER_HPP

#include "briarfield/control/dispatch_messages.hpp"
#include "briarfield/dispatch/flow_dispatcher.hpp"
#include "briarfield/dispatch/relay_frame.hpp"
#include "briarfield/net/event_loop.hpp"
#include "briarfield/net/udp_socket.hpp"
#include "briarfield/relay/kept_packets.hpp"
#include "briarfield/relay/membership_tracker.hpp"
#include "briarfield/relay/notice_sender.hpp"
#include "briarfield/relay/relay_peers.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace briarfield
{

/// \brief Addresses and delays of a \ref relay_balancer.
struct relay_balancer_options
{
    endpoint callers; ///< Receives packets of callers; resets leave from here.
    /// Receives frames of agents and balancers. Port 0: any free port.
    endpoint relay;
    std::uint16_t caller_port = 0; ///< Port at which callers receive packets.
    std::vector<endpoint> seeds;   ///< Relay addresses of some balancers.
    std::uint64_t incarnation = 0; ///< Differs with each start.
    flow_dispatcher::options dispatch;
    /// Whether new flows are kept out of evacuated zones.
    bool follows_evacuations = false;
    /// Interval of notices to other balancers and to agents.
    duration notice_interval = std::chrono::seconds(1);
    /// The same while no agent is alive, to find those that the others track.
    duration search_notice_interval = std::chrono::milliseconds(100);
};

/// \brief Balancer for servers that return packets of flows they do not hold.
///
/// Connects \ref flow_dispatcher, which decides on each packet, with sockets,
/// timers and logs.
class relay_balancer
{
public:
    /// Errors: errc::address_in_use, errc::socket_failed, errc::loop_failed.
    static result<std::unique_ptr<relay_balancer>>
    create(event_loop& loop,
           const relay_balancer_options& options,
           packet_codec codec,
           placement_policy policy);

    ~relay_balancer();
    relay_balancer(const relay_balancer&) = delete;
    relay_balancer& operator=(const relay_balancer&) = delete;

    /// \brief Puts \a routes in force if they are newer than the current ones.
    void update_routes(const route_set& routes);

    /// \brief Puts the evacuated zones in the store in force, unless newer ones
    /// are known, and tells the agents.
    void update_evacuations(const evacuated_zones& zones);

    /// \brief Whether flows can be served: routes are in force, the evacuated
    /// zones are known if they are followed, and at least one agent is alive.
    bool ready() const;

    /// \brief What is missing while not \ref ready; empty when ready.
    std::string not_ready_reason() const;

    /// \brief Notifies all balancers and agents that this balancer stops.
    void leave();

    const flow_dispatcher& dispatcher() const { return dispatcher_; }
    const agent_directory& agents() const { return agents_; }
    const evacuation_set& evacuations() const { return evacuations_; }
    std::uint64_t routes_version() const { return routes_.version(); }
    const udp_socket& caller_socket() const { return *callers_; }
    const udp_socket& relay_socket() const { return *relay_; }

    /// \brief Called when another balancer reports newer routes.
    std::function<void(std::uint64_t version)> on_newer_routes;

    /// \brief Adds balancers that are sent notices from now on.
    void add_seeds(const std::vector<endpoint>& seeds);

    /// \brief Tracks processes by their records in the store. From now on a
    /// flow is reset as lost only while the list of agents is confirmed; see
    /// \ref membership_view.
    void follow_records(random_source& random, membership_tracker::calls store);

    /// \brief Counters of \ref follow_records; null before it was called.
    const counter_set<membership_event>* membership_counters() const
    {
        return membership_ ? &membership_->counters() : nullptr;
    }

    /// \brief Sends a notice to balancers that others have reported; the
    /// addresses may be outdated.
    void try_balancers(const std::vector<endpoint>& addresses);

    /// \brief Address that receives frames of agents and balancers.
    const endpoint& relay_address() const { return options_.relay; }

    /// \brief Differs with each start of the balancer.
    std::uint64_t incarnation() const { return options_.incarnation; }

private:
    relay_balancer(event_loop& loop,
                   const relay_balancer_options& options,
                   packet_codec codec,
                   placement_policy policy);

    result<void> open();
    void set_log_hooks();
    void on_caller_batch(const udp_socket::datagram* batch, std::size_t count);
    void on_relay_batch(const udp_socket::datagram* batch, std::size_t count);
    void on_caller_datagram(byte_span datagram);
    void on_relay_datagram(byte_span datagram, const endpoint& from);
    void on_returned_frame(const relay_frame& frame, const endpoint& from);
    void on_message(const relay_frame& frame);
    void on_message(const agent_status& status);
    void on_message(const flow_held_message& held);
    void on_message(const flow_query& query);
    void on_message(const flow_answer& answer);
    void on_message(const balancer_notice& notice);
    void apply_verdict(const dispatch_verdict& verdict,
                       byte_span packet,
                       const flow_packet& p);
    void connect_search();
    void flush_queries();
    bool on_kept_packet(byte_span packet);
    void send_flow_query(const endpoint& agent,
                         std::uint32_t id,
                         const std::vector<flow_key>& flows);
    void on_evacuation(const std::string& zone, bool evacuated);
    void check_unknown_zones();
    std::size_t agents_in(const std::string& zone) const;
    void record_reports(const balancer_notice& notice);
    void send_notices();
    void run_periodic_check();

    event_loop* loop_;
    relay_balancer_options options_;
    packet_codec codec_;
    route_table routes_;
    evacuation_set evacuations_;
    agent_directory agents_;
    flow_dispatcher dispatcher_;
    relay_peers peers_;
    notice_sender notices_;
    std::unique_ptr<membership_tracker> membership_;
    std::unique_ptr<udp_socket> callers_;
    std::unique_ptr<udp_socket> relay_;
    std::uint64_t malformed_ = 0;
    kept_packets kept_; ///< Packets that continue searches.
    timer_id query_timer_ = 0;
    timer_id notice_timer_ = 0;
    timer_id check_timer_ = 0;
    timer_id unknown_zone_timer_ = 0;
};

} // namespace briarfield

#endif
