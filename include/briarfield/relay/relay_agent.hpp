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
    endpoint relay; ///< Frames of our own processes; answers leave here. Port
                    ///< 0: any.
    endpoint from_server;          ///< Packets of the server arrive here.
    endpoint server;               ///< Where the server takes packets.
    std::uint16_t caller_port = 0; ///< Where callers take packets.
    std::vector<endpoint> seeds;   ///< Relay addresses of some balancers.
    std::string service;           ///< That the server runs, by the settings.
    std::string zone;
    /// An address may serve another service after a silence of that length.
    duration silence_limit = std::chrono::milliseconds(1900);
    duration heartbeat_interval = std::chrono::milliseconds(300);
};

/// \brief The agent beside a server that returns what it does not hold.
///
/// Joins \ref server_gate, which decides, to sockets, timers and logs.
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

    /// \brief Heartbeats and farewells of the server go there.
    server_registration& server() { return server_; }

    /// \brief Asks balancers to place no new flows here while it stops.
    void leave();

    /// \brief Asks the server about flows that it, or the one before it on
    /// this instance, had before the agent started.
    ///
    /// \a probes are \ref server_gate::probes of an earlier agent; one
    /// that the server returns ends its flow. Asked again when the server has
    /// been heard of.
    void restore(const std::vector<short_packet>& probes);

    /// \brief Agents of all instances, as balancers say.
    std::size_t agent_count() const { return agent_count_; }

    const server_gate& gate() const { return gate_; }
    const udp_socket& relay_socket() const { return *relay_; }
    const udp_socket& server_socket() const { return *from_server_; }

    /// \brief Writes to these balancers, too, from now on.
    void add_seeds(const std::vector<endpoint>& seeds);

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
    void on_notice(const balancer_notice& notice);
    void give_back(byte_span packet, const gate_verdict& v);
    void on_server_change();
    void probe_server(const std::vector<short_packet>& probes);
    void send_probes();
    void send_probe(const short_packet& probe);
    agent_status make_status();
    void send_heartbeats();
    void send_status(const agent_status& status);
    void beat();
    void check();

    event_loop* loop_;
    relay_agent_options options_;
    packet_codec codec_;
    random_source* random_;
    server_registration server_;
    server_gate gate_;
    relay_peers balancers_;
    std::unique_ptr<udp_socket> relay_;
    std::unique_ptr<udp_socket> from_server_;
    std::uint64_t incarnation_;
    std::uint64_t sequence_ = 0;
    std::uint64_t malformed_ = 0;
    std::size_t agent_count_ = 1;
    std::vector<short_packet>
        waiting_probes_; ///< In turns, the last one first.
    std::vector<short_packet>
        restored_probes_;              ///< Until the server is heard of.
    std::uint64_t probed_born_ms_ = 0; ///< Life of the server asked last.
    bool reported_silent_ = false;
    timer_id beat_timer_ = 0;
    timer_id check_timer_ = 0;
    timer_id probe_timer_ = 0;
};

} // namespace briarfield

#endif
