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
struct world_server
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
struct world_caller
{
    std::size_t accepted = 0;       ///< Answers to its opening.
    std::size_t answers = 0;        ///< To its data.
    std::size_t resets = 0;         ///< Of an open flow that should be kept.
    std::size_t resets_allowed = 0; ///< Others.
};

/// Balancers, agents and servers joined without delay, on a paused clock.
class dispatch_world
{
public:
    dispatch_world();

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
    void beat();
    /// Lets time pass with heartbeats at their usual interval.
    void pass(duration d);
    /// Lets time pass in silence.
    void pass_silently(duration d) { clock_.advance(d); }

    /// Sends a packet of the caller with port \a caller through balancer \a b.
    void open(std::size_t b, std::uint16_t caller, unsigned copy = 0);
    void send(std::size_t b, std::uint16_t caller);

    /// Hands a heartbeat of an agent to every balancer.
    void take(const agent_status& status);

    /// Of the last packet that was dropped.
    duration asks_again_after() const { return asks_again_after_; }

    search_doubt doubt() const { return doubt_; }

    world_server& server(std::size_t s) { return *servers_[s]; }
    flow_dispatcher& balancer(std::size_t b) { return *balancers_[b]->core; }
    const world_caller& caller(std::uint16_t port) { return callers_[port]; }
    /// Position of the server that holds the flow, or servers() if none.
    std::size_t holder(std::uint16_t caller) const;
    std::size_t servers() const { return servers_.size(); }

    manual_clock& time() { return clock_; }

    /// Balancer that hears an agent only when that has been up for a while.
    std::size_t hard_of_hearing = std::numeric_limits<std::size_t>::max();

    /// Loses the messages by which agents say that they have a flow.
    bool lose_flow_held = false;

private:
    struct world_balancer
    {
        endpoint relay;
        route_table routes;
        std::unique_ptr<agent_directory> agents;
        std::unique_ptr<flow_dispatcher> core;
    };

    flow_packet packet(std::uint16_t caller, packet_kind kind) const;
    void carry_out(std::size_t b, const flow_packet& p, dispatch_verdict v);
    void
    deliver(std::size_t b, const flow_packet& p, const dispatch_verdict& v);
    void to_server(std::size_t s, flow_packet p, std::uint32_t tag);
    void from_server(std::size_t s, const flow_packet& p, std::uint32_t tag);
    void make_agent(world_server& s, std::uint64_t born_ms);
    void name_agents();
    bool hears(std::size_t b, const endpoint& relay) const;
    /// Whether nobody can hold it against us that the flow is reset: it is
    /// gone, or its agent went away without a word, and either no balancer
    /// that is up has ever heard of it or a disturbed machine counts no more.
    bool owed_nothing(std::uint16_t caller) const;
    std::size_t server_at(const endpoint& relay) const;
    std::size_t balancer_at(const endpoint& relay) const;

    manual_clock clock_;
    std::vector<std::unique_ptr<world_server>> servers_;
    std::vector<std::unique_ptr<world_balancer>> balancers_;
    std::map<std::uint16_t, world_caller> callers_;
    route_set routes_;
    std::uint64_t born_ms_ = 1;
    duration asks_again_after_{};
    search_doubt doubt_ = search_doubt::none;
};

} // namespace briarfield::test

#endif
