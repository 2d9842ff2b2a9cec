#ifndef BRIARFIELD_ROUTE_BALANCER_CORE_HPP
#define BRIARFIELD_ROUTE_BALANCER_CORE_HPP

#include "briarfield/core/counter_set.hpp"
#include "briarfield/packet/overlay_header.hpp"
#include "briarfield/route/service_table.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace briarfield
{

/// \brief Outcome of a packet at a balancer; each value has a counter.
enum class balancer_event : std::uint8_t
{
    forwarded,
    answered_too_big,
    dropped_truncated,
    dropped_malformed,
    dropped_checksum,
    dropped_fragment,
    dropped_unsupported,
    dropped_too_big,
    dropped_unknown_service,
    dropped_no_target,
    refused_share,
    count_
};

/// \brief Label of \a event in metrics.
std::string_view balancer_event_name(balancer_event event) noexcept;

/// \brief Result of \ref balancer_core for a packet.
struct balancer_verdict
{
    balancer_event event = balancer_event::forwarded;
    endpoint next;      ///< Receiver of \ref datagram.
    byte_span datagram; ///< Header and packet; empty unless forwarded.
    std::vector<std::uint8_t> answer; ///< Packet for the fabric, or empty.
};

/// \brief The balancer's decision for each packet, free of I/O.
///
/// Keeps no flow state: for the same tables, all balancers choose the same
/// target for a flow.
class balancer_core
{
public:
    /// \brief Settings of the data path.
    struct options
    {
        std::uint16_t path_mtu = 1500; ///< MTU towards the agents, bytes.
    };

    balancer_core(options opts, flow_hasher hasher, const overlay_keyring& keys)
        : options_(opts), hasher_(hasher), keys_(&keys)
    {
    }

    /// \brief Replaces the table; applies to every later packet.
    void set_table(std::shared_ptr<const service_table> table)
    {
        table_ = std::move(table);
    }

    /// \brief Maximum number of packets for \ref decide_batch.
    static constexpr std::size_t max_batch = 64;

    /// \brief Decides on one packet received from the fabric.
    ///
    /// \ref overlay_max_size writable bytes must precede \a packet.
    balancer_verdict decide(byte_span packet);

    /// \brief Decides on \a count packets, at most \ref max_batch.
    ///
    /// Equivalent to \ref decide for each packet, at lower cost: lookups of
    /// different packets overlap, and all MACs are computed in one call of the
    /// cipher.
    void decide_batch(const byte_span* packets,
                      std::size_t count,
                      balancer_verdict* verdicts);

    const counter_set<balancer_event>& counters() const { return counters_; }

    /// \brief Called for each packet that opens a flow; false rejects it.
    ///
    /// Called only for a TCP SYN without payload, whose flow cannot have
    /// delivered any request yet. A datagram, or a SYN with data, may belong to
    /// a flow that an agent has already accepted; only the agent may reject it.
    /// Empty: every flow is admitted.
    std::function<bool(const service_entry&)> admit;

    /// \brief Called for each packet that may open a flow and has space for a
    /// trace context; to trace the packet, fills the context and returns true.
    /// Empty: no packet is traced.
    std::function<bool(trace_context&)> sample;

private:
    /// Intermediate state of a packet of a batch.
    struct candidate
    {
        byte_span packet;
        balancer_verdict* verdict = nullptr;
        ip_packet_view view;
        const service_entry* entry = nullptr;
        const bucket_owners* owners = nullptr;
        std::uint16_t bucket = 0;
    };

    void parse(candidate& c);
    void find_service(candidate& c);
    void find_bucket(candidate& c);
    void find_owners(candidate& c);
    void route(candidate& c);
    void sign(std::size_t count);
    void answer_too_big(candidate& c, std::size_t overhead);
    void finish(candidate& c, balancer_event event);
    void reject(candidate& c);

    options options_;
    flow_hasher hasher_;
    const overlay_keyring* keys_;
    std::shared_ptr<const service_table> table_;
    counter_set<balancer_event> counters_;
    std::array<candidate, max_batch> batch_;
    std::array<overlay_mac_input, max_batch> mac_inputs_;
    std::array<overlay_mac, max_batch> macs_;
};

} // namespace briarfield

#endif
