#include "briarfield/dispatch/server_gate.hpp"

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
                                            "dropped_unknown_tag",
                                            "asked",
                                            "reset_ended"};
static_assert(std::size(event_names) ==
              static_cast<std::size_t>(gate_event::count_));

/// Tags are 1 + the position of a balancer; 0 is what others leave there.
constexpr std::uint32_t first_tag = 1;

} // namespace

std::string_view gate_event_name(gate_event event) noexcept
{
    return event_names[static_cast<std::size_t>(event)];
}

gate_verdict server_gate::on_balancer_packet(const flow_packet& p,
                                             forward_note note,
                                             const endpoint& from)
{
    const bool opening = p.kind == packet_kind::opening;
    if (opening && note.service != server_->tag())
        return refuse(p, from, gate_event::refused_service,
                      return_reason::other_service);
    if (opening && (server_->state() == server_state::draining ||
                    server_->state() == server_state::gone))
        return refuse(p, from, gate_event::refused_draining,
                      return_reason::draining);
    if (opening && server_->silent())
        return refuse(p, from, gate_event::refused_silent,
                      return_reason::silent);
    if (note.mode == forward_mode::opening && busy())
        return refuse(p, from, gate_event::refused_busy, return_reason::busy);
    if (opening)
        note_offered();
    const std::uint16_t balancer = position_of(from);
    note_packet(p, note.mode, balancer);
    gate_verdict v;
    v.what = gate_verdict::action::deliver;
    v.event = opening ? gate_event::offered : gate_event::delivered;
    v.tag = first_tag + balancer;
    counters_.add(v.event);
    return v;
}

/// Whether what is in progress, and what the latest openings will bring, is
/// much for the server's slots.
bool server_gate::busy() const
{
    const time_point now = clock_->now();
    const auto recent =
        std::count_if(offered_.begin(), offered_.end(),
                      [now](time_point t) { return now - t < first_request; });
    const double expected = load_.in_progress() + static_cast<double>(recent);
    return expected >= busy_per_slot * server_->latest().slots;
}

/// Whether the server has just returned an opening and accepted none since: it
/// has no room, or is gone without a word.
bool server_gate::server_refuses() const
{
    return opening_returned_ != time_point{} &&
           clock_->now() - opening_returned_ < refusal_memory;
}

/// A server that has no room, or has ended without a word, gets no new flows;
/// nor does one that nothing was heard of.
server_state server_gate::reported_state() const
{
    const bool takes_nothing = server_->silent() || server_refuses();
    const bool may_live = server_->state() != server_state::gone;
    return takes_nothing && may_live ? server_state::silent : server_->state();
}

agent_status server_gate::status()
{
    const server_heartbeat& latest = server_->latest();
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        server_->heartbeat_age());
    agent_status s;
    s.service = latest.service;
    s.state = reported_state();
    s.slots = latest.slots;
    s.flows = open_;
    s.busy = static_cast<float>(load_.mean());
    s.warmup_ms =
        latest.warmup_ms > age.count()
            ? static_cast<std::uint32_t>(latest.warmup_ms - age.count())
            : 0;
    return s;
}

void server_gate::note_offered()
{
    const time_point now = clock_->now();
    while (!offered_.empty() && now - offered_.front() >= first_request)
        offered_.pop_front();
    offered_.push_back(now);
}

gate_verdict server_gate::refuse(const flow_packet& p,
                                 const endpoint& from,
                                 gate_event event,
                                 return_reason reason)
{
    counters_.add(event);
    gate_verdict v;
    v.what = gate_verdict::action::give_back;
    v.event = event;
    v.reason = reason;
    v.balancer = from;
    if (on_decision)
        on_decision(p, v);
    return v;
}

gate_verdict server_gate::on_server_packet(const flow_packet& p,
                                           std::uint32_t tag)
{
    // What comes back says nothing about the server: its instance returns
    // packets, too, when the server has crashed.
    if (p.returned && tag == probe_tag)
        return end_flow(p);
    if (p.returned)
        return give_back(p, tag);
    server_->note_alive();
    gate_verdict v;
    v.what = gate_verdict::action::answer;
    v.event = p.accepts ? gate_event::accepted : gate_event::answered;
    if (p.accepts)
        opening_returned_ = {};
    counters_.add(v.event);
    const auto found = flows_.find(p.key);
    if (found == flows_.end())
        return v;
    flow& f = found->second;
    f.last = clock_->now();
    if (p.accepts && !f.open)
    {
        f.open = true;
        ++open_;
        if (on_decision)
            on_decision(p, v);
    }
    f.answered = f.answered || !p.accepts;
    if (p.payload_size > 0 && f.in_progress)
        request_times_.record(f.last - f.asked);
    if (p.payload_size > 0)
        end_request(f);
    if (!f.told)
    {
        f.told = true;
        v.tell_balancer = true;
        v.balancer = balancers_[f.balancer];
    }
    if (p.kind == packet_kind::reset || p.kind == packet_kind::closing)
        close(f);
    return v;
}

