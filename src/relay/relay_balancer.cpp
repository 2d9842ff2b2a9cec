#include "briarfield/relay/relay_balancer.hpp"

#include "briarfield/dispatch/relay_frame.hpp"
#include "dispatch_log.hpp"
#include "message_frame.hpp"

#include <algorithm>
#include <spdlog/spdlog.h>

namespace briarfield
{

namespace
{

using namespace std::chrono_literals;

constexpr duration check_interval = 500ms;

/// The agents of a zone have sent heartbeats within this time, also if the
/// balancer has just started.
constexpr duration unknown_zone_delay = 3s;

} // namespace

result<std::unique_ptr<relay_balancer>>
relay_balancer::create(event_loop& loop,
                       const relay_balancer_options& options,
                       packet_codec codec,
                       placement_policy policy)
{
    std::unique_ptr<relay_balancer> balancer(
        new relay_balancer(loop, options, std::move(codec), std::move(policy)));
    BOOST_OUTCOME_TRYV(balancer->open());
    return balancer;
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
      peers_(loop.timers().time_source()),
      notices_({&loop.timers().time_source(), &routes_, &evacuations_, &agents_,
                &peers_},
               options.incarnation,
               options.notice_interval),
      kept_(loop.timers(), relay_frame_overhead)
{
    add_seeds(options_.seeds);
    agents_.set_evacuations(evacuations_);
    set_log_hooks();
    connect_search();
}

void relay_balancer::add_seeds(const std::vector<endpoint>& seeds)
{
    for (const endpoint& seed : seeds)
        if (seed != options_.relay)
            peers_.add_seed(seed);
}

void relay_balancer::try_balancers(const std::vector<endpoint>& addresses)
{
    for (const endpoint& address : addresses)
        if (address != options_.relay && peers_.on_peer_reported(address))
            notices_.send_to_balancer(address);
    relay_->flush();
}

relay_balancer::~relay_balancer()
{
    loop_->timers().cancel(query_timer_);
    loop_->timers().cancel(notice_timer_);
    loop_->timers().cancel(check_timer_);
    loop_->timers().cancel(unknown_zone_timer_);
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
    notices_.use_socket(*relay_);
    BOOST_OUTCOME_TRY(callers, udp_socket::create_batched(
                                   *loop_, options_.callers,
                                   [this](const udp_socket::datagram* batch,
                                          std::size_t count)
                                   { on_caller_batch(batch, count); }));
    callers_ = std::move(callers);
    send_notices();
    run_periodic_check();
    return ok();
}

void relay_balancer::set_log_hooks()
{
    dispatcher_.on_decision =
        [this](const flow_packet& p, const dispatch_verdict& verdict)
    { log_decision(p, verdict, routes_, agents_, loop_->timers().now()); };
    dispatcher_.on_found =
        [this](const flow_key& key, agent_index agent, std::size_t tried)
    {
        spdlog::info("event=flow_found flow={} agent={} tried={}",
                     flow_name(key),
                     agents_.at(agent).status.relay_address.to_string(), tried);
    };
    agents_.on_change = [](const agent_directory::record& record)
    {
        spdlog::info("event=agent_heard agent={} service={} state={} "
                     "incarnation={} sequence={}",
                     record.status.relay_address.to_string(),
                     record.status.service,
                     server_state_name(record.status.state),
                     record.status.incarnation, record.status.sequence);
    };
    evacuations_.on_change = [this](const std::string& zone, bool evacuated)
    { on_evacuation(zone, evacuated); };
    agents_.on_timeout =
        [](const agent_directory::record& record, duration silence)
    {
        spdlog::warn("event=agent_silent agent={} service={} silence_ms={}",
                     record.status.relay_address.to_string(),
                     record.status.service, whole_ms(silence));
    };
}

/// Queries share datagrams; a search goes on as soon as answers allow.
void relay_balancer::connect_search()
{
    kept_.on_due = [this](byte_span packet) { return on_kept_packet(packet); };
    kept_.on_passed = [this]
    {
        relay_->flush();
        callers_->flush();
    };
    dispatcher_.resume_kept_packet = [this](const flow_key& key)
    { kept_.release(key); };
    dispatcher_.send_query = [this](const endpoint& agent, std::uint32_t id,
                                    const std::vector<flow_key>& flows)
    { send_flow_query(agent, id, flows); };
    dispatcher_.schedule_flush = [this](duration delay)
    {
        if (query_timer_ == 0)
            query_timer_ =
                loop_->timers().schedule(delay, [this] { flush_queries(); });
    };
}

void relay_balancer::flush_queries()
{
    query_timer_ = 0;
    dispatcher_.flush_queries();
    relay_->flush();
}

void relay_balancer::send_flow_query(const endpoint& agent,
                                     std::uint32_t id,
                                     const std::vector<flow_key>& flows)
{
    const flow_query query{options_.relay, id, flows};
    relay_->queue_copy(agent, bytes_of(message_frame(query)));
}

void relay_balancer::update_routes(const route_set& routes)
{
    if (!routes_.apply(routes))
        return;
    spdlog::info("event=routes_in_force version={} routes={}",
                 routes_.version(), routes_.size());
}

void relay_balancer::update_evacuations(const evacuated_zones& zones)
{
    const bool first = !evacuations_.known();
    const std::vector<std::string> previous = evacuations_.current().zones;
    if (!options_.follows_evacuations || !evacuations_.apply(zones))
        return;
    if (!first && previous == evacuations_.current().zones)
        return;
    // Agents take no opening against the set from now on, and those that have
    // started take openings.
    notices_.send_to_agents();
    relay_->flush();
}

void relay_balancer::on_evacuation(const std::string& zone, bool evacuated)
{
    const evacuated_zones& current = evacuations_.current();
    spdlog::info("event={} zone={} era={} revision={} agents={}",
                 evacuated ? "zone_evacuated" : "zone_taken_back", zone,
                 current.era, current.revision, agents_in(zone));
    if (unknown_zone_timer_ == 0)
        unknown_zone_timer_ = loop_->timers().schedule(
            unknown_zone_delay, [this] { check_unknown_zones(); });
}

void relay_balancer::check_unknown_zones()
{
    unknown_zone_timer_ = 0;
    for (const std::string& zone : evacuations_.current().zones)
        if (zone != options_.dispatch.zone && agents_in(zone) == 0)
            spdlog::warn("event=evacuated_zone_unknown zone={}", zone);
}

std::size_t relay_balancer::agents_in(const std::string& zone) const
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < agents_.size(); ++i)
    {
        const auto index = static_cast<agent_index>(i);
        count += agents_.at(index).status.zone == zone ? 1 : 0;
    }
    return count;
}

