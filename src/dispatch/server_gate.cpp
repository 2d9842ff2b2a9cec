#include "briarfield/dispatch/server_gate.hpp"

#include "flow_parts.hpp"

#include <algorithm>
#include <iterator>

namespace briarfield
{

namespace
{

constexpr std::string_view event_names[] = {"delivered",
                                            "offered",
                                            "answered",
                                            "accepted",
                                            "given_back",
                                            "refused_service",
                                            "refused_draining",
                                            "refused_silent",
                                            "refused_busy",
                                            "refused_failing",
                                            "refused_evacuated",
                                            "refused_warming",
                                            "dropped_unknown_tag",
                                            "asked",
                                            "reset_ended",
                                            "dropped_unstarted"};
static_assert(std::size(event_names) ==
              static_cast<std::size_t>(gate_event::count_));

/// A tag is 1 + the position of a balancer; 0 means that no tag was written.
constexpr std::uint32_t first_tag = 1;

} // namespace

std::string_view gate_event_name(gate_event event) noexcept
{
    return event_names[static_cast<std::size_t>(event)];
}

gate_verdict server_gate::on_balancer_packet(const flow_packet& packet,
                                             forward_info info,
                                             const endpoint& from)
{
    server_->detect_pause();
    if (const auto rejected = rejection(packet, info, from))
        return *rejected;
    const bool opening = packet.kind == packet_kind::opening;
    if (opening)
        record_delivered_opening();
    const bool has_flow =
        info.mode == forward_mode::search && has_sent_on(packet.key);
    const std::uint16_t balancer = position_of(from);
    record_packet(packet, info, balancer);
    gate_verdict verdict;
    verdict.decision = gate_verdict::action::deliver;
    if (has_flow)
    {
        flows_[packet.key].balancer_notified = true;
        verdict.notify_balancer = true;
        verdict.balancer = from;
    }
    verdict.event = opening ? gate_event::offered : gate_event::delivered;
    verdict.tag = first_tag + balancer;
    counters_.add(verdict.event);
    return verdict;
}

/// The verdict on an opening that the server does not get; unset if \a packet
/// is to be delivered.
std::optional<gate_verdict> server_gate::rejection(const flow_packet& packet,
                                                   forward_info info,
                                                   const endpoint& from)
{
    const bool opening = packet.kind == packet_kind::opening;
    if (opening && info.service != server_->tag())
        return reject(packet, from, gate_event::refused_service,
                      return_reason::other_service);
    const opening_permission allowed =
        opening ? permission() : opening_permission::granted;
    // Another server must not get a later copy of an opening that this one may
    // have taken.
    if (allowed != opening_permission::granted &&
        packet.retransmission_count > 0 && was_delivered(packet.key))
        return drop(allowed == opening_permission::evacuated
                        ? gate_event::refused_evacuated
                        : gate_event::refused_warming);
    if (allowed == opening_permission::evacuated)
        return reject(packet, from, gate_event::refused_evacuated,
                      return_reason::draining);
    if (opening && (server_->state() == server_state::draining ||
                    server_->state() == server_state::gone))
        return reject(packet, from, gate_event::refused_draining,
                      return_reason::draining);
    if (opening && server_->timed_out())
        return reject(packet, from, gate_event::refused_silent,
                      return_reason::silent);
    const bool may_reject =
        info.mode == forward_mode::opening && !was_delivered(packet.key);
    if (may_reject && ejection_.ejected())
        return reject(packet, from, gate_event::refused_failing,
                      return_reason::silent);
    if (may_reject && overloaded())
        return reject(packet, from, gate_event::refused_busy,
                      return_reason::busy);
    if (allowed == opening_permission::warming)
        return reject(packet, from, gate_event::refused_warming,
                      return_reason::warming);
    return std::nullopt;
}

opening_permission server_gate::permission() const
{
    return policy_ != nullptr ? policy_->permission()
                              : opening_permission::granted;
}

/// Whether a copy of the flow's opening was delivered before: the server may
/// have taken it, so that another server must not get the next copy.
bool server_gate::was_delivered(const flow_key& key) const
{
    const auto found = flows_.find(key);
    return found != flows_.end() && !found->second.closed();
}

/// Whether the server has sent a packet of the flow. A balancer that searches
/// is told at once, since the server need not answer the packet; if the server
/// has lost the flow, it returns the packet.
bool server_gate::has_sent_on(const flow_key& key) const
{
    const auto found = flows_.find(key);
    return found != flows_.end() && found->second.sent_by_server;
}

/// Requests in progress, and those expected from the latest openings.
std::size_t server_gate::expected_requests() const
{
    const time_point now = clock_->now();
    const auto recent = std::count_if(
        recent_openings_.begin(), recent_openings_.end(),
        [now](time_point time) { return now - time < first_request_timeout; });
    return static_cast<std::size_t>(load_.in_progress() + recent);
}

/// Whether the expected requests reach the limit for the server's slots.
bool server_gate::overloaded() const
{
    return static_cast<double>(expected_requests()) >=
           max_requests_per_slot * server_->latest().slots;
}

/// Whether the server has just returned an opening and accepted none since: it
/// has no capacity, or has stopped without notice.
bool server_gate::server_rejects_openings() const
{
    return opening_returned_ != time_point{} &&
           clock_->now() - opening_returned_ < rejection_backoff;
}

/// A server that has timed out, has no capacity, has stopped without notice or
/// fails its requests is reported as silent, so that it gets no new flows, and
/// one in an evacuated zone as draining, also if it is unavailable. One
/// that has sent nothing since the agent's start is not running and holds no
/// flows, so searches need not wait for its agent.
server_state server_gate::reported_state() const
{
    if (server_->state() == server_state::unknown && server_->timed_out())
        return server_state::gone;
    const bool unavailable = server_->timed_out() ||
                             server_rejects_openings() || ejection_.ejected();
    const bool may_run = server_->state() != server_state::gone;
    if (may_run && permission() == opening_permission::evacuated)
        return server_state::draining;
    return unavailable && may_run ? server_state::silent : server_->state();
}

std::vector<std::uint16_t> server_gate::held(const std::vector<flow_key>& flows)
{
    std::vector<std::uint16_t> positions;
    for (std::size_t i = 0; i < flows.size(); ++i)
    {
        const auto found = flows_.find(flows[i]);
        if (found != flows_.end() &&
            (found->second.sent_by_server || found->second.sent_before_opening))
            positions.push_back(static_cast<std::uint16_t>(i));
    }
    return positions;
}

bool server_gate::flows_complete()
{
    completeness_.on_heartbeat(server_->latest().born_ms,
                               server_->last_heartbeat());
    return completeness_.complete();
}

agent_status server_gate::status()
{
    const server_heartbeat& latest = server_->latest();
    agent_status reported;
    reported.service = latest.service;
    reported.state = reported_state();
    reported.slots = latest.slots;
    reported.flows = open_count_;
    reported.flows_complete = flows_complete();
    reported.requests_in_progress = static_cast<float>(load_.mean());
    reported.service_time = service_time_.mean();
    reported.route_times = route_times_.report();
    reported.warmup_ms = static_cast<std::uint32_t>(
        std::chrono::ceil<std::chrono::milliseconds>(server_->warmup_left())
            .count());
    if (policy_ != nullptr)
        reported.opening_room = policy_->opening_room();
    return reported;
}

void server_gate::record_delivered_opening()
{
    const time_point now = clock_->now();
    while (!recent_openings_.empty() &&
           now - recent_openings_.front() >= first_request_timeout)
        recent_openings_.pop_front();
    recent_openings_.push_back(now);
    if (policy_ != nullptr)
        policy_->record_opening();
}

gate_verdict server_gate::reject(const flow_packet& packet,
                                 const endpoint& from,
                                 gate_event event,
                                 return_reason reason)
{
    counters_.add(event);
    gate_verdict verdict;
    verdict.decision = gate_verdict::action::return_packet;
    verdict.event = event;
    verdict.returned.reason = reason;
    verdict.returned.requests = static_cast<std::uint16_t>(
        std::min<std::size_t>(expected_requests(), 0xffff));
    verdict.balancer = from;
    if (on_decision)
        on_decision(packet, verdict);
    return verdict;
}

gate_verdict server_gate::on_server_packet(const flow_packet& packet,
                                           std::uint32_t tag)
{
    // A returned packet is no evidence that the server is running: its instance
    // also returns packets when the server has crashed.
    if (packet.returned && tag == probe_tag)
        return end_flow(packet);
    if (packet.returned)
        return return_packet(packet, tag);
    if (is_reset_of_unstarted_server(packet))
        return drop(gate_event::dropped_unstarted);
    server_->record_activity();
    gate_verdict verdict;
    verdict.decision = gate_verdict::action::answer;
    verdict.event =
        packet.accepts ? gate_event::accepted : gate_event::answered;
    if (packet.accepts)
        opening_returned_ = {};
    counters_.add(verdict.event);
    const auto found = flows_.find(packet.key);
    if (found == flows_.end())
        return verdict;
    tracked_flow& record = found->second;
    record.last_packet = clock_->now();
    if (packet.accepts && !record.open)
    {
        record.open = true;
        ++open_count_;
        if (on_decision)
            on_decision(packet, verdict);
    }
    record.sent_by_server = true;
    record.answered = record.answered || !packet.accepts;
    record_outcome(record, packet);
    if (packet.payload_size > 0 && record.in_progress)
        record_answer_time(record);
    if (packet.payload_size > 0)
        record_work(packet.key, end_request(record, true));
    if (!record.balancer_notified)
    {
        record.balancer_notified = true;
        verdict.notify_balancer = true;
        verdict.balancer = balancers_[record.balancer];
    }
    if (packet.kind == packet_kind::reset ||
        packet.kind == packet_kind::closing)
    {
        close(record);
        record.closed_by_server = true;
        record.reset_by_server =
            record.reset_by_server || packet.kind == packet_kind::reset;
    }
    return verdict;
}

void server_gate::record_answer_time(const tracked_flow& record)
{
    request_times_.record(record.last_packet - record.request_start);
}

void server_gate::record_work(const flow_key& key, duration took)
{
    if (took > duration(0))
        route_times_.record(destination_of(key), took);
}

/// Judges the server by how it ends a request: with the first byte of an answer
/// or, as a failure, with a reset. A closing packet is no failure, since it may
/// overtake the answer. An overloaded server may reset what it cannot queue,
/// and a draining one ends its flows.
void server_gate::record_outcome(const tracked_flow& record,
                                 const flow_packet& packet)
{
    if (!record.in_progress)
        return;
    if (packet.payload_size > 0)
        return ejection_.record_success();
    if (packet.kind != packet_kind::reset)
        return;
    const bool expected =
        overloaded() || server_->state() != server_state::ready;
    if (!expected && ejection_.record_failure() && on_ejected)
        on_ejected();
}

gate_verdict server_gate::return_packet(const flow_packet& packet,
                                        std::uint32_t tag)
{
    gate_verdict verdict;
    const std::size_t position = tag - first_tag;
    if (tag < first_tag || position >= balancers_.size())
        return drop(gate_event::dropped_unknown_tag);
    if (packet.kind == packet_kind::opening)
        record_returned_opening();
    else
        record_returned(packet.key);
    if (balancer_kept_packet(packet.key, position))
        verdict.returned.reason = return_reason::not_held;
    // A returned copy of an opening may be read after the answer to another
    // copy, which the server has taken.
    if (packet.kind != packet_kind::opening || !has_sent_on(packet.key))
        remove_flow(packet.key);
    verdict.decision = gate_verdict::action::return_packet;
    verdict.event = gate_event::given_back;
    verdict.balancer = balancers_[position];
    counters_.add(verdict.event);
    if (on_decision && packet.kind == packet_kind::opening)
        on_decision(packet, verdict);
    return verdict;
}

/// The server has no capacity, or has stopped and may already run again.
void server_gate::record_returned_opening()
{
    opening_returned_ = clock_->now();
    if (policy_ != nullptr)
        policy_->record_possible_restart();
}

/// Whether \a packet is a reset although the server has sent neither a
/// heartbeat nor a packet of the flow since the agent's start. Its instance
/// resets packets before the server has started, also those of a search for a
/// flow that another server has.
bool server_gate::is_reset_of_unstarted_server(const flow_packet& packet) const
{
    return packet.kind == packet_kind::reset &&
           server_->state() == server_state::unknown &&
           !has_sent_on(packet.key);
}

gate_verdict server_gate::drop(gate_event event)
{
    counters_.add(event);
    gate_verdict verdict;
    verdict.event = event;
    return verdict;
}

/// Whether the balancer at \a balancer has kept the flow's last packet.
bool server_gate::balancer_kept_packet(const flow_key& key,
                                       std::size_t balancer) const
{
    const auto found = flows_.find(key);
    return found != flows_.end() && found->second.packet_kept &&
           found->second.balancer == balancer;
}

/// A server returns no packet of a flow that it has. So it has lost this one,
/// and probably all.
void server_gate::record_returned(const flow_key& key)
{
    const auto found = flows_.find(key);
    const bool was_answered = found != flows_.end() && found->second.answered;
    const time_point now = clock_->now();
    const bool recently = last_flow_lost_ != time_point{} &&
                          now - last_flow_lost_ < probe_interval;
    if (was_answered && policy_ != nullptr)
        policy_->record_possible_restart();
    if (!was_answered || recently)
        return;
    last_flow_lost_ = now;
    if (on_flow_lost)
        on_flow_lost();
}

/// Notifies the caller that its flow is lost before it sends the next request.
gate_verdict server_gate::end_flow(const flow_packet& packet)
{
    remove_flow(packet.key);
    gate_verdict verdict;
    verdict.decision = gate_verdict::action::reset;
    verdict.event = gate_event::reset_ended;
    verdict.sequence = packet.acknowledgment;
    counters_.add(verdict.event);
    if (on_decision)
        on_decision(packet, verdict);
    return verdict;
}

std::vector<short_packet> server_gate::probes() const
{
    std::vector<short_packet> all;
    for (const auto& [key, record] : flows_)
        if (record.answered && record.open && !record.probe.empty())
            all.push_back(record.probe);
    return all;
}

std::uint16_t server_gate::position_of(const endpoint& balancer)
{
    const auto found =
        std::find(balancers_.begin(), balancers_.end(), balancer);
    if (found != balancers_.end())
        return static_cast<std::uint16_t>(found - balancers_.begin());
    if (balancers_.size() < balancer_capacity)
    {
        balancers_.push_back(balancer);
        return static_cast<std::uint16_t>(balancers_.size() - 1);
    }
    // Replaces the oldest balancer; packets tagged for it are then returned to
    // the wrong one.
    last_replaced_balancer_ = (last_replaced_balancer_ + 1) % balancer_capacity;
    balancers_[last_replaced_balancer_] = balancer;
    return static_cast<std::uint16_t>(last_replaced_balancer_);
}

void server_gate::record_packet(const flow_packet& packet,
                                forward_info info,
                                std::uint16_t balancer)
{
    const auto found = flows_.find(packet.key);
    if (found == flows_.end() && flows_.size() >= flow_capacity)
        return completeness_.on_table_full();
    tracked_flow& record =
        found == flows_.end() ? flows_[packet.key] : found->second;
    const time_point now = clock_->now();
    record.last_packet = now;
    // A balancer that searches has no location of the flow in its cache.
    if (record.balancer != balancer || info.mode != forward_mode::known)
        record.balancer_notified = false;
    record.balancer = balancer;
    record.packet_kept = info.mode == forward_mode::search && info.packet_kept;
    if (packet.kind == packet_kind::opening)
        begin_flow(record);
    if (packet.kind != packet_kind::opening && !record.open && !record.closed())
    {
        // Opened before this agent started, or the server's answer was not
        // seen.
        record.open = true;
        ++open_count_;
    }
    if (packet.kind == packet_kind::segment && packet.payload_size == 0)
        record.probe = short_packet(packet.bytes);
    if (packet.payload_size > 0 && !record.in_progress && !record.closed())
    {
        if (record.request_start == time_point{} && !recent_openings_.empty())
            recent_openings_.pop_front();
        record.in_progress = true;
        record.request_start = now;
        load_.begin_request();
        record.request = service_time_.begin(server_->latest().slots);
    }
    if (packet.kind == packet_kind::reset ||
        packet.kind == packet_kind::closing)
    {
        close(record);
        record.closed_by_caller = true;
    }
}

/// The caller has abandoned any earlier flow on this port, unless this is a
/// late copy of the opening.
void server_gate::begin_flow(tracked_flow& record)
{
    record.sent_before_opening =
        !record.ended() &&
        (record.sent_before_opening || record.sent_by_server);
    record.closed_by_caller = false;
    record.closed_by_server = false;
    record.reset_by_server = false;
    record.sent_by_server = false;
    record.answered = false;
    record.probe = short_packet();
}

/// One end sends no more data; late packets still pass.
void server_gate::close(tracked_flow& record)
{
    end_request(record);
    stop_counting(record);
}

duration server_gate::end_request(tracked_flow& record, bool answered)
{
    if (!record.in_progress)
        return {};
    record.in_progress = false;
    load_.end_request();
    return service_time_.end(record.request, answered);
}

void server_gate::remove_flow(const flow_key& key)
{
    const auto found = flows_.find(key);
    if (found == flows_.end())
        return;
    close(found->second);
    flows_.erase(found);
}

void server_gate::stop_counting(tracked_flow& record)
{
    if (record.open)
        --open_count_;
    record.open = false;
}

void server_gate::expire()
{
    server_->detect_pause();
    const time_point now = clock_->now();
    std::vector<flow_key> idle;
    for (auto& [key, record] : flows_)
    {
        if (record.in_progress && now - record.request_start > request_timeout)
            end_request(record);
        const duration idle_time = now - record.last_packet;
        // Callers that vanish leave flows open, which would count as load.
        if (idle_time > flow_idle_timeout)
            stop_counting(record);
        if (idle_time >
            (record.ended() ? closed_flow_idle_timeout : max_flow_age_))
            idle.push_back(key);
    }
    for (const flow_key& key : idle)
        remove_flow(key);
}

} // namespace briarfield
