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

/// \brief What became of a packet at an agent; one counter each.
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

/// \brief What an agent sees of a flow's work; the capacity estimator reads it.
enum class flow_activity : std::uint8_t
{
    accepted,       ///< A new flow was delivered to the server.
    request_bytes,  ///< Payload went to the server.
    answer_bytes,   ///< Payload came from the server.
    server_refused, ///< The server answered a new flow with a reset.
    server_reset,   ///< The server reset an open flow.
    closed,         ///< The flow is over.
    count_
};

/// \brief One observation of a flow at the agent.
struct flow_observation
{
    flow_activity activity = flow_activity::accepted;
    const flow_key* key = nullptr; ///< Valid during the call alone.
    std::size_t bytes = 0;         ///< Payload.
    time_point when;
};

/// \brief The agent's decision for each packet, free of I/O.
///
/// The authority on the flows of one backend server. Invariant: for each
/// bucket, an agent accepts a new flow only if every earlier owner that the
/// packet's chain names has been asked and has ceded the bucket at the
/// packet's map version or a later one; once it has ceded, it accepts no new
/// flow of the bucket from an older map. What an earlier run of the agent ceded
/// is not known, so none is accepted from a map older than the first one since
/// the start. See docs/design/flow-affinity.md.
class agent_core
{
public:
    /// \brief Settings of the agent's data path.
    struct options
    {
        service_id service = 0;
        endpoint self;                       ///< As chains name this agent.
        std::set<service_address> addresses; ///< Callers reach it there.
        std::size_t flow_capacity = 65536;   ///< Flows.
        std::uint32_t bucket_count = 256;

        /// For so long after the start no bucket counts as released: flows
        /// of an earlier run of this agent may not have been seen yet.
        duration release_hold = std::chrono::minutes(30);

        /// For so long after the start of draining new flows are still
        /// taken, until maps without this server are in force.
        duration drain_grace = std::chrono::seconds(3);

        /// For so long after the start, an earlier owner that does not know a
        /// UDP flow takes it for one of an earlier run of this agent.
        duration udp_recovery = std::chrono::minutes(10);

        /// For so long after the start, an earlier owner does not let a SYN
        /// pass that it may have accepted in an earlier run.
        duration settling = std::chrono::seconds(2);

        /// Bytes unanswered for so long make a flow silent; it is probed.
        duration silent_after = std::chrono::seconds(15);

        std::size_t recovery_limit = 1024; ///< Segments held at once.

        /// For so long the server may take to tell whether it knows a flow.
        duration recovery_timeout = std::chrono::seconds(1);

        std::uint64_t flow_seed = 0; ///< Of the flow table's hash.

        /// For so long the owner in a concurrent map is asked as well.
        duration rival_lifetime = std::chrono::seconds(60);
    };

    agent_core(options opts, const clock& c, const overlay_keyring& keys);

    /// \brief Takes an overlay datagram from a balancer or another agent.
    ///
    /// \ref overlay_max_size writable bytes must precede \a datagram.
    void on_overlay(byte_span datagram);

    /// \brief Takes an IP packet that the server sent to a caller.
    void on_server_packet(byte_span packet);

    /// \brief Takes the buckets that this agent owns at \a version.
    ///
    /// Buckets outside \a owned are ceded at \a version. A version not newer
    /// than \ref known_map is ignored, save for the first map of all. No new
    /// flow is accepted before the first map.
    void on_map(map_version version, const bucket_bitmap& owned);

    /// \brief Whether a map has been taken since the start.
    bool has_map() const { return has_map_; }

    /// \brief Newest map that was taken.
    map_version known_map() const { return known_map_; }

    /// \brief Buckets ceded at \ref known_map that hold no flow.
    ///
    /// An owner chain may leave this agent out for these.
    bucket_bitmap released() const;

    /// \brief Once draining, no flow is accepted after options::drain_grace;
    /// known ones go on.
    void set_draining(bool draining);

    /// \brief Addresses at which callers reach the service now.
    ///
    /// Flows of an address that is no longer there end at once: the server
    /// gets a reset, the caller nothing, since the address may belong to
    /// another service by now.
    void set_addresses(std::set<service_address> addresses);

    /// \brief Buckets of the service's maps; a power of two.
    void set_bucket_count(std::uint32_t count);

    /// \brief Forgets flows that are over, and probes silent ones.
    ///
    /// To be called about once a second.
    void expire();

    const flow_table& flows() const { return flows_; }
    const counter_set<agent_event>& counters() const { return counters_; }

    /// \brief Delivers a packet to the server.
    std::function<void(const_byte_span)> to_server;

    /// \brief Hands a packet for a caller to the fabric.
    std::function<void(const_byte_span)> to_fabric;

    /// \brief Sends a datagram to another agent.
    std::function<void(const endpoint&, const_byte_span)> to_agent;

