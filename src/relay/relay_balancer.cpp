#include "briarfield/relay/relay_balancer.hpp"

#include "briarfield/dispatch/relay_frame.hpp"
#include "message_frame.hpp"

#include <algorithm>
#include <spdlog/spdlog.h>

namespace briarfield
{

namespace
{

using namespace std::chrono_literals;

constexpr duration check_interval = 500ms;

/// Addresses of one list in a notice, so that it fits one datagram.
constexpr std::size_t listed_addresses = 40;

/// An agent that another balancer names is greeted again after this, if no
/// heartbeat of it has come.
constexpr duration greeting_interval = 400ms;

/// Balancers that watch the routes closely; one more than may be lost at once
/// without a delay.
constexpr std::ptrdiff_t close_watchers = 2;

/// Packets kept for a second search; one a lost flow.
constexpr std::size_t most_kept_packets = 512;

/// Part of \a all that a notice can hold; \a cursor goes round all of it.
std::vector<endpoint> next_of(const std::vector<endpoint>& all,
                              std::size_t& cursor)
{
    if (all.size() <= listed_addresses)
        return all;
    std::vector<endpoint> part;
    for (std::size_t i = 0; i < listed_addresses; ++i)
        part.push_back(all[(cursor + i) % all.size()]);
    cursor = (cursor + listed_addresses) % all.size();
    return part;
}

} // namespace

result<std::unique_ptr<relay_balancer>>
relay_balancer::create(event_loop& loop,
                       const relay_balancer_options& options,
                       packet_codec codec,
                       placement_policy policy)
{
    std::unique_ptr<relay_balancer> b(
        new relay_balancer(loop, options, std::move(codec), std::move(policy)));
    BOOST_OUTCOME_TRYV(b->open());
    return b;
}

relay_balancer::relay_balancer(event_loop& loop,
                               const relay_balancer_options& options,
                               packet_codec codec,
                               placement_policy policy)
    : loop_(&loop), options_(options), codec_(std::move(codec)),
      agents_(loop.timers().time_source()),
      dispatcher_(loop.timers().time_source(),
                  options.dispatch,
                  routes_,
                  agents_,
                  std::move(policy)),
      peers_(loop.timers().time_source()), incarnation_(options.incarnation)
{
    add_seeds(options_.seeds);
    set_log_hooks();
}

void relay_balancer::add_seeds(const std::vector<endpoint>& seeds)
{
    for (const endpoint& seed : seeds)
        if (seed != options_.relay)
            peers_.add_seed(seed);
}

relay_balancer::~relay_balancer()
{
    *alive_ = false;
    loop_->timers().cancel(notice_timer_);
    loop_->timers().cancel(check_timer_);
}

result<void> relay_balancer::open()
{
    BOOST_OUTCOME_TRY(
        relay, udp_socket::create_batched(
                   *loop_, options_.relay,
                   [this](const udp_socket::datagram* batch, std::size_t count)
                   { on_relay_batch(batch, count); }));
    relay_ = std::move(relay);
    options_.relay = relay_->local();
    BOOST_OUTCOME_TRY(callers, udp_socket::create_batched(
                                   *loop_, options_.callers,
                                   [this](const udp_socket::datagram* batch,
                                          std::size_t count)
                                   { on_caller_batch(batch, count); }));
    callers_ = std::move(callers);
    send_notices();
    check();
    return ok();
}

void relay_balancer::set_log_hooks()
{
    dispatcher_.on_decision =
        [this](const flow_packet& p, const dispatch_verdict& v)
    {
        if (v.event == dispatch_event::searched)
            return;
        if (v.agent == no_agent)
        {
            spdlog::info("event={} flow={} packet={} copy={} routes={} "
                         "agents={} asked={} doubt={}",
                         dispatch_event_name(v.event), flow_name(p.key),
                         packet_kind_name(p.kind), p.retransmission_count,
                         routes_.version(), agents_.size(), v.queried,
                         search_uncertainty_name(v.uncertainty));
            return;
        }
        const agent_directory::record& r = agents_.at(v.agent);
        spdlog::info("event={} flow={} agent={} copy={} load={:.2f} flows={} "
                     "heartbeat_age_ms={} routes={}",
                     dispatch_event_name(v.event), flow_name(p.key),
                     r.status.data.to_string(), p.retransmission_count,
                     expected_load(r), r.status.flows + r.placed,
                     whole_ms(loop_->timers().now() - r.last_heartbeat),
                     routes_.version());
    };
    dispatcher_.on_found =
        [this](const flow_key& key, agent_index agent, std::size_t tried)
    {
        spdlog::info("event=flow_found flow={} agent={} tried={}",
                     flow_name(key), agents_.at(agent).status.data.to_string(),
                     tried);
    };
    agents_.on_change = [](const agent_directory::record& r)
    {
        spdlog::info("event=agent_heard agent={} service={} state={} "
                     "incarnation={} sequence={}",
                     r.status.data.to_string(), r.status.service,
                     server_state_name(r.status.state), r.status.incarnation,
                     r.status.sequence);
    };
    agents_.on_timeout = [](const agent_directory::record& r, duration silence)
    {
        spdlog::warn("event=agent_silent agent={} service={} silence_ms={}",
                     r.status.data.to_string(), r.status.service,
                     whole_ms(silence));
    };
}

void relay_balancer::take_routes(const route_set& routes)
{
    if (!routes_.apply(routes))
        return;
    spdlog::info("event=routes_in_force version={} routes={}",
                 routes_.version(), routes_.size());
}

bool relay_balancer::ready() const
{
    return not_ready_reason().empty();
}

std::string relay_balancer::not_ready_reason() const
{
    if (routes_.version() == 0)
        return "no routes yet";
    return agents_.count_alive() > 0 ? "" : "no agent heard of";
}

void relay_balancer::on_caller_batch(const udp_socket::datagram* batch,
                                     std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
        on_caller_datagram(batch[i].bytes);
    relay_->flush();
}

void relay_balancer::on_relay_batch(const udp_socket::datagram* batch,
                                    std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
        on_relay_datagram(batch[i].bytes, batch[i].from);
    callers_->flush();
}

void relay_balancer::on_caller_datagram(byte_span datagram)
{
    const auto p = codec_.decode_caller(datagram);
    if (!p)
    {
        ++malformed_;
        return;
    }
    // Callers write nothing into what is ours.
    codec_.clear_marks(datagram);
    carry_out(dispatcher_.on_caller_packet(p.value()), datagram, p.value());
}

void relay_balancer::on_relay_datagram(byte_span datagram, const endpoint& from)
{
    const auto frame = read_relay_frame(datagram);
    if (!frame)
    {
        ++malformed_;
        return;
    }
    if (frame.value().kind == frame_kind::return_packet)
        return on_given_back(frame.value(), from);
    if (frame.value().kind == frame_kind::message)
        return on_message(frame.value());
    ++malformed_;
}

void relay_balancer::on_given_back(const relay_frame& frame,
                                   const endpoint& from)
{
    const auto p = codec_.decode_caller(frame.body);
    if (!p)
    {
        ++malformed_;
        return;
    }
    codec_.clear_marks(frame.body);
    carry_out(dispatcher_.on_returned_packet(p.value(), from, frame.reason),
              frame.body, p.value());
}

void relay_balancer::carry_out(const dispatch_verdict& v,
                               byte_span packet,
                               const flow_packet& p)
{
    switch (v.decision)
    {
    case dispatch_verdict::action::drop:
        if (v.retry_after > duration(0))
            ask_again_later(packet, v.retry_after);
        return;
    case dispatch_verdict::action::forward:
        relay_->queue(agents_.at(v.agent).status.data,
                      write_forward_frame(packet, v.info));
        return;
    case dispatch_verdict::action::reset:
        const auto bytes = codec_.build_reset(p.key, v.reset_sequence);
        callers_->queue_copy({p.key.source, options_.caller_port},
                             {bytes.data(), bytes.size()});
        return;
    }
}

void relay_balancer::ask_again_later(byte_span packet, duration delay)
{
    if (kept_packets_ == most_kept_packets)
        return;
    ++kept_packets_;
    std::vector<std::uint8_t> copy(relay_frame_overhead);
    copy.insert(copy.end(), packet.begin(), packet.end());
    loop_->timers().schedule(
        delay,
        [this, alive = alive_, copy = std::move(copy)]() mutable
        {
            if (!*alive)
                return;
            --kept_packets_;
            on_caller_datagram(byte_span(copy.data(), copy.size())
                                   .drop_front(relay_frame_overhead));
            relay_->flush();
            callers_->flush();
        });
}

void relay_balancer::on_message(const relay_frame& frame)
{
    const auto message = decode_dispatch_message(text_of(frame.body));
    if (!message)
    {
        ++malformed_;
        return;
    }
    std::visit([this](const auto& m) { on_message(m); }, message.value());
}

void relay_balancer::on_message(const agent_status& status)
{
    const agent_index before = agents_.find(status.data);
    if (!agents_.on_heartbeat(status) || before != no_agent)
        return;
    // The agent learns of all balancers from the first that it reaches.
    send_notice(status.data, make_notice(false));
}

void relay_balancer::on_message(const flow_held_message& held)
{
    dispatcher_.on_flow_held(held.key, held.agent);
}

void relay_balancer::on_message(const balancer_notice& notice)
{
    if (notice.leaving)
    {
        spdlog::info("event=balancer_left balancer={}",
                     notice.relay.to_string());
        return peers_.left(notice.relay);
    }
    if (peers_.heard(notice.relay, notice.incarnation))
    {
        spdlog::info("event=balancer_heard balancer={} routes={}",
                     notice.relay.to_string(), notice.config_version);
        send_notice(notice.relay, make_notice(true));
    }
    for (const endpoint& other : notice.balancers)
        if (other != options_.relay && peers_.introduced(other))
            send_notice(other, make_notice(true));
    const time_point now = loop_->timers().now();
    for (const endpoint& agent : notice.agents)
    {
        agents_.add_peer_reported(agent);
        const agent_index known = agents_.find(agent);
        if (known != no_agent && agents_.alive(known))
            continue;
        time_point& greeted = greeted_[agent];
        if (greeted != time_point{} && now - greeted < greeting_interval)
            continue;
        greeted = now;
        send_notice(agent, make_notice(false));
    }
    if (notice.config_version > routes_.version() && on_newer_routes)
        on_newer_routes(notice.config_version);
}

balancer_notice relay_balancer::make_notice(bool with_agents)
{
    balancer_notice notice;
    notice.relay = options_.relay;
    notice.incarnation = incarnation_;
    notice.config_version = routes_.version();
    notice.balancers = next_of(peers_.alive(), listed_balancers_);
    notice.agent_count = static_cast<std::uint32_t>(agents_.count_alive());
    if (!with_agents)
        return notice;
    std::vector<endpoint> known;
    for (std::size_t i = 0; i < agents_.size(); ++i)
        if (agents_.may_hold_flows(static_cast<agent_index>(i)))
            known.push_back(
                agents_.at(static_cast<agent_index>(i)).status.data);
    notice.agents = next_of(known, listed_agents_);
    return notice;
}

void relay_balancer::send_notice(const endpoint& to,
                                 const balancer_notice& notice)
{
    relay_->queue_copy(to, bytes_of(message_frame(notice)));
}

void relay_balancer::send_notices()
{
    queue_frame(*relay_, peers_.contacts(), message_frame(make_notice(true)));
    const std::string to_agents = message_frame(make_notice(false));
    for (std::size_t i = 0; i < agents_.size(); ++i)
        if (agents_.alive(static_cast<agent_index>(i)))
            relay_->queue_copy(
                agents_.at(static_cast<agent_index>(i)).status.data,
                bytes_of(to_agents));
    relay_->flush();
    notice_timer_ = loop_->timers().schedule(options_.notice_interval,
                                             [this] { send_notices(); });
}

void relay_balancer::check()
{
    agents_.check();
    dispatcher_.expire();
    check_timer_ =
        loop_->timers().schedule(check_interval, [this] { check(); });
}

bool relay_balancer::watches_closely()
{
    const std::vector<endpoint> others = peers_.alive();
    const auto before =
        std::count_if(others.begin(), others.end(),
                      [this](const endpoint& e) { return e < options_.relay; });
    return before < close_watchers;
}

void relay_balancer::leave()
{
    balancer_notice notice;
    notice.relay = options_.relay;
    notice.leaving = true;
    const std::string frame = message_frame(notice);
    queue_frame(*relay_, peers_.contacts(), frame);
    for (std::size_t i = 0; i < agents_.size(); ++i)
        relay_->queue_copy(agents_.at(static_cast<agent_index>(i)).status.data,
                           bytes_of(frame));
    relay_->flush();
}

} // namespace briarfield
