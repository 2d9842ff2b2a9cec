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

/// Endpoint 10.0.0.\a host, port \a port.
endpoint host_endpoint(std::uint8_t host, std::uint16_t port);

/// A server and its agent, free of I/O.
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
    bool crashed = false; ///< Sends nothing; its instance returns packets.
    std::set<std::uint16_t> flows; ///< Open or half-open flows, by caller port.
    std::size_t openings = 0;      ///< Openings that reached the server.
    /// Packets of flows that the server does not have.
    std::size_t foreign_packets = 0;
};

/// What a caller has received on a flow.
struct simulated_caller
{
    std::size_t accepted = 0; ///< Answers to its openings.
    std::size_t answers = 0;  ///< Answers to its data.
    std::size_t resets = 0;   ///< Resets of an open flow that should be kept.
    std::size_t resets_allowed = 0; ///< Other resets.
};

/// Balancers, agents and servers, connected without delay and run by a manual
/// clock.
class dispatch_network
{
public:
    dispatch_network();

    /// Adds a server of \a service; balancers track it from the next \ref
    /// send_heartbeats.
    std::size_t add_server(const std::string& service);
    std::size_t add_balancer();

    /// Restarts balancer \a balancer_index without its caches and records.
    void restart_balancer(std::size_t balancer_index);
    /// Restarts the agent of server \a server_index; the server keeps running.
    void restart_agent(std::size_t server_index);
    /// Stops the server and immediately starts a new one in its place.
    void replace_server(std::size_t server_index, const std::string& service);

    /// Puts routes of version \a version in force on all balancers: port 80 to
    /// \a shares.
    void set_routes(std::uint64_t version, std::vector<service_share> shares);
    void set_routes_of(std::size_t balancer_index, const route_set& routes);

    /// Every running agent sends a heartbeat to every balancer, and every
    /// balancer reports the agents that it tracks to the others.
    void send_heartbeats();
    /// Advances the clock, with heartbeats at their usual interval.
    void advance(duration d);
    /// Advances the clock without heartbeats.
    void advance_without_heartbeats(duration d);
    /// Advances the clock while all balancers are paused.
    void pause_balancers(duration d);

    /// Sends a packet of the caller with port \a caller through balancer \a
    /// balancer_index. Copies of one opening have the same \a sequence.
    void open(std::size_t balancer_index,
              std::uint16_t caller,
              unsigned retransmission_count = 0,
              std::uint32_t sequence = 1);
    void send(std::size_t balancer_index,
              std::uint16_t caller,
              std::uint32_t sequence = 0);

    /// Delivers a heartbeat of an agent to every balancer.
    void deliver_heartbeat(const agent_status& status);

    /// Of the last search that has ended; none if it ended in a reset.
    search_uncertainty uncertainty() const { return uncertainty_; }

    simulated_server& server(std::size_t server_index)
    {
        return *servers_[server_index];
    }
    flow_dispatcher& balancer(std::size_t balancer_index)
    {
        return *balancers_[balancer_index]->dispatcher;
    }
    const simulated_caller& caller(std::uint16_t port)
    {
        return callers_[port];
    }
    /// Position of the server that has the flow, or servers() if none.
    std::size_t holder(std::uint16_t caller) const;
    std::size_t servers() const { return servers_.size(); }

    manual_clock& time() { return clock_; }

    /// Balancer that receives heartbeats of an agent, and peers' reports of it,
    /// only once the agent is some time old.
    std::size_t delayed_balancer = std::numeric_limits<std::size_t>::max();

    /// Drops the messages by which agents report that they have a flow.
    bool drop_flow_held = false;

    /// Drops the answers of agents to queries.
    bool drop_answers = false;

    /// Agents are of a version that returns whole packets to searches.
    bool earlier_agents = false;

    /// Packets that balancers have sent to query agents, and messages.
    std::size_t packet_queries = 0;
    std::size_t message_queries = 0;

private:
    struct simulated_balancer
    {
        endpoint relay;
        route_table routes;
        std::unique_ptr<agent_directory> agents;
        std::unique_ptr<flow_dispatcher> dispatcher;
    };

    /// A packet that a balancer keeps to continue a search.
    struct kept_packet
    {
        time_point due{};
        flow_packet packet;
    };

    /// Balancer and caller's port.
    using kept_key = std::pair<std::size_t, std::uint16_t>;

    /// A query on its way to an agent.
    struct sent_query
    {
        std::size_t balancer_index = 0;
        endpoint agent;
        std::uint32_t id = 0;
        std::vector<flow_key> flows;
    };

    flow_packet packet(std::uint16_t caller, packet_kind kind) const;
    void execute(std::size_t balancer_index,
                 const flow_packet& p,
                 const dispatch_verdict& v);
    void deliver(std::size_t balancer_index,
                 const flow_packet& p,
                 const dispatch_verdict& v);
    void to_server(std::size_t server_index, flow_packet p, std::uint32_t tag);
    void from_server(std::size_t server_index,
                     const flow_packet& p,
                     std::uint32_t tag);
    void connect_search(std::size_t balancer_index);
    void keep(std::size_t balancer_index, const flow_packet& p, duration delay);
    void release(kept_key key);
    bool run_next_before(time_point end);
    void answer(const sent_query& query);
    void make_agent(simulated_server& node, std::uint64_t born_ms);
    void exchange_agent_lists();
    void advance_clock(duration d);
    void check_agents();
    void check_balancers();
    bool receives(std::size_t balancer_index, const endpoint& relay) const;
    /// Whether a reset of the flow is correct: the flow is lost; or its agent
    /// stopped without notice, and no running balancer has a record of the
    /// agent, or the agent has been down for the stability window.
    bool may_be_reset(std::uint16_t caller) const;
    std::size_t server_at(const endpoint& relay) const;
    std::size_t balancer_at(const endpoint& relay) const;

    manual_clock clock_;
    std::vector<std::unique_ptr<simulated_server>> servers_;
    std::vector<std::unique_ptr<simulated_balancer>> balancers_;
    std::map<std::uint16_t, simulated_caller> callers_;
    route_set routes_;
    std::uint64_t born_ms_ = 1;
    std::map<kept_key, kept_packet> kept_packets_;
    std::multimap<time_point, sent_query> queries_;  ///< By time of arrival.
    std::multimap<time_point, std::size_t> flushes_; ///< Balancers, by time.
    search_uncertainty uncertainty_ = search_uncertainty::none;
};

} // namespace briarfield::test

#endif
