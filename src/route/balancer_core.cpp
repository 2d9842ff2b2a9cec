#include "briarfield/route/balancer_core.hpp"

namespace briarfield
{

namespace
{

constexpr std::size_t outer_headers = 40 + 8; // IPv6 and UDP, bytes.

constexpr std::string_view event_names[] = {
    "forwarded",           "answered_too_big", "dropped_truncated",
    "dropped_malformed",   "dropped_checksum", "dropped_fragment",
    "dropped_unsupported", "dropped_too_big",  "dropped_unknown_service",
    "dropped_no_target",   "refused_share",
};

balancer_event event_of(errc code)
{
    switch (code)
    {
    case errc::packet_truncated:
        return balancer_event::dropped_truncated;
    case errc::packet_checksum:
        return balancer_event::dropped_checksum;
    case errc::packet_fragment:
        return balancer_event::dropped_fragment;
    case errc::packet_unsupported:
        return balancer_event::dropped_unsupported;
    default:
        return balancer_event::dropped_malformed;
    }
}

/// Whether the packet opens a flow that cannot have delivered a request yet.
bool opens_without_payload(const ip_packet_view& view)
{
    return view.key.protocol == transport::tcp && view.may_open() &&
           view.payload_offset == view.total_length;
}

} // namespace

std::string_view balancer_event_name(balancer_event event) noexcept
{
    return event_names[static_cast<std::size_t>(event)];
}

void balancer_core::finish(candidate& c, balancer_event event)
{
    counters_.add(event);
    c.verdict->event = event;
    c.verdict->datagram = {};
    c.packet = {};
}

void balancer_core::reject(candidate& c)
{
    c.verdict->answer =
        c.view.key.protocol == transport::tcp
            ? build_tcp_reset(c.packet, c.view)
            : build_icmp_error(c.packet, c.view,
                               icmp_reason::administratively_prohibited);
    finish(c, balancer_event::refused_share);
}

balancer_verdict balancer_core::decide(byte_span packet)
{
    balancer_verdict verdict;
    decide_batch(&packet, 1, &verdict);
    return verdict;
}

void balancer_core::decide_batch(const byte_span* packets,
                                 std::size_t count,
                                 balancer_verdict* verdicts)
{
    for (std::size_t i = 0; i < count; ++i)
    {
        batch_[i].packet = packets[i];
        batch_[i].verdict = &verdicts[i];
        verdicts[i].answer.clear();
        parse(batch_[i]);
    }
    // Each step prefetches the memory that the next one reads, for all packets.
    for (std::size_t i = 0; i < count; ++i)
        find_service(batch_[i]);
    for (std::size_t i = 0; i < count; ++i)
        find_bucket(batch_[i]);
    for (std::size_t i = 0; i < count; ++i)
        find_owners(batch_[i]);
    for (std::size_t i = 0; i < count; ++i)
        route(batch_[i]);
    sign(count);
}

/// Writes the MACs into the datagrams to be forwarded.
void balancer_core::sign(std::size_t count)
{
    std::array<byte_span, max_batch> datagrams;
    std::size_t forwarded = 0;
    for (std::size_t i = 0; i < count; ++i)
    {
        const candidate& c = batch_[i];
        if (c.packet.empty())
            continue;
        mac_inputs_[forwarded] =
            make_overlay_mac_input(c.verdict->datagram, c.packet.size());
        datagrams[forwarded++] = c.verdict->datagram;
    }
    keys_->authenticate(keys_->signing_id(), mac_inputs_.data(), macs_.data(),
                        forwarded);
    for (std::size_t i = 0; i < forwarded; ++i)
        put_overlay_mac(datagrams[i], macs_[i]);
    counters_.add(balancer_event::forwarded, forwarded);
}

void balancer_core::parse(candidate& c)
{
    const errc parsed = parse_ip_packet(c.packet, c.view);
    if (parsed != errc::ok)
        return finish(c, event_of(parsed));
    if (table_)
        table_->prefetch(c.view.key);
}

void balancer_core::find_service(candidate& c)
{
    if (c.packet.empty())
        return;
    c.entry = table_ ? table_->find(c.view.key) : nullptr;
    if (c.entry == nullptr)
        return finish(c, balancer_event::dropped_unknown_service);
    __builtin_prefetch(c.entry);
    c.bucket = static_cast<std::uint16_t>(hasher_(c.view.key));
}

void balancer_core::find_bucket(candidate& c)
{
    if (c.packet.empty())
        return;
    if (!c.entry->map || c.entry->map->empty())
        return finish(c, balancer_event::dropped_no_target);
    const bucket_map& map = *c.entry->map;
    c.bucket &= static_cast<std::uint16_t>(map.buckets.size() - 1);
    c.owners = &map.buckets[c.bucket];
    __builtin_prefetch(c.owners);
}

void balancer_core::find_owners(candidate& c)
{
    if (c.packet.empty())
        return;
    if (c.owners->length == 0)
        return finish(c, balancer_event::dropped_no_target);
    __builtin_prefetch(&c.entry->map->targets[c.owners->target[0]]);
}

/// Writes the datagram except for its MAC.
void balancer_core::route(candidate& c)
{
    if (c.packet.empty())
        return;
    const bucket_map& map = *c.entry->map;
    const bucket_owners& owners = *c.owners;
    if (admit && opens_without_payload(c.view) && !admit(*c.entry))
        return reject(c);

    overlay_header header;
    header.service_id = c.entry->service;
    header.map_version = map.version.value;
    header.bucket = c.bucket;
    header.chain_length = owners.length;
    for (std::size_t i = 0; i < owners.length; ++i)
        header.chain[i] = map.targets[owners.target[i]].agent;
    const std::size_t overhead = overlay_size(header) + outer_headers;
    const std::size_t needed = c.view.total_length + overhead;
    if (needed > options_.path_mtu)
        return answer_too_big(c, overhead);
    // A trace context must not make the datagram exceed the MTU.
    const bool may_trace = sample && c.view.may_open() &&
                           needed + overlay_trace_size <= options_.path_mtu;
    header.traced = may_trace && sample(header.trace);
    c.verdict->event = balancer_event::forwarded;
    c.verdict->next = header.chain[0];
    c.packet = c.packet.take_front(c.view.total_length);
    c.verdict->datagram = write_overlay(header, c.packet, *keys_);
}

void balancer_core::answer_too_big(candidate& c, std::size_t overhead)
{
    c.verdict->answer = build_icmp_error(
        c.packet, c.view, icmp_reason::packet_too_big,
        static_cast<std::uint16_t>(options_.path_mtu - overhead));
    finish(c, balancer_event::answered_too_big);
}

} // namespace briarfield