bool relay_balancer::ready() const
{
    return not_ready_reason().empty();
}

std::string relay_balancer::not_ready_reason() const
{
    if (routes_.version() == 0)
        return "no routes yet";
    if (options_.follows_evacuations && !evacuations_.known())
        return "evacuated zones not known yet";
    return agents_.count_alive() > 0 ? "" : "no agent is alive";
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
    // Clears the fields that only briarfield may set.
    codec_.clear_marks(datagram);
    apply_verdict(dispatcher_.on_caller_packet(p.value()), datagram, p.value());
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
        return on_returned_frame(frame.value(), from);
    if (frame.value().kind == frame_kind::message)
        return on_message(frame.value());
    ++malformed_;
}

void relay_balancer::on_returned_frame(const relay_frame& frame,
                                       const endpoint& from)
{
    const auto p = codec_.decode_caller(frame.body);
    if (!p)
    {
        ++malformed_;
        return;
    }
    codec_.clear_marks(frame.body);
    apply_verdict(
        dispatcher_.on_returned_packet(p.value(), from, frame.returned),
        frame.body, p.value());
}

void relay_balancer::apply_verdict(const dispatch_verdict& verdict,
                                   byte_span packet,
                                   const flow_packet& p)
{
    if (verdict.retry_after > duration(0))
        kept_.keep(p.key, packet, verdict.retry_after);
    switch (verdict.decision)
    {
    case dispatch_verdict::action::drop:
        return;
    case dispatch_verdict::action::forward:
    {
        const byte_span frame = write_forward_frame(packet, verdict.info);
        relay_->queue(agents_.at(verdict.agent).status.relay_address, frame);
        for (const agent_index agent : verdict.more_agents)
            relay_->queue(agents_.at(agent).status.relay_address, frame);
        return;
    }
    case dispatch_verdict::action::reset:
        const auto bytes = codec_.build_reset(p.key, verdict.reset_sequence);
        callers_->queue_copy({p.key.source, options_.caller_port},
                             {bytes.data(), bytes.size()});
        return;
    }
}