    /// \brief Asked before a flow is accepted; false drops the packet, so that
    /// the caller's next try finds whoever serves the bucket by then.
    std::function<bool()> leased;

    /// \brief Asked before a flow is accepted; false refuses it.
    std::function<bool(const flow_key&)> admit;

    /// \brief Hash of a flow as balancers compute it; without it flows are not
    /// learned from packets of the server.
    std::function<std::uint64_t(const flow_key&)> hash;

    /// \brief Told what flows do; may be empty.
    std::function<void(const flow_observation&)> observe;

    /// \brief Told what became of a traced packet; may be empty.
    ///
    /// May change the context, which goes on to the next hop.
    std::function<void(agent_event, const flow_key&, trace_context&)> trace;

    /// \brief Told of the server's first packet of a flow; may be empty.
    std::function<void(const flow_key&, bool refused)> first_answer;

private:
    /// What this agent knows of a bucket that it has given up.
    struct cession
    {
        std::uint64_t version = 0;     ///< Older maps open no flow here.
        std::uint64_t led_version = 0; ///< Map of \ref chain; 0: none known.
        std::uint8_t chain_length = 0;
        std::array<endpoint, max_chain_length> chain{};
        time_point led_until; ///< Flows may be accepted by chain until then.
        endpoint rival;       ///< Owner in a map concurrent with led_version.
        time_point rival_until;
    };

    void count(agent_event event);
    /// A segment of an unknown flow, held until the server has answered.
    struct held_segment
    {
        overlay_header header;
        std::vector<std::uint8_t> bytes; ///< With room for a header.
        time_point deadline;
    };

    bool within(duration span) const;
    std::uint8_t age_class() const;
    void mark_unsure(overlay_header& header) const;
    bool younger_than_marked(const overlay_header& header) const;
    cession& cession_of(std::uint16_t bucket);
    bool may_be_ours(const overlay_header& header,
                     const ip_packet_view& view) const;
    void recover(overlay_header& header,
                 byte_span packet,
                 const ip_packet_view& view);
    void claim(const overlay_header& header,
               byte_span packet,
               const ip_packet_view& view);
    void ask_server(const overlay_header& header,
                    byte_span packet,
                    const ip_packet_view& view);
    bool settle_held(const flow_key& key, const ip_packet_view& answer);
    void search_on(held_segment& held);
    bool learn(const flow_key& key, const ip_packet_view& view);
    bool check_silent(const flow_key& key, flow_record& record);
    void probe_caller(const flow_key& key, const flow_record& record);
    void probe_server(const flow_key& key, const flow_record& record);
    void reset_server(const flow_key& key, const flow_record& record);
    void reset_both(const flow_key& key, const flow_record& record);
    void expire_held();
    void note_from_server(const flow_key& key,
                          flow_record& record,
                          const ip_packet_view& view);
    void handle(overlay_header& header,
                byte_span packet,
                const ip_packet_view& view);
    void pass_along(overlay_header& header, byte_span packet);
    void redirect(overlay_header& header, byte_span packet, cession& newer);
    bool predates_start(const overlay_header& header) const;
    void decide_unclaimed(overlay_header& header,
                          byte_span packet,
                          const ip_packet_view& view);
    void accept(const overlay_header& header,
                byte_span packet,
                const ip_packet_view& view);
    void
    deliver(flow_record& record, byte_span packet, const ip_packet_view& view);
    void note_from_caller(flow_record& record, const ip_packet_view& view);
    void refuse(agent_event event,
                const_byte_span packet,
                const ip_packet_view& view);
    void reset_caller(const_byte_span packet, const ip_packet_view& view);
    void cede(overlay_header& header);
    void ask_rival(overlay_header& header, const cession& known) const;
    static bool is_rival(const cession& known, const overlay_header& header);
    void note_rival(cession& known, const endpoint& owner, time_point until);
    void forward(const overlay_header& header, byte_span packet);
    void report(flow_activity activity,
                const flow_key& key,
                std::size_t payload) const;

    options options_;
    const clock* clock_;
    const overlay_keyring* keys_;
    flow_table flows_;
    std::vector<cession> ceded_;
    bucket_bitmap owned_;
    std::vector<bool> ever_owned_; ///< Since the start, by bucket.
    std::unordered_map<flow_key, held_segment, flow_key_hash> held_;
    map_version first_map_;
    map_version known_map_;
    bool has_map_ = false;
    bool restarted_ = false; ///< The first map gave buckets already.
    counter_set<agent_event> counters_;
    time_point started_;
    time_point drain_began_;
    bool draining_ = false;
    overlay_header* traced_ = nullptr; ///< Of the packet in hand, if traced.
    const flow_key* traced_key_ = nullptr;
};

} // namespace briarfield

#endif
