#include "briarfield/relay/relay_agent.hpp"

#include "message_frame.hpp"

#include <algorithm>
#include <spdlog/spdlog.h>

namespace briarfield
{

namespace
{

using namespace std::chrono_literals;

constexpr duration check_interval = 500ms;

/// Probes that the server is handed at once, and the pause after them:
/// 64 a pause stay under a tenth of a small instance's processor.
constexpr std::size_t probes_at_once = 64;
constexpr duration batch_pause = 20ms;

} // namespace

result<std::unique_ptr<relay_agent>>
relay_agent::create(event_loop& loop,
                    const relay_agent_options& options,
                    packet_codec codec,
                    random_source& random)
{
    std::unique_ptr<relay_agent> a(
        new relay_agent(loop, options, std::move(codec), random));
    BOOST_OUTCOME_TRYV(a->open());
    return a;
}

relay_agent::relay_agent(event_loop& loop,
                         const relay_agent_options& options,
                         packet_codec codec,
                         random_source& random)
    : loop_(&loop), options_(options), codec_(std::move(codec)),
      random_(&random),
      server_(
          loop.timers().time_source(), options.service, options.silence_limit),
      gate_(loop.timers().time_source(), server_),
      balancers_(loop.timers().time_source()), incarnation_(random.next())
{
    add_seeds(options_.seeds);
    set_log_hooks();
}

void relay_agent::add_seeds(const std::vector<endpoint>& seeds)
{
    for (const endpoint& seed : seeds)
        balancers_.add_seed(seed);
}

relay_agent::~relay_agent()
{
    loop_->timers().cancel(beat_timer_);
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
    beat();
    check();
    return ok();
}

void relay_agent::set_log_hooks()
{
    server_.on_change = [this]
    {
        const server_heartbeat& s = server_.latest();
        spdlog::info("event=server_changed server={} service={} state={} "
                     "born_ms={} sequence={} slots={}",
                     s.id, s.service, server_state_name(server_.state()),
                     s.born_ms, s.sequence, s.slots);
        on_server_change();
    };
    gate_.on_flow_lost = [this]
    {
        spdlog::warn("event=server_lost_flow server={} heard_ms={}",
                     server_.latest().id,
                     whole_ms(server_.time_since_last_activity()));
        probe_server(gate_.probes());
    };
    gate_.on_decision = [this](const flow_packet& p, const gate_verdict& v)
    {
        spdlog::info(
            "event={} flow={} copy={} server={} state={} "
            "heard_ms={} flows={}",
            gate_event_name(v.event), flow_name(p.key), p.retransmission_count,
            server_.latest().id, server_state_name(server_.state()),
            whole_ms(server_.time_since_last_activity()), gate_.open_flows());
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
    {
        const auto message = decode_dispatch_message(text_of(body));
        if (message && std::holds_alternative<balancer_notice>(message.value()))
            return on_notice(std::get<balancer_notice>(message.value()));
        ++malformed_;
        return;
    }
    const auto p = codec_.decode_caller(body);
    if (!p || frame.value().kind != frame_kind::forward)
    {
        ++malformed_;
        return;
    }
    const gate_verdict v =
        gate_.on_balancer_packet(p.value(), frame.value().info, from);
    if (v.decision == gate_verdict::action::return_packet)
        return give_back(body, v);
    if (v.decision != gate_verdict::action::deliver)
        return;
    codec_.put_tag(body, v.tag);
    from_server_->queue(options_.server, body);
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
    const gate_verdict v =
        gate_.on_server_packet(p.value(), codec_.tag(datagram));
    if (v.decision == gate_verdict::action::return_packet)
        return give_back(datagram, v);
    if (v.decision == gate_verdict::action::reset)
    {
        // What was asked is answered, although the server is not heard of yet.
        restored_probes_.clear();
        const auto bytes = codec_.build_reset(p.value().key, v.sequence);
        relay_->queue_copy({p.value().key.source, options_.caller_port},
                           {bytes.data(), bytes.size()});
        return;
    }
    if (v.decision != gate_verdict::action::answer)
        return;
    relay_->queue({p.value().key.source, options_.caller_port}, datagram);
    if (v.notify_balancer)
        relay_->queue_copy(v.balancer, bytes_of(message_frame(flow_held_message{
                                           p.value().key, options_.relay})));
}

void relay_agent::give_back(byte_span packet, const gate_verdict& v)
{
    codec_.clear_marks(packet);
    relay_->queue(v.balancer, write_return_frame(packet, v.reason));
}

/// A server that starts anew has none of the flows of the one before.
void relay_agent::on_server_change()
{
    send_heartbeats();
    const std::uint64_t born_ms = server_.latest().born_ms;
    if (born_ms == probed_born_ms_)
        return;
    probed_born_ms_ = born_ms;
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
    waiting_probes_.insert(waiting_probes_.end(), probes.begin(), probes.end());
    if (probe_timer_ == 0)
        send_probes();
}

void relay_agent::send_probes()
{
    probe_timer_ = 0;
    for (std::size_t i = 0; i < probes_at_once && !waiting_probes_.empty(); ++i)
    {
        send_probe(waiting_probes_.back());
        waiting_probes_.pop_back();
    }
    from_server_->flush();
    if (!waiting_probes_.empty())
        probe_timer_ =
            loop_->timers().schedule(batch_pause, [this] { send_probes(); });
}

void relay_agent::send_probe(const short_packet& probe)
{
    // It may come from a store: only what callers write is handed on.
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
        return balancers_.left(notice.relay);
    }
    bool is_new = balancers_.heard(notice.relay, notice.incarnation);
    if (is_new)
        spdlog::info("event=balancer_heard balancer={}",
                     notice.relay.to_string());
    agent_count_ = std::max<std::size_t>(1, notice.agent_count);
    for (const endpoint& other : notice.balancers)
        is_new = balancers_.introduced(other) || is_new;
    if (is_new)
        send_heartbeats();
}

agent_status relay_agent::make_status()
{
    agent_status s = gate_.status();
    s.data = options_.relay;
    s.incarnation = incarnation_;
    s.sequence = ++sequence_;
    s.zone = options_.zone;
    return s;
}

void relay_agent::send_heartbeats()
{
    send_status(make_status());
}

void relay_agent::send_status(const agent_status& status)
{
    queue_frame(*relay_, balancers_.contacts(), message_frame(status));
    relay_->flush();
}

void relay_agent::leave()
{
    agent_status s = make_status();
    s.restarting = true;
    send_status(s);
    loop_->timers().cancel(beat_timer_);
}

void relay_agent::beat()
{
    send_heartbeats();
    // Agents that started together must not beat together.
    const duration jitter(static_cast<duration::rep>(random_->below(
        static_cast<std::uint64_t>(options_.heartbeat_interval.count() / 8))));
    beat_timer_ = loop_->timers().schedule(options_.heartbeat_interval - jitter,
                                           [this] { beat(); });
}

void relay_agent::check()
{
    gate_.expire();
    if (server_.timed_out() != reported_silent_)
    {
        reported_silent_ = server_.timed_out();
        spdlog::warn("event={} server={} heard_ms={}",
                     reported_silent_ ? "server_silent" : "server_heard_again",
                     server_.latest().id,
                     whole_ms(server_.time_since_last_activity()));
    }
    check_timer_ =
        loop_->timers().schedule(check_interval, [this] { check(); });
}

} // namespace briarfield
