#ifndef BRIARFIELD_TEST_FLOW_AGENT_NETWORK_HPP
#define BRIARFIELD_TEST_FLOW_AGENT_NETWORK_HPP

#include "briarfield/core/random.hpp"
#include "briarfield/flow/agent_core.hpp"
#include "briarfield/route/balancer_core.hpp"
#include "briarfield/route/map_builder.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace briarfield::test
{

/// Packet bytes, preceded by free space for an overlay header.
class packet_buffer
{
public:
    static constexpr std::size_t headroom = 256;

    explicit packet_buffer(const_byte_span bytes)
        : bytes_(headroom + bytes.size())
    {
        std::copy(bytes.begin(), bytes.end(), bytes_.begin() + headroom);
    }

    byte_span span()
    {
        return {bytes_.data() + headroom, bytes_.size() - headroom};
    }

private:
    std::vector<std::uint8_t> bytes_;
};

/// A backend server as its kernel implements it: connections and datagrams.
class fake_server
{
public:
    /// Response to one packet; empty if it needs none.
    std::vector<std::uint8_t> handle(const_byte_span packet);

    /// Requests delivered, by payload.
    std::map<std::string, unsigned> request_counts;

private:
    std::set<std::uint16_t> connections_;
};

/// A flow of a caller, identified by its source port.
struct test_flow
{
    flow_key key;
    bool open = false;
    bool reset = false;
    unsigned answers = 0;
    std::set<std::size_t> servers; ///< Servers that received its packets.
};

/// Balancers, agents, servers and callers in a simulated lossy network.
///
/// Deterministic for a given seed. The clock moves only in advance().
class agent_network
{
public:
    struct options
    {
        std::uint64_t seed = 1;
        std::size_t balancers = 3;
        std::size_t agents = 4;
        std::uint32_t buckets = 4;
        unsigned loss_percent = 10;
        unsigned duplicate_percent = 10;
        bool recovery = false; ///< Agents recover flows of earlier runs.
    };

    explicit agent_network(options opts);

    void open_flow(transport protocol);

    /// Sends or retransmits a packet of a random flow.
    void send_random();
    void send(test_flow& flow);

    /// Delivers one message chosen at random.
    void deliver_one();
    void deliver_all();

    /// Builds the next map, with random weights.
    void change_weights();

    /// Builds concurrent maps of two authors, as in a network partition.
    void split();

    /// Ends the partition: the two maps are merged into one.
    void merge();

    /// Installs the newest map at a random balancer or agent; one of the two
    /// concurrent maps at random after split().
    void update_balancer();
    void update_agent();

    void join();
    void drain();
    void kill_balancer();

    /// Restarts an agent, the same one at each call; its server keeps running.
    void restart_agent();
    void advance(duration d);

    /// Ends packet loss and concurrent maps, installs the newest map, and sends
    /// packets of every flow.
    void converge();

    /// Description of the first fault found; empty if there is none.
    std::string fault() const;

    /// Whether a merge omitted an owner because a chain was full.
    bool chain_truncated() const { return chain_truncated_; }

    /// Sum of a counter over all agents.
    std::uint64_t total(agent_event event) const;

    std::vector<test_flow>& flows() { return flows_; }
    agent_core& agent(std::size_t i) { return *nodes_[i].core; }

private:
    struct node
    {
        std::unique_ptr<agent_core> core;
        std::unique_ptr<fake_server> server;
        double weight = 1;
        bool draining = false;
        map_version announced_version; ///< Version last announced.
        bucket_bitmap released;
    };

    struct message
    {
        enum class target
        {
            agent,
            server,
            from_server,
            caller
        };
        target to;
        std::size_t node;
        packet_buffer bytes;
    };

    static endpoint endpoint_of(std::size_t i);
    void add_node();
    void start_agent(std::size_t i);
    void install_map(std::size_t i);
    void post(message::target to, std::size_t i, const_byte_span bytes);
    void handle(message& m);
    void deliver_to_server(std::size_t i, const_byte_span packet);
    void on_caller_packet(const_byte_span packet);
    void build_map();
    bucket_map next_map(const bucket_map& previous, instance_id author) const;
    std::shared_ptr<const bucket_map> random_map();
    static bool omits_owner(const bucket_map& whole, const bucket_map& part);
    void install_map(std::size_t i, const bucket_map& map);
    bool chance(unsigned percent) { return random_.below(100) < percent; }

    options options_;
    manual_clock clock_;
    random_source random_;
    flow_hasher hasher_;
    overlay_keyring keys_;
    std::vector<node> nodes_;
    std::vector<std::unique_ptr<balancer_core>> balancers_;
    std::vector<bool> balancer_alive_;
    std::optional<std::size_t> restarted_agent_;
    std::shared_ptr<const bucket_map> newest_map_;
    bool chain_truncated_ = false;
    /// Map of a second author, or null.
    std::shared_ptr<const bucket_map> concurrent_map_;
    std::vector<message> messages_;
    std::vector<test_flow> flows_;
};

} // namespace briarfield::test

#endif
