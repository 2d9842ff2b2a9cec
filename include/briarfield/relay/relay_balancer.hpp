#ifndef BRIARFIELD_RELAY_RELAY_BALANCER_HPP
#define BRIARFIELD_RELAY_RELAY_BALANCER_HPP

#include "briarfield/control/dispatch_messages.hpp"
#include "briarfield/dispatch/flow_dispatcher.hpp"
#include "briarfield/dispatch/relay_frame.hpp"
#include "briarfield/net/event_loop.hpp"
#include "briarfield/net/udp_socket.hpp"
#include "briarfield/relay/relay_peers.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace briarfield
{

/// \brief Addresses and delays of a \ref relay_balancer.
struct relay_balancer_options
{
    endpoint callers; ///< Packets of callers arrive here, resets leave here.
    endpoint relay;   ///< Frames of our own processes. Port 0: any.
    std::uint16_t caller_port = 0; ///< Where callers take packets.
    std::vector<endpoint> seeds;   ///< Relay addresses of some balancers.
    std::uint64_t incarnation = 0; ///< Differs with each start.
    flow_dispatcher::options dispatch;
    duration notice_interval = std::chrono::seconds(1);
};

/// \brief A balancer before servers that return what they do not hold.
///
/// Joins \ref flow_dispatcher, which decides, to sockets, timers and logs.
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

    /// \brief Puts routes in force unless they are not newer.
    void take_routes(const route_set& routes);

    /// \brief Whether flows can be served: routes and agents are known.
    bool ready() const;

    /// \brief What is missing while not \ref ready.
    std::string not_ready_reason() const;

    /// \brief Whether this balancer is to notice a broken watch of the routes
    /// soon; the others hear from it.
    bool watches_closely();

    /// \brief Tells all others that this balancer stops.
    void leave();

    const flow_dispatcher& dispatcher() const { return dispatcher_; }
    const agent_directory& agents() const { return agents_; }
    std::uint64_t routes_version() const { return routes_.version(); }
    const udp_socket& caller_socket() const { return *callers_; }
    const udp_socket& relay_socket() const { return *relay_; }

    /// \brief Called when another balancer has newer routes in force.
    std::function<void(std::uint64_t version)> on_newer_routes;

    /// \brief Writes to these balancers, too, from now on.
    void add_seeds(const std::vector<endpoint>& seeds);

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
    void on_given_back(const relay_frame& frame, const endpoint& from);
    void on_message(const relay_frame& frame);
    void on_message(const agent_status& status);
    void on_message(const flow_held_message& held);
    void on_message(const balancer_notice& notice);
    void carry_out(const dispatch_verdict& v,
                   byte_span packet,
                   const flow_packet& p);
    void ask_again_later(byte_span packet, duration delay);
    balancer_notice make_notice(bool with_agents);
    void send_notice(const endpoint& to, const balancer_notice& notice);
    void send_notices();
    void check();

    event_loop* loop_;
    relay_balancer_options options_;
    packet_codec codec_;
    route_table routes_;
    agent_directory agents_;
    flow_dispatcher dispatcher_;
    relay_peers peers_;
    std::unique_ptr<udp_socket> callers_;
    std::unique_ptr<udp_socket> relay_;
    std::unordered_map<endpoint, time_point, endpoint_hash> greeted_;
    std::size_t listed_balancers_ = 0; ///< Where the next notice goes on.
    std::size_t listed_agents_ = 0;    ///< The same.
    std::uint64_t malformed_ = 0;
    std::uint64_t incarnation_;
    std::size_t kept_packets_ = 0; ///< By ask_again_later.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    timer_id notice_timer_ = 0;
    timer_id check_timer_ = 0;
};

} // namespace briarfield

#endif
