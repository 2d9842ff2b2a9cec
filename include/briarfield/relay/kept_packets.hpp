#ifndef BRIARFIELD_RELAY_KEPT_PACKETS_HPP
#define BRIARFIELD_RELAY_KEPT_PACKETS_HPP

#include "briarfield/core/byte_span.hpp"
#include "briarfield/core/clock.hpp"
#include "briarfield/flow/flow_table.hpp"

#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

namespace briarfield
{

/// \brief Copies of packets that wait for the search for their flow.
class kept_packets
{
public:
    /// \brief Maximum number; with their payload they take less than 1 MB.
    static constexpr std::size_t capacity = 512;

    /// \brief Maximum number of a flow: a caller has no more in flight.
    static constexpr std::size_t capacity_of_flow = 16;

    /// \brief Calls \ref on_due through \a timers. A copy has \a headroom
    /// writable bytes in front.
    kept_packets(timer_queue& timers, std::size_t headroom)
        : timers_(&timers), headroom_(headroom)
    {
    }
    ~kept_packets();
    kept_packets(const kept_packets&) = delete;
    kept_packets& operator=(const kept_packets&) = delete;

    /// \brief Keeps a copy for \a delay, behind those that the flow has; the
    /// earliest of their times counts for all. No copy is made if there are too
    /// many.
    void keep(const flow_key& flow, byte_span packet, duration delay);

    /// \brief Removes the flow's packets and passes them to \ref on_due, in
    /// the order in which they came.
    void release(const flow_key& flow);

    std::size_t size() const { return size_; }

    /// \brief Called with a packet when its time has come; the bytes are valid
    /// until \ref on_passed returns.
    ///
    /// If it keeps the packet again, the flow's others wait with it. \returns
    /// whether they are to be passed, otherwise; if not, they are discarded.
    std::function<bool(byte_span packet)> on_due;

    /// \brief Called after the packets of a flow were passed to \ref on_due.
    /// May be empty.
    std::function<void()> on_passed;

private:
    using buffer = std::vector<std::uint8_t>; ///< Headroom and packet.

    struct entry
    {
        std::vector<buffer> packets;
        time_point due{};
        timer_id timer = 0;
    };

    void set_timer(const flow_key& flow, entry& kept, duration delay);
    void pass(const flow_key& flow, std::vector<buffer>& packets);

    timer_queue* timers_;
    std::size_t headroom_;
    std::size_t size_ = 0; ///< Packets of all flows.
    std::unordered_map<flow_key, entry, flow_key_hash> flows_;
};

} // namespace briarfield

#endif