gate_verdict server_gate::give_back(const flow_packet& p, std::uint32_t tag)
{
    gate_verdict v;
    const std::size_t position = tag - first_tag;
    if (tag < first_tag || position >= balancers_.size())
    {
        v.event = gate_event::dropped_unknown_tag;
        counters_.add(v.event);
        return v;
    }
    if (p.kind == packet_kind::opening)
        opening_returned_ = clock_->now();
    else
        note_returned(p.key);
    forget(p.key);
    v.what = gate_verdict::action::give_back;
    v.event = gate_event::given_back;
    v.balancer = balancers_[position];
    counters_.add(v.event);
    if (on_decision && p.kind == packet_kind::opening)
        on_decision(p, v);
    return v;
}

/// A server returns no packet of a flow that it has, so it has lost this one,
/// and probably all.
void server_gate::note_returned(const flow_key& key)
{
    const auto found = flows_.find(key);
    const bool had = found != flows_.end() && found->second.answered;
    const time_point now = clock_->now();
    const bool recently =
        last_flow_lost_ != time_point{} && now - last_flow_lost_ < probe_pause;
    if (!had || recently)
        return;
    last_flow_lost_ = now;
    if (on_flow_lost)
        on_flow_lost();
}

/// The caller learns that its flow is over before it sends again.
gate_verdict server_gate::end_flow(const flow_packet& p)
{
    forget(p.key);
    gate_verdict v;
    v.what = gate_verdict::action::reset;
    v.event = gate_event::reset_ended;
    v.sequence = p.acknowledgment;
    counters_.add(v.event);
    if (on_decision)
        on_decision(p, v);
    return v;
}

std::vector<short_packet> server_gate::probes() const
{
    std::vector<short_packet> all;
    for (const auto& [key, f] : flows_)
        if (f.answered && !f.over && !f.probe.empty())
            all.push_back(f.probe);
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
    // The oldest gives way; what it sent may come back to the wrong one.
    oldest_balancer_ = (oldest_balancer_ + 1) % balancer_capacity;
    balancers_[oldest_balancer_] = balancer;
    return static_cast<std::uint16_t>(oldest_balancer_);
}

void server_gate::note_packet(const flow_packet& p,
                              forward_mode mode,
                              std::uint16_t balancer)
{
    const auto found = flows_.find(p.key);
    if (found == flows_.end() && flows_.size() >= flow_capacity)
        return;
    flow& f = found == flows_.end() ? flows_[p.key] : found->second;
    const time_point now = clock_->now();
    f.last = now;
    // A balancer that searches has forgotten, or never knew.
    if (f.balancer != balancer || mode != forward_mode::known)
        f.told = false;
    f.balancer = balancer;
    if (p.kind == packet_kind::opening)
    {
        // The caller has given up whatever flow it had here.
        f.answered = false;
        f.probe = short_packet();
    }
    if (p.kind != packet_kind::opening && !f.open && !f.over)
    {
        // Known from before our start, or the answer was seen by nobody.
        f.open = true;
        ++open_;
    }
    if (p.kind == packet_kind::segment && p.payload_size == 0)
        f.probe = short_packet(p.bytes);
    if (p.payload_size > 0 && !f.in_progress && !f.over)
    {
        if (f.asked == time_point{} && !offered_.empty())
            offered_.pop_front();
        f.in_progress = true;
        f.asked = now;
        load_.begin_request();
    }
    if (p.kind == packet_kind::reset || p.kind == packet_kind::closing)
        close(f);
}

/// One end has said that nothing more comes; late packets may still pass.
void server_gate::close(flow& f)
{
    end_request(f);
    if (f.open)
        --open_;
    f.open = false;
    f.over = true;
}

void server_gate::end_request(flow& f)
{
    if (!f.in_progress)
        return;
    f.in_progress = false;
    load_.end_request();
}

void server_gate::forget(const flow_key& key)
{
    const auto found = flows_.find(key);
    if (found == flows_.end())
        return;
    end_request(found->second);
    if (found->second.open)
        --open_;
    flows_.erase(found);
}

void server_gate::expire()
{
    const time_point now = clock_->now();
    std::vector<flow_key> idle;
    for (auto& [key, f] : flows_)
    {
        if (f.in_progress && now - f.asked > longest_request)
            end_request(f);
        if (now - f.last > (f.over ? closed_flow_idle : flow_idle))
            idle.push_back(key);
    }
    for (const flow_key& key : idle)
        forget(key);
}

} // namespace briarfield
