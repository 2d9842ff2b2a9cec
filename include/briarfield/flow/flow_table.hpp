#ifndef BRIARFIELD_FLOW_FLOW_TABLE_HPP
#define BRIARFIELD_FLOW_FLOW_TABLE_HPP

#include "briarfield/core/clock.hpp"
#include "briarfield/packet/ip_packet.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace briarfield
{

/// \brief Protocol state of a flow.
enum class flow_state : std::uint8_t
{
    opening,     ///< First packet delivered, no answer from the server yet.
    open,        ///< Both ends have sent.
    half_closed, ///< One end has sent its FIN.
    closed,      ///< Both FINs or a reset were seen.
    count_
};

/// \brief Time on the runtime's clock in units of 1/16 s; 4 bytes.
struct flow_tick
{
    static constexpr duration unit = std::chrono::microseconds(62500);

    std::uint32_t value = 0; ///< 0: empty; \ref of never returns 0.

    static flow_tick of(time_point t)
    {
        const auto ticks = static_cast<std::uint32_t>(t.since_origin / unit);
        return {ticks == 0 ? 1 : ticks};
    }

    bool empty() const { return value == 0; }

    /// \brief Time from this tick to \a now.
    duration until(time_point now) const
    {
        return unit * (of(now).value - value);
    }
};

/// \brief State that an agent keeps for a flow of its server.
struct flow_record
{
    flow_state state = flow_state::opening;
    bool caller_closed : 1;
    bool server_closed : 1;
    std::uint8_t probes : 6; ///< Sent since the flow stalled.
    std::uint16_t bucket = 0;
    flow_tick last_packet; ///< Last packet from either end.
    /// Arrival of the first packet of the caller that opened the flow or had
    /// payload, and that the server has not answered; empty if none.
    flow_tick caller_waiting_since;
    /// Arrival of the first payload of the server that the caller has not
    /// answered; empty if none.
    flow_tick server_waiting_since;
    std::uint32_t caller_ack = 0; ///< TCP: sequence number the caller expects.
    std::uint32_t server_ack = 0; ///< TCP: sequence number the server expects.

    flow_record() : caller_closed(false), server_closed(false), probes(0) {}
};

/// \brief Hash of a \ref flow_key for the standard containers.
struct flow_key_hash
{
    std::size_t operator()(const flow_key& key) const noexcept;
};

/// \brief Bounded hash table of the flows of one backend server, with a count
/// for each bucket.
///
/// Open addressing over 4-byte slots that index into blocks of records.
/// Opening flows are in a list, oldest first. When they exceed their part of
/// the capacity, or the table is full, the oldest is dropped, so that a flood
/// of first packets neither evicts nor blocks open flows. All other flows are
/// in a timer wheel and are checked when due.
class flow_table
{
public:
    /// \brief Opening flows may use 1 / opening_divisor of the capacity.
    static constexpr std::size_t opening_divisor = 4;

    /// \brief Maximum capacity, in flows.
    static constexpr std::size_t max_capacity = (1U << 24U) - 1;

    /// \param seed Seed of the hash; keeps callers from predicting slots.
    flow_table(std::size_t capacity,
               std::uint32_t bucket_count,
               std::uint64_t seed = 0);

    /// \brief Record of \a key, or null. Valid until the flow is erased.
    flow_record* find(const flow_key& key);

    /// \brief Inserts a record; null when the table is full of open flows.
    ///
    /// \a key must not be present.
    flow_record*
    insert(const flow_key& key, std::uint16_t bucket, time_point now);

    /// \brief Moves a flow out of the list of opening flows; to be called when
    /// it leaves flow_state::opening.
    void establish(const flow_key& key, time_point now);

    void erase(const flow_key& key);

    std::size_t size() const { return size_; }

    /// \brief Number of flows in flow_state::opening.
    std::size_t opening() const { return opening_; }

    /// \brief Number of flows of \a bucket; 0 past the end.
    std::uint32_t bucket_size(std::uint32_t bucket) const
    {
        return bucket < by_bucket_.size() ? by_bucket_[bucket] : 0;
    }

    /// \brief Drops flows that have expired at \a now for their state.
    ///
    /// Checks only flows that are due. \returns the number dropped.
    std::size_t expire(time_point now);

    /// \brief Calls \a visit for each flow; it must not change the table.
    void for_each(const std::function<void(const flow_key&,
                                           const flow_record&)>& visit) const;

    /// \brief Called for a flow that is dropped before it was closed.
    std::function<void(const flow_key&)> on_dropped;

    /// \brief Called every few seconds for a TCP flow that is neither opening
    /// nor closed; false drops it.
    std::function<bool(const flow_key&, flow_record&)> on_check;

private:
    using index = std::uint32_t;

    static constexpr index none = 0xffffffffU;
    static constexpr std::size_t block_size = 4096; // Flows.
    static constexpr std::size_t wheel_size = 256;  // Slots of one second.

    /// Address and protocol of the service, shared by many flows.
    struct destination
    {
        endpoint service_endpoint;
        transport protocol = transport::tcp;
    };

    struct entry
    {
        ip_address source;
        std::uint16_t source_port = 0;
        std::uint16_t destination_index = 0; ///< Position in destinations_.
        flow_record record;
        index next = none;
        index previous = none;
    };

    struct list
    {
        index first = none;
        index last = none;
    };

    entry& at(index i) { return blocks_[i / block_size][i % block_size]; }
    const entry& at(index i) const
    {
        return blocks_[i / block_size][i % block_size];
    }
    flow_key key_of(const entry& flow) const;
    bool find_destination(const flow_key& key, std::uint16_t& position) const;
    std::uint16_t add_destination(const flow_key& key);
    std::uint64_t hash(const entry& flow) const noexcept;
    std::size_t find_slot(const entry& wanted) const;
    void clear_slot(std::size_t slot);
    index allocate();
    bool ensure_capacity();
    void remove(std::size_t slot);
    void remove_entry(index i);
    void link(list& target, index i);
    void unlink(list& target, index i);
    list& list_of(index i);
    void schedule(index i, time_point now);
    void check_due(index i, time_point now);
    void expire_opening(time_point now);

    std::size_t capacity_;
    std::uint64_t seed_;
    std::size_t size_ = 0;
    std::size_t opening_ = 0;
    /// 8 bits of the hash, 24 bits of index + 1; 0: free.
    std::vector<std::uint32_t> slots_;
    std::vector<std::unique_ptr<entry[]>> blocks_;
    std::vector<destination> destinations_;
    index free_ = none;
    index allocated_ = 0; ///< Entries ever allocated.
    list opening_list_;
    std::array<list, wheel_size> wheel_;
    std::vector<std::uint8_t> wheel_slot_; ///< By entry; 0: not in the wheel.
    std::int64_t wheel_second_ = -1;
    std::vector<std::uint32_t> by_bucket_;
};

} // namespace briarfield

#endif
