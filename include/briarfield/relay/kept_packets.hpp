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

/// \brief Copies of packets that wait for the search for their flow, one for
/// each flow.
class kept_packets
{
public:
    /// \brief Maximum number; with their payload they take less than 1 MB.
    static constexpr std::size_t capacity = 512;

    /// \brief Calls \ref on_due through \a timers. A copy has \a headroom
    /// writable bytes in front.
    kept_packets(timer_queue& timers, std::size_t headroom)
        : timers_(&timers), headroom_(headroom)
    {
    }
    ~kept_packets();
    kept_packets(const kept_packets&) = delete;
    kept_packets& operator=(const kept_packets&) = delete;

    /// \brief Keeps a copy for \a delay. If the flow has a kept packet, that
    /// one stays, and the earlier of both times counts. Does nothing if there
    /// are too many.
    void keep(const flow_key& flow, byte_span packet, duration delay);

    /// \brief Removes the flow's packet, if any, and passes it to \ref on_due.
    void release(const flow_key& flow);

    std::size_t size() const { return packets_.size(); }

    /// \brief Called with a packet when its time has come; the bytes are valid
    /// until it returns.
    std::function<void(byte_span packet)> on_due;

private:
    struct entry
    {
        std::vector<std::uint8_t> bytes;
        time_point due{};
        timer_id timer = 0;
    };

    void set_timer(const flow_key& flow, entry& kept, duration delay);

    timer_queue* timers_;
    std::size_t headroom_;
    std::unordered_map<flow_key, entry, flow_key_hash> packets_;
};

} // namespace briarfield

#endif