/// \returns false if the packet cannot be decoded or its flow was reset; the
/// flow's other kept packets are then discarded.
bool relay_balancer::on_kept_packet(byte_span packet)
{
    const auto p = codec_.decode_caller(packet);
    if (!p)
        return false;
    const dispatch_verdict verdict = dispatcher_.on_kept_packet(p.value());
    apply_verdict(verdict, packet, p.value());
    return verdict.decision != dispatch_verdict::action::reset;
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
    const agent_index known_agent = agents_.find(status.relay_address);
    const bool started =
        known_agent == no_agent ||
        agents_.at(known_agent).status.incarnation != status.incarnation;
    if (!agents_.on_heartbeat(status))
        return;
    if (membership_)
        membership_->view().on_heard(member_kind::agent, status.relay_address,
                                     status.incarnation);
    dispatcher_.on_route_times(status.route_times);
    if (!started)
        return;
    // An agent discovers all balancers from the first one that replies, and
    // takes no opening before it knows the evacuated zones.
    notices_.greet_started_agent(
        agents_.at(agents_.find(status.relay_address)));
}

void relay_balancer::on_message(const flow_held_message& held)
{
    dispatcher_.on_flow_held(held.key, held.agent);
}

/// Only agents are queried.
void relay_balancer::on_message(const flow_query& /*query*/)
{
    ++malformed_;
}

void relay_balancer::on_message(const flow_answer& answer)
{
    dispatcher_.on_query_answer(answer.agent, answer.id, answer.complete,
                                answer.held);
}

void relay_balancer::on_message(const balancer_notice& notice)
{
    if (notice.leaving)
    {
        spdlog::info("event=balancer_left balancer={}",
                     notice.relay.to_string());
        return peers_.on_leave(notice.relay);
    }
    const bool is_new = peers_.on_notice(notice.relay, notice.incarnation);
    if (is_new)
        spdlog::info("event=balancer_heard balancer={} routes={}",
                     notice.relay.to_string(), notice.config_version);
    if (notice.evacuations.revision > 0)
        update_evacuations(notice.evacuations);
    const bool lacks_agents =
        notice.agent_count == 0 && agents_.count_alive() > 0;
    if (is_new || lacks_agents)
        notices_.send_to_balancer(notice.relay);
    record_reports(notice);
    try_balancers(notice.balancers);
    for (const endpoint& agent : notice.agents)
    {
        agents_.add_peer_reported(agent);
        const agent_index index = agents_.find(agent);
        if (index == no_agent || !agents_.alive(index))
            notices_.greet_reported_agent(agent);
    }
    if (notice.config_version > routes_.version() && on_newer_routes)
        on_newer_routes(notice.config_version);
}

void relay_balancer::record_reports(const balancer_notice& notice)
{
    if (!membership_)
        return;
    membership_view& view = membership_->view();
    view.on_heard(member_kind::balancer, notice.relay, notice.incarnation);
    for (const endpoint& balancer : notice.balancers)
        view.on_reported(member_kind::balancer, balancer);
    for (const endpoint& agent : notice.agents)
        view.on_reported(member_kind::agent, agent);
}

void relay_balancer::follow_records(random_source& random,
                                    membership_tracker::calls store)
{
    membership_ = std::make_unique<membership_tracker>(
        loop_->timers(), random, std::move(store), options_.relay);
    membership_tracker& membership = *membership_;
    membership.send_hellos =
        [this](const std::vector<membership_view::recipient>& to)
    {
        notices_.send_hellos(to);
        relay_->flush();
    };
    membership.balancers = [this] { return peers_.alive(); };
    membership.on_change = [this](bool confirmed)
    {
        spdlog::info("event={} agents={}",
                     confirmed ? "membership_confirmed"
                               : "membership_unconfirmed",
                     agents_.size());
    };
    membership.on_lost = [](member_kind kind, const error& e)
    {
        spdlog::warn("event=records_unread kind={} error=\"{}\"",
                     member_kind_name(kind), e.message());
    };
    membership.on_removed =
        [](member_kind kind, const membership_record& record)
    {
        spdlog::info("event=record_removed kind={} name={} address={}",
                     member_kind_name(kind), record.name,
                     record.relay.to_string());
    };
    dispatcher_.agents_confirmed = [this]
    { return membership_->view().confirmed(); };
    membership.start();
}

void relay_balancer::send_notices()
{
    notices_.send_round();
    relay_->flush();
    const duration interval = agents_.count_alive() == 0
                                  ? options_.search_notice_interval
                                  : options_.notice_interval;
    notice_timer_ =
        loop_->timers().schedule(interval, [this] { send_notices(); });
}

void relay_balancer::run_periodic_check()
{
    agents_.check();
    dispatcher_.expire();
    check_timer_ = loop_->timers().schedule(check_interval,
                                            [this] { run_periodic_check(); });
}

void relay_balancer::leave()
{
    notices_.send_leave();
    relay_->flush();
}

} // namespace briarfield
