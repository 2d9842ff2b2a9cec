#include "briarfield/flow/agent_core.hpp"

#include <algorithm>

namespace briarfield
{

namespace
{

constexpr std::string_view event_names[] = {
    "delivered",
    "accepted",
    "passed_along",
    "redirected",
    "returned_to_fabric",
    "refused_draining",
    "refused_limit",
    "refused_table_full",
    "reset_unknown_flow",
    "dropped_truncated",
    "dropped_malformed",
    "dropped_version",
    "dropped_key_unknown",
    "dropped_mac",
    "dropped_wrong_service",
    "dropped_wrong_address",
    "dropped_checksum",
    "dropped_no_map",
    "dropped_no_lease",
    "dropped_stale_map",
    "dropped_unclaimed_reset",
    "dropped_settling",
    "asked_server",
    "recovered",
    "evicted_opening",
    "probed_silent",
    "reset_silent",
    "dropped_from_server",
};

agent_event event_of(errc code)
{
    switch (code)
    {
    case errc::packet_truncated:
        return agent_event::dropped_truncated;
    case errc::header_version:
        return agent_event::dropped_version;
    case errc::header_key_unknown:
        return agent_event::dropped_key_unknown;
    case errc::header_mac:
        return agent_event::dropped_mac;
    case errc::packet_checksum:
        return agent_event::dropped_checksum;
    default:
        return agent_event::dropped_malformed;
    }
}

constexpr unsigned max_probes = 3;

/// Far enough to the left of any window that an open connection responds with
/// an ACK (RFC 9293, 3.10.7.4) regardless of the data in flight.
constexpr std::uint32_t probe_distance = 1U << 30U;

/// Updates the state of \a record for a TCP segment from one of its ends.
///
/// A reset from the caller may be forged or out of window. If the server
/// ignored it, the server's next segment reopens the flow.
void advance_tcp(flow_record& record, std::uint8_t bits, bool from_server)
{
    if ((bits & tcp_flags::rst) != 0)
    {
        record.state = flow_state::closed;
        return;
    }
    const bool fin = (bits & tcp_flags::fin) != 0;
    if (fin && from_server)
        record.server_closed = true;
    if (fin && !from_server)
        record.caller_closed = true;
    if (record.server_closed && record.caller_closed)
        record.state = flow_state::closed;
    else if (record.server_closed || record.caller_closed)
        record.state = flow_state::half_closed;
    else if (from_server)
        record.state = flow_state::open;
}

/// Whether processing a damaged copy of the segment could corrupt flow state.
bool changes_state(const ip_packet_view& view)
{
    return (view.tcp_bits &
            (tcp_flags::syn | tcp_flags::fin | tcp_flags::rst)) != 0;
}

std::uint64_t author_of(std::uint64_t version)
{
    return version & ((std::uint64_t{1} << map_version::author_bits) - 1);
}

bool contains(const endpoint* chain, std::size_t length, const endpoint& agent)
{
    return std::find(chain, chain + length, agent) != chain + length;
}

bool any_bit(const bucket_bitmap& set)
{
    const std::vector<std::uint8_t>& bytes = set.bytes();
    return std::any_of(bytes.begin(), bytes.end(),
                       [](std::uint8_t byte) { return byte != 0; });
}

std::uint8_t marked_age(const overlay_header& header)
{
    return static_cast<std::uint8_t>(header.flags >> overlay_flags::age_shift);
}

std::size_t payload_size(const ip_packet_view& view)
{
    return std::size_t{view.total_length} - view.payload_offset;
}

} // namespace

std::string_view agent_event_name(agent_event event) noexcept
{
    return event_names[static_cast<std::size_t>(event)];
}

agent_core::agent_core(options opts,
                       const clock& c,
                       const overlay_keyring& keys)
    : options_(std::move(opts)), clock_(&c), keys_(&keys),
      flows_(options_.flow_capacity, options_.bucket_count, options_.flow_seed),
      handovers_(options_.bucket_count), ever_owned_(options_.bucket_count),
      started_(c.now())
{
    flows_.on_dropped = [this](const flow_key& key)
    { report(flow_activity::closed, key, 0); };
    flows_.on_check = [this](const flow_key& key, flow_record& record)
    { return check_stalled(key, record); };
}

bool agent_core::started_within(duration span) const
{
    return clock_->now() - started_ < span;
}

void agent_core::set_bucket_count(std::uint32_t count)
{
    options_.bucket_count = count;
}

void agent_core::set_addresses(std::set<service_address> addresses)
{
    if (addresses == options_.addresses)
        return;
    options_.addresses = std::move(addresses);
    std::vector<flow_key> removed;
    flows_.for_each(
        [&](const flow_key& key, const flow_record& record)
        {
            if (options_.addresses.count(
                    {{key.destination, key.destination_port}, key.protocol}))
                return;
            if (key.protocol == transport::tcp)
                reset_server(key, record);
            removed.push_back(key);
        });
    for (const flow_key& key : removed)
    {
        flows_.erase(key);
        report(flow_activity::closed, key, 0);
    }
}

agent_core::bucket_handover& agent_core::handover_of(std::uint16_t bucket)
{
    if (bucket >= handovers_.size())
    {
        handovers_.resize(std::size_t{bucket} + 1);
        ever_owned_.resize(handovers_.size());
    }
    return handovers_[bucket];
}

void agent_core::on_map(map_version version, const bucket_bitmap& owned)
{
    const bool newer = !has_map_ || applied_map_ < version;
    if (!newer)
        return;
    const bool first = !has_map_;
    has_map_ = true;
    applied_map_ = version;
    owned_ = owned;
    if (first)
    {
        first_map_ = version;
        restarted_ = any_bit(owned);
    }
    handovers_.resize(std::max(handovers_.size(), owned.bytes().size() * 8));
    ever_owned_.resize(handovers_.size());
    for (std::size_t bucket = 0; bucket < handovers_.size(); ++bucket)
        if (owned.test(bucket))
            ever_owned_[bucket] = true;
        else
            handovers_[bucket].min_version =
                std::max(handovers_[bucket].min_version, version.value);
}

bucket_bitmap agent_core::released() const
{
    bucket_bitmap set(handovers_.size());
    const duration hold =
        std::max(options_.release_hold, options_.udp_recovery);
    if (!has_map_ || started_within(hold))
        return set;
    for (std::size_t bucket = 0; bucket < handovers_.size(); ++bucket)
        if (!owned_.test(bucket) &&
            flows_.bucket_size(static_cast<std::uint32_t>(bucket)) == 0)
            set.set(bucket);
    return set;
}

void agent_core::set_draining(bool draining)
{
    if (draining && !draining_)
        drain_began_ = clock_->now();
    draining_ = draining;
}

void agent_core::expire()
{
    flows_.expire(clock_->now());
    expire_held();
}

void agent_core::on_overlay(byte_span datagram)
{
    overlay_header header;
    byte_span packet;
    const errc decoded = decode_overlay(datagram, *keys_, header, packet);
    if (decoded != errc::ok)
    {
        count(event_of(decoded));
        return;
    }
    if (header.service_id != options_.service)
    {
        count(agent_event::dropped_wrong_service);
        return;
    }
    ip_packet_view view;
    const errc parsed = parse_ip_packet(packet, view);
    if (parsed != errc::ok)
    {
        count(event_of(parsed));
        return;
    }
    const service_address to{{view.key.destination, view.key.destination_port},
                             view.key.protocol};
    if (options_.addresses.count(to) == 0)
    {
        count(agent_event::dropped_wrong_address);
        return;
    }
    traced_ = header.traced ? &header : nullptr;
    traced_key_ = &view.key;
    handle(header, packet, view);
    traced_ = nullptr;
}

void agent_core::count(agent_event event)
{
    counters_.add(event);
    if (traced_ != nullptr && trace)
        trace(event, *traced_key_, traced_->trace);
}

void agent_core::handle(overlay_header& header,
                        byte_span packet,
                        const ip_packet_view& view)
{
    flow_record* existing = flows_.find(view.key);
    const bool needs_checksum = existing == nullptr || changes_state(view);
    if (needs_checksum && !transport_checksum_valid(packet, view))
    {
        count(agent_event::dropped_checksum);
        return;
    }
    const bool reopened = existing != nullptr && view.may_open() &&
                          existing->state == flow_state::closed;
    if (existing != nullptr && !reopened)
        return deliver(*existing, packet, view);
    if (reopened)
        flows_.erase(view.key);
    if (!has_map_)
    {
        count(agent_event::dropped_no_map);
        return;
    }
    bucket_handover& handover = handover_of(header.bucket);
    if (handover.handover_version > header.map_version)
        return redirect(header, packet, handover);
    if ((header.flags & overlay_flags::recover) != 0)
        return recover(header, packet, view);
    const bool is_earlier_owner = header.hop > 0;
    if (!is_earlier_owner && header.map_version > first_map_.value)
        ever_owned_[header.bucket] = true;
    if (is_earlier_owner && may_have_accepted(header, view))
        mark_ambiguous(header);
    if (!is_earlier_owner && has_concurrent_owner(handover, header))
        record_concurrent_owner(handover, handover.chain[0],
                                handover.handover_until);
    if (is_earlier_owner)
        hand_over(header);
    else
        append_concurrent_owner(header, handover);
    const bool searched = (header.flags & overlay_flags::searched) != 0 ||
                          header.chain_length == 1;
    if (header.hop == 0 && searched)
        finish_search(header, packet, view);
    else
        forward_to_next(header, packet);
}

/// Whether an earlier run of this agent, queried as an earlier owner, may have
/// accepted the flow. Always false for a TCP segment within a flow, since a
/// query of the server resolves that case conclusively.
bool agent_core::may_have_accepted(const overlay_header& header,
                                   const ip_packet_view& view) const
{
    const bool owned_only_since_start =
        !restarted_ && ever_owned_[header.bucket];
    if (owned_only_since_start || !view.may_open())
        return false;
    return started_within(view.key.protocol == transport::udp
                              ? options_.udp_recovery
                              : options_.startup_grace);
}

/// log2 of the seconds since the start. Agents of the same class count as
/// equally old.
std::uint8_t agent_core::age_class() const
{
    constexpr std::uint8_t oldest = 15;
    auto seconds = std::chrono::duration_cast<std::chrono::seconds>(
                       clock_->now() - started_)
                       .count();
    std::uint8_t result = 0;
    for (; seconds > 1 && result < oldest; seconds /= 2)
        ++result;
    return result;
}

/// Marks the packet as ambiguous, with the age class of the youngest agent that
/// may have accepted its flow. The agent that started last is the most likely
/// owner: the others have been running for longer without receiving the flow.
void agent_core::mark_ambiguous(overlay_header& header) const
{
    const bool marked = (header.flags & overlay_flags::ambiguous) != 0;
    if (marked && marked_age(header) <= age_class())
        return;
    header.flags &= static_cast<std::uint8_t>(~overlay_flags::age_mask);
    header.flags |= static_cast<std::uint8_t>(
        overlay_flags::ambiguous | age_class() << overlay_flags::age_shift);
}

bool agent_core::younger_than_marked(const overlay_header& header) const
{
    return age_class() < marked_age(header);
}

/// Second round of a search, after no agent had a record of the flow. For TCP,
/// agents query their servers; a UDP flow is recovered by an agent that may
/// have accepted it in an earlier run.
void agent_core::recover(overlay_header& header,
                         byte_span packet,
                         const ip_packet_view& view)
{
    if (view.key.protocol == transport::tcp)
        return query_server(header, packet, view);
    const bool youngest = age_class() <= marked_age(header);
    if (header.hop > 0 && youngest && may_have_accepted(header, view))
        return recover_udp_flow(header, packet, view);
    if (header.hop + 1 < header.chain_length)
        return forward_to_next(header, packet);
    count(agent_event::dropped_settling);
}

void agent_core::recover_udp_flow(const overlay_header& header,
                                  byte_span packet,
                                  const ip_packet_view& view)
{
    const bool stale = header.map_version < applied_map_.value;
    flow_record* record =
        stale ? nullptr : flows_.insert(view.key, header.bucket, clock_->now());
    if (record == nullptr)
    {
        count(agent_event::dropped_settling);
        return;
    }
    count(agent_event::recovered);
    report(flow_activity::accepted, view.key, 0);
    deliver(*record, packet, view);
}

void agent_core::forward_to_next(overlay_header& header, byte_span packet)
{
    if (header.hop + 1 < header.chain_length)
    {
        ++header.hop;
    }
    else
    {
        header.hop = 0;
        header.flags |= overlay_flags::searched;
    }
    count(agent_event::passed_along);
    forward(header, packet);
}

void agent_core::redirect(overlay_header& header,
                          byte_span packet,
                          bucket_handover& newer)
{
    const bool concurrent =
        author_of(header.map_version) != author_of(newer.handover_version);
    if (concurrent &&
        !contains(newer.chain.data(), newer.chain_length, header.chain[0]))
        record_concurrent_owner(newer, header.chain[0],
                                clock_->now() +
                                    options_.concurrent_owner_lifetime);
    header.map_version = newer.handover_version;
    header.chain_length = newer.chain_length;
    header.chain = newer.chain;
    header.hop = 0;
    header.flags = 0;
    append_concurrent_owner(header, newer);
    count(agent_event::redirected);
    forward(header, packet);
}

/// Whether an earlier run of this agent may have handed the bucket over after
/// the packet's map. Its chain may then lack the owner of the flow.
bool agent_core::predates_start(const overlay_header& header) const
{
    return header.map_version < first_map_.value;
}

void agent_core::finish_search(overlay_header& header,
                               byte_span packet,
                               const ip_packet_view& view)
{
    if (predates_start(header))
    {
        header.flags |= overlay_flags::incomplete;
        // The server may still have the connection; otherwise the packet must
        // not be accepted or reset.
        if (view.key.protocol == transport::tcp && !view.may_open())
            return query_server(header, packet, view);
    }
    const bool incomplete = (header.flags & overlay_flags::incomplete) != 0;
    if (incomplete ||
        handover_of(header.bucket).min_version > header.map_version)
    {
        count(agent_event::dropped_stale_map);
        return;
    }
    const bool ambiguous = (header.flags & overlay_flags::ambiguous) != 0;
    const bool eligible = !ambiguous || (view.key.protocol == transport::udp &&
                                         younger_than_marked(header));
    if (view.may_open() && eligible)
        return accept(header, packet, view);
    if (view.key.protocol == transport::tcp)
        return query_server(header, packet, view);
    // An earlier owner may recover the flow, so no older map may open it here.
    hand_over(header);
    header.flags |= overlay_flags::recover;
    forward_to_next(header, packet);
}

/// No agent has a record of the segment's flow, but the server has the
/// connection if an earlier run of its agent accepted the flow. The server
/// responds to a probe with an ACK if it has the connection, and with a reset
/// otherwise. The segment is held until then.
void agent_core::query_server(const overlay_header& header,
                              byte_span packet,
                              const ip_packet_view& view)
{
    if ((view.tcp_bits & tcp_flags::rst) != 0)
    {
        count(agent_event::dropped_unclaimed_reset);
        return;
    }
    const bool has_space = held_.size() < options_.recovery_limit;
    if (!has_space || view.may_open() || held_.count(view.key) != 0)
    {
        count(agent_event::dropped_settling);
        return;
    }
    held_segment& held = held_[view.key];
    held.header = header;
    held.bytes.resize(overlay_max_size + packet.size());
    std::copy(packet.begin(), packet.end(),
              held.bytes.begin() + overlay_max_size);
    held.deadline = clock_->now() + options_.recovery_timeout;
    count(agent_event::asked_server);
    const std::vector<std::uint8_t> probe =
        build_tcp_packet({view.key,
                          view.tcp_sequence - probe_distance,
                          view.tcp_acknowledgment,
                          tcp_flags::ack,
                          {}});
    to_server({probe.data(), probe.size()});
}

/// Processes the server's response to a probe. True if the response is consumed
/// and must not be forwarded to the caller.
bool agent_core::resolve_held(const flow_key& key, const ip_packet_view& answer)
{
    const auto found = held_.find(key);
    if (found == held_.end())
        return false;
    held_segment held = std::move(found->second);
    held_.erase(found);
    if ((answer.tcp_bits & tcp_flags::rst) != 0)
    {
        continue_search(held);
        return true;
    }
    flow_record* record = flows_.insert(key, held.header.bucket, clock_->now());
    if (record == nullptr)
        return true;
    record->state = flow_state::open;
    flows_.establish(key, clock_->now());
    count(agent_event::recovered);
    const byte_span packet(held.bytes.data() + overlay_max_size,
                           held.bytes.size() - overlay_max_size);
    ip_packet_view view;
    if (parse_ip_packet(packet, view) == errc::ok)
        deliver(*record, packet, view);
    return false;
}

/// Forwards the segment to the next owner, since this server does not have the
/// connection.
void agent_core::continue_search(held_segment& held)
{
    const byte_span packet(held.bytes.data() + overlay_max_size,
                           held.bytes.size() - overlay_max_size);
    held.header.flags |= overlay_flags::recover;
    if (held.header.hop + 1 < held.header.chain_length)
    {
        ++held.header.hop;
        count(agent_event::passed_along);
        return forward(held.header, packet);
    }
    if ((held.header.flags & overlay_flags::incomplete) != 0)
    {
        count(agent_event::dropped_stale_map);
        return;
    }
    ip_packet_view view;
    if (parse_ip_packet(packet, view) == errc::ok)
        reset_caller(packet, view);
}

/// Drops segments whose probe timed out, without a reset: an unresponsive
/// server may still have the connection.
void agent_core::expire_held()
{
    for (auto segment = held_.begin(); segment != held_.end();)
        segment = segment->second.deadline <= clock_->now()
                      ? held_.erase(segment)
                      : std::next(segment);
}

void agent_core::reset_caller(const_byte_span packet,
                              const ip_packet_view& view)
{
    count(agent_event::reset_unknown_flow);
    const std::vector<std::uint8_t> reset = build_tcp_reset(packet, view);
    to_fabric({reset.data(), reset.size()});
}

void agent_core::accept(const overlay_header& header,
                        byte_span packet,
                        const ip_packet_view& view)
{
    if (leased && !leased())
    {
        count(agent_event::dropped_no_lease);
        return;
    }
    const bool drained =
        draining_ && clock_->now() - drain_began_ >= options_.drain_grace;
    if (drained)
        return reject(agent_event::refused_draining, packet, view);
    if (admit && !admit(view.key))
        return reject(agent_event::refused_limit, packet, view);
    const std::size_t before = flows_.size();
    flow_record* record = flows_.insert(view.key, header.bucket, clock_->now());
    if (record == nullptr)
        return reject(agent_event::refused_table_full, packet, view);
    if (flows_.size() == before)
        count(agent_event::evicted_opening);
    count(agent_event::accepted);
    report(flow_activity::accepted, view.key, 0);
    deliver(*record, packet, view);
}

void agent_core::deliver(flow_record& record,
                         byte_span packet,
                         const ip_packet_view& view)
{
    const flow_state before = record.state;
    record_caller_packet(record, view);
    const bool closed =
        before != flow_state::closed && record.state == flow_state::closed;
    if (before == flow_state::opening && record.state != before)
        flows_.establish(view.key, clock_->now());
    count(agent_event::delivered);
    to_server(packet);
    if (payload_size(view) > 0)
        report(flow_activity::request_bytes, view.key, payload_size(view));
    if (closed)
        report(flow_activity::closed, view.key, 0);
}

void agent_core::record_caller_packet(flow_record& record,
                                      const ip_packet_view& view)
{
    record.last_packet = flow_tick::of(clock_->now());
    record.server_waiting_since = {};
    if (payload_size(view) > 0 && record.caller_waiting_since.empty())
        record.caller_waiting_since = record.last_packet;
    if (record.caller_waiting_since.empty())
        record.probes = 0;
    if (view.key.protocol != transport::tcp)
        return;
    if ((view.tcp_bits & tcp_flags::ack) != 0)
        record.caller_ack = view.tcp_acknowledgment;
    advance_tcp(record, view.tcp_bits, false);
}

void agent_core::reject(agent_event event,
                        const_byte_span packet,
                        const ip_packet_view& view)
{
    count(event);
    const std::vector<std::uint8_t> answer =
        view.key.protocol == transport::tcp
            ? build_tcp_reset(packet, view)
            : build_icmp_error(packet, view,
                               icmp_reason::administratively_prohibited);
    to_fabric({answer.data(), answer.size()});
}

/// Hands the bucket over to the current owner in the packet's chain.
void agent_core::hand_over(overlay_header& header)
{
    bucket_handover& handover = handover_of(header.bucket);
    if (has_concurrent_owner(handover, header))
        record_concurrent_owner(handover, handover.chain[0],
                                handover.handover_until);
    handover.min_version = std::max(handover.min_version, header.map_version);
    if (handover.handover_version < header.map_version)
    {
        handover.handover_version = header.map_version;
        handover.chain_length = header.chain_length;
        handover.chain = header.chain;
    }
    handover.handover_until =
        clock_->now() + options_.concurrent_owner_lifetime;
    append_concurrent_owner(header, handover);
}

/// Whether the bucket was last handed over to an owner in a concurrent map: the
/// packet's map is newer, of another author, and its chain lacks that owner.
bool agent_core::has_concurrent_owner(const bucket_handover& handover,
                                      const overlay_header& header)
{
    return handover.handover_version != 0 &&
           handover.handover_version < header.map_version &&
           author_of(handover.handover_version) !=
               author_of(header.map_version) &&
           !contains(header.chain.data(), header.chain_length,
                     handover.chain[0]);
}

void agent_core::record_concurrent_owner(bucket_handover& handover,
                                         const endpoint& owner,
                                         time_point until)
{
    if (owner == options_.local_address)
        return;
    handover.concurrent_owner = owner;
    handover.concurrent_owner_until = until;
}

/// Adds the owner in a concurrent map to the chain. If the chain is full, the
/// search continues and can still find the flow, but it can neither open nor
/// reset one.
void agent_core::append_concurrent_owner(overlay_header& header,
                                         const bucket_handover& handover) const
{
    if (handover.concurrent_owner.port == 0 ||
        clock_->now() >= handover.concurrent_owner_until)
        return;
    if (contains(header.chain.data(), header.chain_length,
                 handover.concurrent_owner))
        return;
    if (header.chain_length == max_chain_length)
        header.flags |= overlay_flags::incomplete;
    else
        header.chain[header.chain_length++] = handover.concurrent_owner;
}

void agent_core::forward(const overlay_header& header, byte_span packet)
{
    const byte_span datagram = encode_overlay(header, packet, *keys_);
    to_agent(header.chain[header.hop], datagram);
}

void agent_core::on_server_packet(byte_span packet)
{
    ip_packet_view view;
    if (parse_ip_packet(packet, view) != errc::ok)
    {
        count(agent_event::dropped_from_server);
        return;
    }
    const flow_key key = view.key.reversed();
    const service_address from{{key.destination, key.destination_port},
                               key.protocol};
    const bool tracked = flows_.find(key) != nullptr;
    if (!tracked && resolve_held(key, view))
        return;
    flow_record* record = flows_.find(key);
    if (record == nullptr && recover_from_server(key, view))
        record = flows_.find(key);
    if (record == nullptr || options_.addresses.count(from) == 0)
    {
        count(agent_event::dropped_from_server);
        return;
    }
    count(agent_event::returned_to_fabric);
    to_fabric(packet);
    record_server_packet(key, *record, view);
}

void agent_core::record_server_packet(const flow_key& key,
                                      flow_record& record,
                                      const ip_packet_view& view)
{
    const flow_state before = record.state;
    record.last_packet = flow_tick::of(clock_->now());
    record.caller_waiting_since = {};
    if (payload_size(view) > 0 && record.server_waiting_since.empty())
        record.server_waiting_since = record.last_packet;
    if (record.server_waiting_since.empty())
        record.probes = 0;
    if (view.key.protocol == transport::tcp)
        advance_tcp(record, view.tcp_bits, true);
    else
        record.state = flow_state::open;
    if ((view.tcp_bits & tcp_flags::ack) != 0)
        record.server_ack = view.tcp_acknowledgment;
    const flow_state after = record.state;
    if (before == flow_state::opening && after != before)
        flows_.establish(key, clock_->now());
    if (before == flow_state::opening && on_first_answer)
        on_first_answer(key, (view.tcp_bits & tcp_flags::rst) != 0);
    if ((view.tcp_bits & tcp_flags::rst) != 0)
        report(before == flow_state::opening ? flow_activity::server_rejected
                                             : flow_activity::server_reset,
               key, 0);
    if (payload_size(view) > 0)
        report(flow_activity::answer_bytes, key, payload_size(view));
    if (before != flow_state::closed && after == flow_state::closed)
        report(flow_activity::closed, key, 0);
}

/// Recovers a flow of an earlier run of this agent from a packet of the server.
/// A SYN, FIN or reset is ignored, as it may belong to a flow that has ended.
bool agent_core::recover_from_server(const flow_key& key,
                                     const ip_packet_view& view)
{
    const bool service_flow =
        options_.addresses.count(
            {{key.destination, key.destination_port}, key.protocol}) != 0;
    if (!hash || !service_flow || changes_state(view) ||
        !started_within(options_.release_hold))
        return false;
    const auto bucket =
        static_cast<std::uint16_t>(hash(key) & (options_.bucket_count - 1));
    flow_record* record = flows_.insert(key, bucket, clock_->now());
    if (record == nullptr)
        return false;
    record->state = flow_state::open;
    flows_.establish(key, clock_->now());
    count(agent_event::recovered);
    return true;
}

/// Probes the end that has not responded to payload of the other. After
/// max_probes unanswered probes, resets both ends and returns false, which
/// drops the flow.
bool agent_core::check_stalled(const flow_key& key, flow_record& record)
{
    const time_point now = clock_->now();
    const auto stalled = [&](flow_tick since)
    { return !since.empty() && since.until(now) >= options_.stall_timeout; };
    const bool caller_stalled = stalled(record.server_waiting_since);
    const bool server_stalled = stalled(record.caller_waiting_since);
    if (!caller_stalled && !server_stalled)
        return true;
    if (record.probes >= max_probes)
    {
        reset_both(key, record);
        return false;
    }
    ++record.probes;
    count(agent_event::probed_silent);
    if (caller_stalled)
        probe_caller(key, record);
    if (server_stalled)
        probe_server(key, record);
    return true;
}

void agent_core::probe_caller(const flow_key& key, const flow_record& record)
{
    const std::vector<std::uint8_t> probe =
        build_tcp_packet({key.reversed(),
                          record.caller_ack - 1,
                          record.server_ack,
                          tcp_flags::ack,
                          {}});
    to_fabric({probe.data(), probe.size()});
}

void agent_core::probe_server(const flow_key& key, const flow_record& record)
{
    const std::vector<std::uint8_t> probe = build_tcp_packet(
        {key, record.server_ack - 1, record.caller_ack, tcp_flags::ack, {}});
    to_server({probe.data(), probe.size()});
}

void agent_core::reset_server(const flow_key& key, const flow_record& record)
{
    const std::vector<std::uint8_t> reset =
        build_tcp_packet({key, record.server_ack, 0, tcp_flags::rst, {}});
    to_server({reset.data(), reset.size()});
}

void agent_core::reset_both(const flow_key& key, const flow_record& record)
{
    count(agent_event::reset_silent);
    reset_server(key, record);
    const std::vector<std::uint8_t> reset = build_tcp_packet(
        {key.reversed(), record.caller_ack, 0, tcp_flags::rst, {}});
    to_fabric({reset.data(), reset.size()});
}

void agent_core::report(flow_activity activity,
                        const flow_key& key,
                        std::size_t payload) const
{
    if (!observe)
        return;
    flow_observation observation;
    observation.activity = activity;
    observation.key = &key;
    observation.bytes = payload;
    observation.when = clock_->now();
    observe(observation);
}

} // namespace briarfield
