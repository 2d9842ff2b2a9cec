#include "briarfield/flow/flow_table.hpp"

#include <algorithm>

#define XXH_INLINE_ALL // Keys are too short to justify a call.
#include <xxhash.h>

namespace briarfield
{

namespace
{

using namespace std::chrono_literals;

constexpr duration opening_timeout = 60s;
constexpr duration closed_timeout = 10s;
constexpr duration half_closed_timeout = 1h;
constexpr duration udp_idle_timeout = 10min;
constexpr duration tcp_idle_timeout = 24h;
constexpr std::int64_t check_interval = 5; // Seconds.

constexpr std::uint32_t index_mask = 0xffffffU;
constexpr unsigned tag_shift = 24;

duration timeout_of(transport protocol, const flow_record& record)
{
    switch (record.state)
    {
    case flow_state::half_closed:
        return half_closed_timeout;
    case flow_state::closed:
        return closed_timeout;
    default:
        return protocol == transport::udp ? udp_idle_timeout : tcp_idle_timeout;
    }
}

std::int64_t seconds(time_point t)
{
    return t.since_origin / duration(1s);
}

std::size_t slots_for(std::size_t capacity)
{
    std::size_t slots = 16;
    while (slots < capacity + capacity / 2)
        slots *= 2;
    return slots;
}

} // namespace

std::size_t flow_key_hash::operator()(const flow_key& key) const noexcept
{
    const endpoint source{key.source, key.source_port};
    const endpoint target{key.destination, key.destination_port};
    const std::uint64_t parts[3] = {endpoint_hash{}(source),
                                    endpoint_hash{}(target),
                                    static_cast<std::uint64_t>(key.protocol)};
    return XXH3_64bits(parts, sizeof parts);
}

flow_table::flow_table(std::size_t capacity,
                       std::uint32_t bucket_count,
                       std::uint64_t seed)
    : capacity_(std::min(capacity, max_capacity)), seed_(seed),
      slots_(slots_for(capacity_), 0), by_bucket_(bucket_count, 0)
{
}

flow_key flow_table::key_of(const entry& flow) const
{
    const destination& target = destinations_[flow.destination_index];
    return {flow.source, target.service_endpoint.address, flow.source_port,
            target.service_endpoint.port, target.protocol};
}

bool flow_table::find_destination(const flow_key& key,
                                  std::uint16_t& position) const
{
    for (std::size_t i = 0; i < destinations_.size(); ++i)
    {
        const destination& candidate = destinations_[i];
        if (candidate.service_endpoint.port != key.destination_port ||
            candidate.protocol != key.protocol ||
            candidate.service_endpoint.address != key.destination)
            continue;
        position = static_cast<std::uint16_t>(i);
        return true;
    }
    return false;
}

std::uint16_t flow_table::add_destination(const flow_key& key)
{
    std::uint16_t position = 0;
    if (find_destination(key, position))
        return position;
    destinations_.push_back(
        {{key.destination, key.destination_port}, key.protocol});
    return static_cast<std::uint16_t>(destinations_.size() - 1);
}

std::uint64_t flow_table::hash(const entry& flow) const noexcept
{
    std::uint8_t bytes[20];
    std::copy(flow.source.bytes().begin(), flow.source.bytes().end(), bytes);
    bytes[16] = static_cast<std::uint8_t>(flow.source_port);
    bytes[17] = static_cast<std::uint8_t>(flow.source_port >> 8U);
    bytes[18] = static_cast<std::uint8_t>(flow.destination_index);
    bytes[19] = static_cast<std::uint8_t>(flow.destination_index >> 8U);
    return XXH3_64bits_withSeed(bytes, sizeof bytes, seed_);
}

/// Slot of the flow, or the free slot at the end of its probe sequence.
std::size_t flow_table::find_slot(const entry& wanted) const
{
    const std::uint64_t hash_value = hash(wanted);
    const auto tag = static_cast<std::uint32_t>(hash_value >> 56U);
    const std::size_t mask = slots_.size() - 1;
    std::size_t slot = hash_value & mask;
    for (; slots_[slot] != 0; slot = (slot + 1) & mask)
    {
        if (slots_[slot] >> tag_shift != tag)
            continue;
        const entry& flow = at((slots_[slot] & index_mask) - 1);
        if (flow.source_port == wanted.source_port &&
            flow.destination_index == wanted.destination_index &&
            flow.source == wanted.source)
            break;
    }
    return slot;
}

flow_record* flow_table::find(const flow_key& key)
{
    entry wanted;
    if (!find_destination(key, wanted.destination_index))
        return nullptr;
    wanted.source = key.source;
    wanted.source_port = key.source_port;
    const std::uint32_t found = slots_[find_slot(wanted)];
    return found == 0 ? nullptr : &at((found & index_mask) - 1).record;
}

flow_table::index flow_table::allocate()
{
    if (free_ != none)
    {
        const index i = free_;
        free_ = at(i).next;
        return i;
    }
    if (allocated_ % block_size == 0)
    {
        blocks_.push_back(std::make_unique<entry[]>(block_size));
        wheel_slot_.resize(wheel_slot_.size() + block_size);
    }
    return allocated_++;
}

/// Drops the oldest opening flow if a new flow would exceed a limit. False if
/// the table is full and has no opening flow.
bool flow_table::ensure_capacity()
{
    const std::size_t limit =
        std::max<std::size_t>(1, capacity_ / opening_divisor);
    if (opening_ < limit && size_ < capacity_)
        return true;
    const index oldest = opening_list_.first;
    if (oldest == none)
        return false;
    const flow_key dropped = key_of(at(oldest));
    remove_entry(oldest);
    if (on_dropped)
        on_dropped(dropped);
    return true;
}

flow_record*
flow_table::insert(const flow_key& key, std::uint16_t bucket, time_point now)
{
    if (!ensure_capacity())
        return nullptr;
    const index i = allocate();
    entry& flow = at(i);
    flow = entry{};
    flow.source = key.source;
    flow.source_port = key.source_port;
    flow.destination_index = add_destination(key);
    flow.record.bucket = bucket;
    flow.record.last_packet = flow_tick::of(now);
    flow.record.caller_waiting_since = flow.record.last_packet;
    const auto tag = static_cast<std::uint32_t>(hash(flow) >> 56U);
    slots_[find_slot(flow)] = (tag << tag_shift) | (i + 1);
    link(opening_list_, i);
    ++opening_;
    ++size_;
    if (bucket >= by_bucket_.size())
        by_bucket_.resize(std::size_t{bucket} + 1);
    ++by_bucket_[bucket];
    return &flow.record;
}

void flow_table::establish(const flow_key& key, time_point now)
{
    entry wanted;
    if (!find_destination(key, wanted.destination_index))
        return;
    wanted.source = key.source;
    wanted.source_port = key.source_port;
    const std::uint32_t found = slots_[find_slot(wanted)];
    if (found == 0)
        return;
    const index i = (found & index_mask) - 1;
    if (wheel_slot_[i] != 0)
        return;
    unlink(opening_list_, i);
    --opening_;
    schedule(i, now);
}

void flow_table::erase(const flow_key& key)
{
    entry wanted;
    if (!find_destination(key, wanted.destination_index))
        return;
    wanted.source = key.source;
    wanted.source_port = key.source_port;
    const std::size_t slot = find_slot(wanted);
    if (slots_[slot] != 0)
        remove(slot);
}

void flow_table::remove_entry(index i)
{
    remove(find_slot(at(i)));
}

void flow_table::remove(std::size_t slot)
{
    const index i = (slots_[slot] & index_mask) - 1;
    entry& flow = at(i);
    const bool was_opening = wheel_slot_[i] == 0;
    unlink(list_of(i), i);
    if (was_opening)
        --opening_;
    wheel_slot_[i] = 0;
    --by_bucket_[flow.record.bucket];
    --size_;
    clear_slot(slot);
    flow.next = free_;
    free_ = i;
}

/// Frees \a slot and moves later entries of its run back, which linear probing
/// requires.
void flow_table::clear_slot(std::size_t slot)
{
    const std::size_t mask = slots_.size() - 1;
    std::size_t hole = slot;
    for (std::size_t i = (slot + 1) & mask; slots_[i] != 0; i = (i + 1) & mask)
    {
        const std::size_t home = hash(at((slots_[i] & index_mask) - 1)) & mask;
        const bool may_move = ((i - home) & mask) >= ((i - hole) & mask);
        if (!may_move)
            continue;
        slots_[hole] = slots_[i];
        hole = i;
    }
    slots_[hole] = 0;
}

void flow_table::link(list& target, index i)
{
    entry& flow = at(i);
    flow.next = none;
    flow.previous = target.last;
    (target.last == none ? target.first : at(target.last).next) = i;
    target.last = i;
}

void flow_table::unlink(list& target, index i)
{
    entry& flow = at(i);
    (flow.previous == none ? target.first : at(flow.previous).next) = flow.next;
    (flow.next == none ? target.last : at(flow.next).previous) = flow.previous;
}

/// Slot 0 of the wheel is unused; the value 0 marks the list of opening flows.
flow_table::list& flow_table::list_of(index i)
{
    return wheel_slot_[i] == 0 ? opening_list_ : wheel_[wheel_slot_[i]];
}

/// Links the flow into the wheel slot of its next check.
void flow_table::schedule(index i, time_point now)
{
    constexpr auto slots = static_cast<std::int64_t>(wheel_size - 1);
    const entry& flow = at(i);
    const transport protocol = destinations_[flow.destination_index].protocol;
    const duration remaining =
        timeout_of(protocol, flow.record) - flow.record.last_packet.until(now);
    std::int64_t delay = std::min(remaining / duration(1s) + 1, slots - 1);
    const bool needs_check = protocol == transport::tcp &&
                             flow.record.state != flow_state::closed &&
                             on_check;
    if (needs_check)
        delay = std::min(delay, check_interval);
    const std::int64_t due = seconds(now) + std::max<std::int64_t>(delay, 1);
    wheel_slot_[i] = static_cast<std::uint8_t>(due % slots + 1);
    link(wheel_[wheel_slot_[i]], i);
}

void flow_table::check_due(index i, time_point now)
{
    entry& flow = at(i);
    const flow_key key = key_of(flow);
    const bool expired = flow.record.last_packet.until(now) >
                         timeout_of(key.protocol, flow.record);
    const bool needs_check = !expired && key.protocol == transport::tcp &&
                             flow.record.state != flow_state::closed &&
                             on_check;
    if (!expired && (!needs_check || on_check(key, flow.record)))
    {
        unlink(list_of(i), i);
        return schedule(i, now);
    }
    const bool was_closed = flow.record.state == flow_state::closed;
    remove_entry(i);
    if (!was_closed && on_dropped)
        on_dropped(key);
}

/// A UDP flow without an answer is kept while its caller continues to send.
void flow_table::expire_opening(time_point now)
{
    while (opening_list_.first != none)
    {
        const index i = opening_list_.first;
        const entry& flow = at(i);
        const bool udp =
            destinations_[flow.destination_index].protocol == transport::udp;
        if (flow.record.caller_waiting_since.until(now) <= opening_timeout)
            return;
        if (udp && flow.record.last_packet.until(now) <= udp_idle_timeout)
        {
            unlink(opening_list_, i);
            --opening_;
            schedule(i, now);
            continue;
        }
        const flow_key dropped = key_of(flow);
        remove_entry(i);
        if (on_dropped)
            on_dropped(dropped);
    }
}

std::size_t flow_table::expire(time_point now)
{
    constexpr auto slots = static_cast<std::int64_t>(wheel_size - 1);
    const std::size_t before = size_;
    expire_opening(now);
    const std::int64_t until = seconds(now);
    std::int64_t second = std::max(wheel_second_ + 1, until - slots + 1);
    for (; second <= until; ++second)
    {
        const list& slot = wheel_[static_cast<std::size_t>(second % slots) + 1];
        std::vector<index> flows;
        for (index i = slot.first; i != none; i = at(i).next)
            flows.push_back(i);
        for (const index i : flows)
            check_due(i, now);
    }
    wheel_second_ = until;
    return before - size_;
}

void flow_table::for_each(
    const std::function<void(const flow_key&, const flow_record&)>& visit) const
{
    for (const std::uint32_t slot : slots_)
        if (slot != 0)
        {
            const entry& flow = at((slot & index_mask) - 1);
            visit(key_of(flow), flow.record);
        }
}

} // namespace briarfield
