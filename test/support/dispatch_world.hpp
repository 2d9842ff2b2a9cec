#ifndef BRIARFIELD_TEST_SUPPORT_DISPATCH_WORLD_HPP
#define BRIARFIELD_TEST_SUPPORT_DISPATCH_WORLD_HPP

#include "briarfield/dispatch/flow_dispatcher.hpp"
#include "briarfield/dispatch/server_gate.hpp"

#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace briarfield::test
{

/// Endpoint 10.0.0.\a host : \a port.
endpoint host_endpoint(std::uint8_t host, std::uint16_t port);

/// A server, its agent's decisions, and what balancers hear of it.
struct simulated_server
{
    std::string service;
    endpoint relay;
    std::unique_ptr<server_registration> registration;
    std::unique_ptr<server_gate> gate;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    bool agent_up = true;
    time_point last_up{};
    time_point started{};
    bool takes_openings = true;
    bool crashed = false; ///< Says nothing; its instance returns packets.
    std::set<std::uint16_t> flows;   ///< Open or half open, by caller port.
    std::size_t openings = 0;        ///< That reached the server.
    std::size_t foreign_packets = 0; ///< Of flows that it does not hold.
};

/// What a caller has seen of a flow.
struct simulated_caller
{
    std::size_t accepted = 0;       ///< Answers to its opening.
    std::size_t answers = 0;        ///< To its data.
    std::size_t resets = 0;         ///< Of an open flow that should be kept.
    std::size_t resets_allowed = 0; ///< Others.
};

/// Balancers, agents and servers joined without delay, on a paused clock.
class dispatch_network
{
public:
    dispatch_network();

    /// Adds a server of \a service; the balancers hear of it by \ref beat.
    std::size_t add_server(const std::string& service);
    std::size_t add_balancer();

    /// Makes balancer \a b anew, without what it knew.
    void restart_balancer(std::size_t b);
    /// Makes the agent of server \a s anew; the server lives on.
    void restart_agent(std::size_t s);
    /// The server dies and a new one starts at once in its place.
    void replace_server(std::size_t s, const std::string& service);

    /// Routes of version \a version: port 80 to \a shares.
    void set_routes(std::uint64_t version, std::vector<service_share> shares);
    void set_routes_of(std::size_t b, const route_set& routes);

    /// Every agent that is up sends a heartbeat to every balancer, and every
    /// balancer names the agents that it knows to the others.
    void send_heartbeats();
    /// Lets time pass with heartbeats at their usual interval.
    void advance(duration d);
    /// Lets time pass in silence.
    void advance_without_heartbeats(duration d) { clock_.advance(d); }

    /// Sends a packet of the caller with port \a caller through balancer \a b.
    void open(std::size_t b,
              std::uint16_t caller,
              unsigned retransmission_count = 0);
    void send(std::size_t b, std::uint16_t caller);

    /// Hands a heartbeat of an agent to every balancer.
    void deliver_heartbeat(const agent_status& status);

    /// Of the last packet that was dropped.
    duration retry_after() const { return retry_after_; }

    search_uncertainty uncertainty() const { return uncertainty_; }

    simulated_server& server(std::size_t s) { return *servers_[s]; }
    flow_dispatcher& balancer(std::size_t b)
    {
        return *balancers_[b]->dispatcher;
    }
    const simulated_caller& caller(std::uint16_t port)
    {
        return callers_[port];
    }
    /// Position of the server that holds the flow, or servers() if none.
    std::size_t holder(std::uint16_t caller) const;
    std::size_t servers() const { return servers_.size(); }

    manual_clock& time() { return clock_; }

    /// Balancer that hears an agent only when that has been up for a while.
    std::size_t delayed_balancer = std::numeric_limits<std::size_t>::max();

    /// Loses the messages by which agents say that they have a flow.
    bool drop_flow_held = false;

private:
    struct simulated_balancer
    {
        endpoint relay;
        route_table routes;
        std::unique_ptr<agent_directory> agents;
        std::unique_ptr<flow_dispatcher> dispatcher;
    };

    flow_packet packet(std::uint16_t caller, packet_kind kind) const;
    void execute(std::size_t b, const flow_packet& p, dispatch_verdict v);
    void
    deliver(std::size_t b, const flow_packet& p, const dispatch_verdict& v);
    void to_server(std::size_t s, flow_packet p, std::uint32_t tag);
    void from_server(std::size_t s, const flow_packet& p, std::uint32_t tag);
    void make_agent(simulated_server& s, std::uint64_t born_ms);
    void exchange_agent_lists();
    bool receives(std::size_t b, const endpoint& relay) const;
    /// Whether nobody can hold it against us that the flow is reset: it is
    /// gone, or its agent went away without a word, and either no balancer
    /// that is up has ever heard of it or a disturbed machine counts no more.
    bool may_be_reset(std::uint16_t caller) const;
    std::size_t server_at(const endpoint& relay) const;
    std::size_t balancer_at(const endpoint& relay) const;

    manual_clock clock_;
    std::vector<std::unique_ptr<simulated_server>> servers_;
    std::vector<std::unique_ptr<simulated_balancer>> balancers_;
    std::map<std::uint16_t, simulated_caller> callers_;
    route_set routes_;
    std::uint64_t born_ms_ = 1;
    duration retry_after_{};
    search_uncertainty uncertainty_ = search_uncertainty::none;
};

} // namespace briarfield::test

#endif
