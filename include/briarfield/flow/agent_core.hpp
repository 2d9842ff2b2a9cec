#ifndef BRIARFIELD_FLOW_AGENT_CORE_HPP
#define BRIARFIELD_FLOW_AGENT_CORE_HPP

#include "briarfield/core/clock.hpp"
#include "briarfield/core/counter_set.hpp"
#include "briarfield/flow/flow_table.hpp"
#include "briarfield/packet/overlay_header.hpp"
#include "briarfield/route/service_table.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace briarfield
{

/// \brief Outcome of a packet at an agent; each value has a counter.
enum class agent_event : std::uint8_t
{
    delivered,
    accepted,
    passed_along,
    redirected,
    returned_to_fabric,
    refused_draining,
    refused_limit,
    refused_table_full,
    reset_unknown_flow,
    dropped_truncated,
    dropped_malformed,
    dropped_version,
    dropped_key_unknown,
    dropped_mac,
    dropped_wrong_service,
    dropped_wrong_address,
    dropped_checksum,
    dropped_no_map,
    dropped_no_lease,
    dropped_stale_map,
    dropped_unclaimed_reset,
    dropped_settling,
    asked_server,
    recovered,
    evicted_opening,
    probed_silent,
    reset_silent,
    dropped_from_server,
    count_
};

/// \brief Label of \a event in metrics.
std::string_view agent_event_name(agent_event event) noexcept;

/// \brief Activity of a flow at the agent; input of the capacity estimator.
enum class flow_activity : std::uint8_t
{
    accepted,        ///< A new flow was delivered to the server.
    request_bytes,   ///< Payload went to the server.
    answer_bytes,    ///< Payload came from the server.
    server_rejected, ///< The server responded to a new flow with a reset.
    server_reset,    ///< The server reset an open flow.
    closed,          ///< The flow has ended.
    count_
};

/// \brief One observation of a flow at the agent.
struct flow_observation
{
    flow_activity activity = flow_activity::accepted;
    const flow_key* key = nullptr; ///< Valid only during the call.
    std::size_t bytes = 0;         ///< Payload size.
    time_point when;
};

/// \brief The agent's decision for each packet, free of I/O.
///
/// Authoritative for the flows of one backend server. Invariant: an agent
/// accepts a new flow of a bucket only after every earlier owner in the
/// packet's chain has been queried and has handed the bucket over at the
/// packet's map version or a later one. Once an agent has handed a bucket over,
/// it accepts no new flow of that bucket from an older map. The handovers of an
/// earlier run are not stored, so a restarted agent accepts no flow from a map
/// older than the first one received since its start. See
/// docs/design/flow-affinity.md.
class agent_core
{
public:
    /// \brief Settings of the agent's data path.
    struct options
    {
        service_id service = 0;
        endpoint local_address; ///< Address of this agent in chains.
        std::set<service_address> addresses; ///< Addresses of the service.
        std::size_t flow_capacity = 65536;   ///< Maximum number of flows.
        std::uint32_t bucket_count = 256;

        /// Time after the start during which no bucket counts as released,
        /// since flows of an earlier run may still be unknown to this one.
        duration release_hold = std::chrono::minutes(30);

        /// Time after the start of draining during which new flows are still
        /// accepted, until maps without this server are in force.
        duration drain_grace = std::chrono::seconds(3);

        /// Time after the start during which this agent, as an earlier owner,
        /// assumes that an unknown UDP flow may belong to its earlier run.
        duration udp_recovery = std::chrono::minutes(10);

        /// Time after the start during which this agent, as an earlier owner,
        /// marks a SYN as ambiguous that its earlier run may have accepted.
        duration startup_grace = std::chrono::seconds(2);

        /// A flow is stalled, and is probed, when payload of either end has
        /// been unanswered for this time.
        duration stall_timeout = std::chrono::seconds(15);

        std::size_t recovery_limit = 1024; ///< Maximum number of held segments.

        /// Time limit for the server's response to a probe for a flow.
        duration recovery_timeout = std::chrono::seconds(1);

        std::uint64_t flow_seed = 0; ///< Seed of the flow table's hash.

        /// Time during which the owner in a concurrent map is queried too.
        duration concurrent_owner_lifetime = std::chrono::seconds(60);
    };

    agent_core(options opts, const clock& c, const overlay_keyring& keys);

    /// \brief Processes an overlay datagram from a balancer or another agent.
    ///
    /// \ref overlay_max_size writable bytes must precede \a datagram.
    void on_overlay(byte_span datagram);

    /// \brief Processes an IP packet that the server sent to a caller.
    void on_server_packet(byte_span packet);

    /// \brief Updates the buckets that this agent owns to those at \a version.
    ///
    /// Buckets outside \a owned are handed over at \a version. The first map
    /// is always applied; later, a version not newer than \ref applied_map is
    /// ignored. No new flow is accepted before the first map.
    void on_map(map_version version, const bucket_bitmap& owned);

    /// \brief Whether a map has been received since the start.
    bool has_map() const { return has_map_; }

    /// \brief Version of the newest map received.
    map_version applied_map() const { return applied_map_; }

    /// \brief Buckets handed over at \ref applied_map that have no flow here.
    ///
    /// Chains of these buckets need not contain this agent.
    bucket_bitmap released() const;

    /// \brief Starts or stops draining.
    ///
    /// While draining, no new flow is accepted after options::drain_grace;
    /// packets of existing flows are still delivered.
    void set_draining(bool draining);

    /// \brief Replaces the addresses at which callers reach the service.
    ///
    /// Flows of a removed address end immediately. The server receives a reset
    /// for TCP; the caller receives nothing, since the address may already
    /// belong to another service.
    void set_addresses(std::set<service_address> addresses);

    /// \brief Sets the number of buckets of the service's maps, a power of two.
    void set_bucket_count(std::uint32_t count);

    /// \brief Removes expired flows and probes stalled ones.
    ///
    /// To be called about once a second.
    void expire();

    const flow_table& flows() const { return flows_; }
    const counter_set<agent_event>& counters() const { return counters_; }

    /// \brief Delivers a packet to the server.
    std::function<void(const_byte_span)> to_server;

    /// \brief Sends a packet for a caller to the fabric.
    std::function<void(const_byte_span)> to_fabric;

    /// \brief Sends a datagram to another agent.
    std::function<void(const endpoint&, const_byte_span)> to_agent;

    /// \brief Whether this agent holds a lease; called before a flow is
    /// accepted.
    ///
    /// False drops the packet, so that the caller's retransmission reaches the
    /// owner of the bucket at that time. Empty: the lease is always held.
    std::function<bool()> leased;

    /// \brief Called before a flow is accepted; false rejects it. Empty: every
    /// flow is admitted.
    std::function<bool(const flow_key&)> admit;

    /// \brief Hash of a flow, identical to that of the balancers. Empty: flows
    /// are not recovered from packets of the server.
    std::function<std::uint64_t(const flow_key&)> hash;

    /// \brief Called for each activity of a flow; may be empty.
    std::function<void(const flow_observation&)> observe;

    /// \brief Called with the outcome of a traced packet; may be empty.
    ///
    /// May change the context, which is forwarded to the next hop.
    std::function<void(agent_event, const flow_key&, trace_context&)> trace;

    /// \brief Called for the server's first packet of a flow; may be empty.
    std::function<void(const flow_key&, bool rejected)> on_first_answer;

private:
    /// State of a bucket that this agent has handed over.
    struct bucket_handover
    {
        std::uint64_t min_version = 0;      ///< Older maps open no flow here.
        std::uint64_t handover_version = 0; ///< Map of \ref chain; 0: none.
        std::uint8_t chain_length = 0;
        std::array<endpoint, max_chain_length> chain{};
        /// Owners in \ref chain may accept flows until then.
        time_point handover_until;
        /// Owner in a map concurrent with \ref handover_version.
        endpoint concurrent_owner;
        time_point concurrent_owner_until;
    };

    void count(agent_event event);
    /// A segment of an unknown flow, held until the server has responded.
    struct held_segment
    {
        overlay_header header;
        std::vector<std::uint8_t> bytes; ///< Packet, after space for a header.
        time_point deadline;
    };

    bool started_within(duration span) const;
    std::uint8_t age_class() const;
    void mark_ambiguous(overlay_header& header) const;
    bool younger_than_marked(const overlay_header& header) const;
    bucket_handover& handover_of(std::uint16_t bucket);
    bool may_have_accepted(const overlay_header& header,
                           const ip_packet_view& view) const;
    void recover(overlay_header& header,
                 byte_span packet,
                 const ip_packet_view& view);
    void recover_udp_flow(const overlay_header& header,
                          byte_span packet,
                          const ip_packet_view& view);
    void query_server(const overlay_header& header,
                      byte_span packet,
                      const ip_packet_view& view);
    bool resolve_held(const flow_key& key, const ip_packet_view& answer);
    void continue_search(held_segment& held);
    bool recover_from_server(const flow_key& key, const ip_packet_view& view);
    bool check_stalled(const flow_key& key, flow_record& record);
    void probe_caller(const flow_key& key, const flow_record& record);
    void probe_server(const flow_key& key, const flow_record& record);
    void reset_server(const flow_key& key, const flow_record& record);
    void reset_both(const flow_key& key, const flow_record& record);
    void expire_held();
    void record_server_packet(const flow_key& key,
                              flow_record& record,
                              const ip_packet_view& view);
    void handle(overlay_header& header,
                byte_span packet,
                const ip_packet_view& view);
    void forward_to_next(overlay_header& header, byte_span packet);
    void
    redirect(overlay_header& header, byte_span packet, bucket_handover& newer);
    bool predates_start(const overlay_header& header) const;
    void finish_search(overlay_header& header,
                       byte_span packet,
                       const ip_packet_view& view);
    void accept(const overlay_header& header,
                byte_span packet,
                const ip_packet_view& view);
    void
    deliver(flow_record& record, byte_span packet, const ip_packet_view& view);
    void record_caller_packet(flow_record& record, const ip_packet_view& view);
    void reject(agent_event event,
                const_byte_span packet,
                const ip_packet_view& view);
    void reset_caller(const_byte_span packet, const ip_packet_view& view);
    void hand_over(overlay_header& header);
    void append_concurrent_owner(overlay_header& header,
                                 const bucket_handover& handover) const;
    static bool has_concurrent_owner(const bucket_handover& handover,
                                     const overlay_header& header);
    void record_concurrent_owner(bucket_handover& handover,
                                 const endpoint& owner,
                                 time_point until);
    void forward(const overlay_header& header, byte_span packet);
    void report(flow_activity activity,
                const flow_key& key,
                std::size_t payload) const;

    options options_;
    const clock* clock_;
    const overlay_keyring* keys_;
    flow_table flows_;
    std::vector<bucket_handover> handovers_;
    bucket_bitmap owned_;
    std::vector<bool> ever_owned_; ///< By bucket, since the start.
    std::unordered_map<flow_key, held_segment, flow_key_hash> held_;
    map_version first_map_;
    map_version applied_map_;
    bool has_map_ = false;
    bool restarted_ = false; ///< The first map already assigned buckets.
    counter_set<agent_event> counters_;
    time_point started_;
    time_point drain_began_;
    bool draining_ = false;
    /// Header of the current packet; null if it is not traced.
    overlay_header* traced_ = nullptr;
    const flow_key* traced_key_ = nullptr;
};

} // namespace briarfield

#endif
