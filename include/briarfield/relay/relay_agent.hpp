#ifndef BRIARFIELD_RELAY_RELAY_AGENT_HPP
#define BRIARFIELD_RELAY_RELAY_AGENT_HPP

#include "briarfield/control/dispatch_messages.hpp"
#include "briarfield/core/random.hpp"
#include "briarfield/dispatch/relay_frame.hpp"
#include "briarfield/dispatch/server_gate.hpp"
#include "briarfield/net/event_loop.hpp"
#include "briarfield/net/udp_socket.hpp"
#include "briarfield/relay/relay_peers.hpp"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace briarfield
{

/// \brief Addresses and delays of a \ref relay_agent.
struct relay_agent_options
{
    /// Receives frames of balancers; packets to callers leave from here. Port
    /// 0: any free port.
    endpoint relay;
    endpoint from_server;          ///< Receives packets of the server.
    endpoint server;               ///< Where the server receives packets.
    std::uint16_t caller_port = 0; ///< Port at which callers receive packets.
    std::vector<endpoint> seeds;   ///< Relay addresses of some balancers.
    std::string service;           ///< Service of the server by the settings.
    std::string zone;
    /// Whether the agent takes no opening while its zone is evacuated.
    bool follows_evacuations = false;
    warmup_limiter::options warmup; ///< Limits openings of a cold server.
    /// The server is unresponsive when nothing was received from it for this
    /// long. After that, its address may serve another service.
    duration silence_limit = std::chrono::milliseconds(1900);
    /// Maximum interval between heartbeats; jitter shortens it by up to 1/8.
    duration heartbeat_interval = std::chrono::milliseconds(300);
    /// The same while no balancer sends notices: after a restart of the whole
    /// deployment, balancers need the first heartbeats to place any flow.
    duration search_heartbeat_interval = std::chrono::milliseconds(50);
    /// Balancers are taken to be down when none has sent a notice for this
    /// long. Each sends one a second.
    duration notice_timeout = std::chrono::milliseconds(1500);
    /// Longest life of a flow.
    duration max_flow_age = server_gate::default_max_flow_age;
};

/// \brief Agent of a server that returns packets of flows it does not hold.
///
/// Connects \ref server_gate, which decides on each packet, with sockets,
/// timers and logs.
class relay_agent
{
public:
    /// Errors: errc::address_in_use, errc::socket_failed, errc::loop_failed.
    static result<std::unique_ptr<relay_agent>>
    create(event_loop& loop,
           const relay_agent_options& options,
           packet_codec codec,
           random_source& random);

    ~relay_agent();
    relay_agent(const relay_agent&) = delete;
    relay_agent& operator=(const relay_agent&) = delete;

    /// \brief Record of the server, to which its heartbeats and leave messages
    /// are passed.
    server_registration& server() { return server_; }

    /// \brief Notifies balancers that the agent stops, so that they place no
    /// new flows here.
    void leave();

    /// \brief Probes the flows that this server, or the previous one on the
    /// instance, held before the agent started.
    ///
    /// \a probes are \ref server_gate::probes of an earlier agent; a probe that
    /// the server returns ends its flow. The probes are sent again when the
    /// server's first heartbeat has been received.
    void restore(const std::vector<short_packet>& probes);

    /// \brief Number of agents of all instances, as balancers report it.
    std::size_t agent_count() const { return agent_count_; }

    const server_gate& gate() const { return gate_; }
    const opening_policy& openings() const { return openings_; }
    const udp_socket& relay_socket() const { return *relay_; }
    const udp_socket& server_socket() const { return *from_server_; }

    /// \brief Adds balancers that are sent heartbeats from now on.
    void add_seeds(const std::vector<endpoint>& seeds);

    /// \brief Whether no balancer is known to run.
    bool awaits_balancers() const;

    /// \brief Sends heartbeats to balancers that others have reported; the
    /// addresses may be outdated.
    void try_balancers(const std::vector<endpoint>& addresses);

    /// \brief The same for balancers that have a record in the store. Beyond
    /// the first ones, each is sent one heartbeat: hundreds of records may be
    /// outdated, and heartbeats are frequent while no balancer responds.
    void try_recorded_balancers(const std::vector<endpoint>& addresses);

    /// \brief Address on which the agent receives frames.
    const endpoint& relay_address() const { return options_.relay; }

    /// \brief Differs with each start of the agent.
    std::uint64_t incarnation() const { return incarnation_; }

private:
    relay_agent(event_loop& loop,
                const relay_agent_options& options,
                packet_codec codec,
                random_source& random);

    result<void> open();
    void set_log_hooks();
    void on_relay_batch(const udp_socket::datagram* batch, std::size_t count);
    void on_relay_datagram(byte_span datagram, const endpoint& from);
    void on_server_batch(const udp_socket::datagram* batch, std::size_t count);
    void on_server_datagram(byte_span datagram);
    void on_message(byte_span body);
    void on_notice(const balancer_notice& notice);
    void on_query(const flow_query& query);
    void return_packet(byte_span packet, const gate_verdict& verdict);
    void notify_balancer(const endpoint& balancer, const flow_key& key);
    void on_server_change();
    void probe_server(const std::vector<short_packet>& probes);
    void send_probes();
    void send_probe(const short_packet& probe);
    agent_status make_status();
    void send_heartbeats();
    void send_status(const agent_status& status);
    void send_periodic_heartbeat();
    void report_openings();
    void run_periodic_check();

    event_loop* loop_;
    relay_agent_options options_;
    packet_codec codec_;
    random_source* random_;
    server_registration server_;
    opening_policy openings_;
    server_gate gate_;
    relay_peers balancers_;
    std::unique_ptr<udp_socket> relay_;
    std::unique_ptr<udp_socket> from_server_;
    std::uint64_t incarnation_;
    std::uint64_t sequence_ = 0;
    std::uint64_t malformed_ = 0;
    std::size_t agent_count_ = 1;
    time_point last_notice_{}; ///< Of any balancer that does not leave.
    /// Probes that are sent in batches, from the back.
    std::vector<short_packet> pending_probes_;
    /// Probes that are sent again when the server's first heartbeat is
    /// received, unless the server has returned one before.
    std::vector<short_packet> restored_probes_;
    /// Start time of the server incarnation that was probed last.
    std::uint64_t probed_start_ms_ = 0;
    bool reported_timed_out_ = false;
    bool reported_limited_ = false; ///< Openings of the server are limited.
    bool reported_awaiting_ = false;
    time_point started_; ///< Of the agent.
    timer_id heartbeat_timer_ = 0;
    timer_id check_timer_ = 0;
    timer_id probe_timer_ = 0;
};

} // namespace briarfield

#endif
