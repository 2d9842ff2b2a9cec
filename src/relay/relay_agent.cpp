#include "briarfield/relay/relay_agent.hpp"

#include "message_frame.hpp"
#include "random_duration.hpp"

#include <algorithm>
#include <spdlog/spdlog.h>

namespace briarfield
{

namespace
{

using namespace std::chrono_literals;

constexpr duration check_interval = 500ms;

/// An agent that follows evacuations hears of them within a notice interval of
/// its start; after this time it logs that it still takes no opening.
constexpr duration evacuations_expected_within = 3s;

/// Probes are sent to the server in batches with an interval between them: 64
/// probes per interval take less than a tenth of a small instance's processor.
constexpr std::size_t probe_batch_size = 64;
constexpr duration probe_batch_interval = 20ms;

/// Recorded balancers are sent periodic heartbeats until there are this many
/// recipients.
constexpr std::size_t max_tried_balancers = 16;

} // namespace

result<std::unique_ptr<relay_agent>>
relay_agent::create(event_loop& loop,
                    const relay_agent_options& options,
                    packet_codec codec,
                    random_source& random)
{
    std::unique_ptr<relay_agent> agent(
        new relay_agent(loop, options, std::move(codec), random));
    BOOST_OUTCOME_TRYV(agent->open());
    return agent;
}

relay_agent::relay_agent(event_loop& loop,
                         const relay_agent_options& options,
                         packet_codec codec,
                         random_source& random)
    : loop_(&loop), options_(options), codec_(std::move(codec)),
      random_(&random), server_(loop.timers().time_source(),
                                options.service,
                                options.silence_limit,
                                options.server),
      openings_(loop.timers().time_source(),
                {options.zone, options.follows_evacuations, options.warmup},
                server_),
      gate_(loop.timers().time_source(), server_, options.max_flow_age),
      balancers_(loop.timers().time_source()), incarnation_(random.next()),
      started_(loop.timers().now())
{
    gate_.set_opening_policy(openings_);
    add_seeds(options_.seeds);
    set_log_hooks();
}

void relay_agent::add_seeds(const std::vector<endpoint>& seeds)
{
    for (const endpoint& seed : seeds)
        balancers_.add_seed(seed);
}

void relay_agent::try_balancers(const std::vector<endpoint>& addresses)
{
    bool is_new = false;
    for (const endpoint& address : addresses)
        is_new = balancers_.on_peer_reported(address) || is_new;
    if (is_new)
        send_heartbeats();
}

void relay_agent::try_recorded_balancers(const std::vector<endpoint>& addresses)
{
    if (balancers_.recipients().size() < max_tried_balancers)
        return try_balancers(addresses);
    queue_frame(*relay_, addresses, message_frame(make_status()));
    relay_->flush();
}

relay_agent::~relay_agent()
{
    loop_->timers().cancel(heartbeat_timer_);
    loop_->timers().cancel(check_timer_);
    loop_->timers().cancel(probe_timer_);
}

result<void> relay_agent::open()
{
    BOOST_OUTCOME_TRY(from_server, udp_socket::create_batched(
                                       *loop_, options_.from_server,
                                       [this](const udp_socket::datagram* batch,
                                              std::size_t count)
                                       { on_server_batch(batch, count); }));
    from_server_ = std::move(from_server);
    BOOST_OUTCOME_TRY(
        relay, udp_socket::create_batched(
                   *loop_, options_.relay,
                   [this](const udp_socket::datagram* batch, std::size_t count)
                   { on_relay_batch(batch, count); }));
    relay_ = std::move(relay);
    options_.relay = relay_->local();
    send_periodic_heartbeat();
    run_periodic_check();
    return ok();
}

void relay_agent::set_log_hooks()
{
    server_.on_change = [this]
    {
        const server_heartbeat& heartbeat = server_.latest();
        spdlog::info("event=server_changed server={} service={} state={} "
                     "born_ms={} sequence={} slots={}",
                     heartbeat.id, heartbeat.service,
                     server_state_name(server_.state()), heartbeat.born_ms,
                     heartbeat.sequence, heartbeat.slots);
        on_server_change();
    };
    openings_.on_change = [this](bool drains)
    {
        spdlog::info("event={} zone={} flows={}",
                     drains ? "zone_evacuated" : "zone_serves", options_.zone,
                     gate_.open_flows());
        send_heartbeats();
    };
    gate_.on_flow_lost = [this]
    {
        spdlog::warn("event=server_lost_flow server={} heard_ms={}",
                     server_.latest().id,
                     whole_ms(server_.time_since_last_activity()));
        probe_server(gate_.probes());
    };
    gate_.on_ejected = [this]
    {
        spdlog::warn("event=server_ejected server={} flows={}",
                     server_.latest().id, gate_.open_flows());
        send_heartbeats();
    };
    gate_.on_decision =
        [this](const flow_packet& p, const gate_verdict& verdict)
    {
        spdlog::info("event={} flow={} copy={} server={} state={} "
                     "heard_ms={} flows={}",
                     gate_event_name(verdict.event), flow_name(p.key),
                     p.retransmission_count, server_.latest().id,
                     server_state_name(server_.state()),
                     whole_ms(server_.time_since_last_activity()),
                     gate_.open_flows());
    };
}

void relay_agent::on_relay_batch(const udp_socket::datagram* batch,
                                 std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
        on_relay_datagram(batch[i].bytes, batch[i].from);
    from_server_->flush();
}

void relay_agent::on_relay_datagram(byte_span datagram, const endpoint& from)
{
    const auto frame = read_relay_frame(datagram);
    if (!frame)
    {
        ++malformed_;
        return;
    }
    const byte_span body = frame.value().body;
    if (frame.value().kind == frame_kind::message)
        return on_message(body);
    const auto p = codec_.decode_caller(body);
    if (!p || frame.value().kind != frame_kind::forward)
    {
        ++malformed_;
        return;
    }
    const gate_verdict verdict =
        gate_.on_balancer_packet(p.value(), frame.value().info, from);
    if (verdict.decision == gate_verdict::action::return_packet)
        return return_packet(body, verdict);
    if (verdict.decision != gate_verdict::action::deliver)
        return;
    codec_.put_tag(body, verdict.tag);
    from_server_->queue(options_.server, body);
    if (verdict.notify_balancer)
        notify_balancer(verdict.balancer, p.value().key);
}

void relay_agent::on_message(byte_span body)
{
    const auto message = decode_dispatch_message(text_of(body));
    if (message && std::holds_alternative<balancer_notice>(message.value()))
        return on_notice(std::get<balancer_notice>(message.value()));
    if (message && std::holds_alternative<flow_query>(message.value()))
        return on_query(std::get<flow_query>(message.value()));
    ++malformed_;
}

void relay_agent::on_query(const flow_query& query)
{
    flow_answer answer;
    answer.agent = options_.relay;
    answer.id = query.id;
    answer.complete = gate_.flows_complete();
    answer.held = gate_.held(query.flows);
    relay_->queue_copy(query.balancer, bytes_of(message_frame(answer)));
}

/// Tells a balancer that the server has a flow.
void relay_agent::notify_balancer(const endpoint& balancer, const flow_key& key)
{
    const flow_held_message message{key, options_.relay};
    relay_->queue_copy(balancer, bytes_of(message_frame(message)));
}

void relay_agent::on_server_batch(const udp_socket::datagram* batch,
                                  std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
        on_server_datagram(batch[i].bytes);
    relay_->flush();
}

void relay_agent::on_server_datagram(byte_span datagram)
{
    const auto p = codec_.decode_server(datagram);
    if (!p)
    {
        ++malformed_;
        return;
    }
    const gate_verdict verdict =
        gate_.on_server_packet(p.value(), codec_.tag(datagram));
    if (verdict.decision == gate_verdict::action::return_packet)
        return return_packet(datagram, verdict);
    if (verdict.decision == gate_verdict::action::reset)
    {
        // The server has handled the probes, although no heartbeat of it was
        // received yet, so they need not be sent again.
        restored_probes_.clear();
        const auto bytes = codec_.build_reset(p.value().key, verdict.sequence);
        relay_->queue_copy({p.value().key.source, options_.caller_port},
                           {bytes.data(), bytes.size()});
        return;
    }
    if (verdict.decision != gate_verdict::action::answer)
        return;
    relay_->queue({p.value().key.source, options_.caller_port}, datagram);
    if (verdict.notify_balancer)
        notify_balancer(verdict.balancer, p.value().key);
}

void relay_agent::return_packet(byte_span packet, const gate_verdict& verdict)
{
    codec_.clear_marks(packet);
    if (verdict.returned.reason == return_reason::not_held)
        packet = codec_.drop_payload(packet);
    relay_->queue(verdict.balancer,
                  write_return_frame(packet, verdict.returned));
}

/// A restarted server holds none of the flows of its previous incarnation.
void relay_agent::on_server_change()
{
    const std::uint64_t born_ms = server_.latest().born_ms;
    const bool restarted = born_ms != probed_start_ms_;
    if (restarted)
        gate_.on_new_server();
    send_heartbeats();
    if (!restarted)
        return;
    probed_start_ms_ = born_ms;
    probe_server(restored_probes_);
    restored_probes_.clear();
    probe_server(gate_.probes());
}

void relay_agent::restore(const std::vector<short_packet>& probes)
{
    if (server_.state() == server_state::unknown)
        restored_probes_ = probes;
    probe_server(probes);
}

void relay_agent::probe_server(const std::vector<short_packet>& probes)
{
    if (probes.empty())
        return;
    spdlog::info("event=server_probed probes={} server={} state={} "
                 "heard_ms={}",
                 probes.size(), server_.latest().id,
                 server_state_name(server_.state()),
                 whole_ms(server_.time_since_last_activity()));
    pending_probes_.insert(pending_probes_.end(), probes.begin(), probes.end());
    if (probe_timer_ == 0)
        send_probes();
}

void relay_agent::send_probes()
{
    probe_timer_ = 0;
    for (std::size_t i = 0; i < probe_batch_size && !pending_probes_.empty();
         ++i)
    {
        send_probe(pending_probes_.back());
        pending_probes_.pop_back();
    }
    from_server_->flush();
    if (!pending_probes_.empty())
        probe_timer_ = loop_->timers().schedule(probe_batch_interval,
                                                [this] { send_probes(); });
}

void relay_agent::send_probe(const short_packet& probe)
{
    // A probe may come from the store, so only a valid packet of a caller is
    // sent to the server.
    const auto p = codec_.decode_caller(probe.span());
    if (!p || p.value().kind != packet_kind::segment ||
        p.value().payload_size > 0 || p.value().returned)
    {
        ++malformed_;
        return;
    }
    std::vector<std::uint8_t> bytes(probe.span().begin(), probe.span().end());
    const byte_span packet(bytes.data(), bytes.size());
    codec_.clear_marks(packet);
    codec_.put_tag(packet, server_gate::probe_tag);
    from_server_->queue_copy(options_.server, packet);
    gate_.record_probe();
}

void relay_agent::on_notice(const balancer_notice& notice)
{
    if (notice.leaving)
    {
        spdlog::info("event=balancer_left balancer={}",
                     notice.relay.to_string());
        return balancers_.on_leave(notice.relay);
    }
    last_notice_ = loop_->timers().now();
    openings_.apply_evacuations(notice.evacuations);
    for (const warmup_limit& limit : notice.warmup_limits)
        openings_.apply_limit(notice.config_version, limit);
    const bool is_new = balancers_.on_notice(notice.relay, notice.incarnation);
    if (is_new)
        spdlog::info("event=balancer_heard balancer={}",
                     notice.relay.to_string());
    agent_count_ = std::max<std::size_t>(1, notice.agent_count);
    if (is_new)
        send_heartbeats();
    try_balancers(notice.balancers);
}

agent_status relay_agent::make_status()
{
    agent_status status = gate_.status();
    status.relay_address = options_.relay;
    status.incarnation = incarnation_;
    status.sequence = ++sequence_;
    status.zone = options_.zone;
    return status;
}

void relay_agent::send_heartbeats()
{
    send_status(make_status());
}

void relay_agent::send_status(const agent_status& status)
{
    queue_frame(*relay_, balancers_.recipients(), message_frame(status));
    relay_->flush();
}

void relay_agent::leave()
{
    agent_status status = make_status();
    status.restarting = true;
    send_status(status);
    loop_->timers().cancel(heartbeat_timer_);
}

void relay_agent::send_periodic_heartbeat()
{
    send_heartbeats();
    // The jitter spreads the heartbeats of agents that started together.
    const duration interval = awaits_balancers()
                                  ? options_.search_heartbeat_interval
                                  : options_.heartbeat_interval;
    const duration jitter = random_duration(*random_, interval / 8);
    heartbeat_timer_ = loop_->timers().schedule(interval - jitter, [this]
                                                { send_periodic_heartbeat(); });
}

bool relay_agent::awaits_balancers() const
{
    return last_notice_ == time_point{} ||
           loop_->timers().now() - last_notice_ > options_.notice_timeout;
}

void relay_agent::report_openings()
{
    const bool limited = openings_.opening_room() != unlimited_openings;
    if (limited != reported_limited_)
    {
        reported_limited_ = limited;
        spdlog::info("event={} server={} service={} warmup_ms={}",
                     limited ? "openings_limited" : "openings_unlimited",
                     server_.latest().id, server_.service(),
                     whole_ms(server_.warmup_left()));
    }
    const bool awaiting =
        openings_.awaits_evacuations() &&
        loop_->timers().now() - started_ > evacuations_expected_within;
    if (awaiting && !reported_awaiting_)
        spdlog::warn("event=evacuations_awaited zone={}", options_.zone);
    reported_awaiting_ = awaiting;
}

void relay_agent::run_periodic_check()
{
    gate_.expire();
    report_openings();
    if (server_.timed_out() != reported_timed_out_)
    {
        reported_timed_out_ = server_.timed_out();
        spdlog::warn(
            "event={} server={} heard_ms={}",
            reported_timed_out_ ? "server_silent" : "server_heard_again",
            server_.latest().id, whole_ms(server_.time_since_last_activity()));
    }
    check_timer_ = loop_->timers().schedule(check_interval,
                                            [this] { run_periodic_check(); });
}

} // namespace briarfield
