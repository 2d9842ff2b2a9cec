#include "briarfield/relay/relay_balancer.hpp"

#include "briarfield/dispatch/relay_frame.hpp"
#include "message_frame.hpp"

#include <algorithm>
#include <map>
#include <spdlog/spdlog.h>

namespace briarfield
{

namespace
{

using namespace std::chrono_literals;

constexpr duration check_interval = 500ms;

/// Maximum addresses in each list of a notice, so that it fits one datagram.
constexpr std::size_t max_listed_addresses = 40;

/// An agent that another balancer reports is sent another hello notice after
/// this interval if no heartbeat of it was received.
constexpr duration hello_interval = 400ms;

/// A balancer that has missed this many notices no longer takes its part in
/// notifying agents.
constexpr int missed_notices = 3;

/// The agents of a zone have sent heartbeats within this time, also if the
/// balancer has just started.
constexpr duration unknown_zone_delay = 3s;

/// Returns the next addresses of \a all that fit a notice; \a cursor advances
/// through the list in a circle.
std::vector<endpoint> next_addresses(const std::vector<endpoint>& all,
                                     std::size_t& cursor)
{
    if (all.size() <= max_listed_addresses)
        return all;
    std::vector<endpoint> part;
    for (std::size_t i = 0; i < max_listed_addresses; ++i)
        part.push_back(all[(cursor + i) % all.size()]);
    cursor = (cursor + max_listed_addresses) % all.size();
    return part;
}

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
      peers_(loop.timers().time_source()), incarnation_(options.incarnation),
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
            send_notice(address, make_notice(notice_content::all));
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

void relay_balancer::log_overload_rejection(const flow_packet& p,
                                            const admission_request& request)
{
    const route_table::entry* route =
        routes_.find({p.key.destination, p.key.destination_port});
    spdlog::info("event={} flow={} packet={} copy={} routes={} agents={} "
                 "priority={} cost={:.2f} expected_ms={} aim_ms={}",
                 dispatch_event_name(dispatch_event::refused_overloaded),
                 flow_name(p.key), packet_kind_name(p.kind),
                 p.retransmission_count, routes_.version(), agents_.size(),
                 route == nullptr ? lowest_priority : route->priority,
                 request.cost, whole_ms(request.expected),
                 whole_ms(request.aim));
}

void relay_balancer::set_log_hooks()
{
    dispatcher_.on_decision =
        [this](const flow_packet& p, const dispatch_verdict& verdict)
    {
        if (verdict.event == dispatch_event::searched ||
            verdict.event == dispatch_event::queried)
            return;
        if (verdict.event == dispatch_event::refused_overloaded)
        {
            log_overload_rejection(p, verdict.rejected);
            return;
        }
        if (verdict.agent == no_agent)
        {
            spdlog::info("event={} flow={} packet={} copy={} routes={} "
                         "agents={} asked={} doubt={}",
                         dispatch_event_name(verdict.event), flow_name(p.key),
                         packet_kind_name(p.kind), p.retransmission_count,
                         routes_.version(), agents_.size(), verdict.queried,
                         search_uncertainty_name(verdict.uncertainty));
            return;
        }
        const agent_directory::record& record = agents_.at(verdict.agent);
        spdlog::info("event={} flow={} agent={} copy={} load={:.2f} flows={} "
                     "heartbeat_age_ms={} routes={}",
                     dispatch_event_name(verdict.event), flow_name(p.key),
                     record.status.relay_address.to_string(),
                     p.retransmission_count, expected_load(record),
                     record.status.flows + record.placed,
                     whole_ms(loop_->timers().now() - record.last_heartbeat),
                     routes_.version());
    };
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
    send_notices_to_agents(current_plan());
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
    const agent_index agent = agents_.find(status.relay_address);
    relay_->queue_copy(
        status.relay_address,
        bytes_of(frame_for(make_notice(notice_content::balancers),
                           agents_.at(agent))));
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
        send_notice(notice.relay, make_notice(notice_content::all));
    record_reports(notice);
    try_balancers(notice.balancers);
    const time_point now = loop_->timers().now();
    for (const endpoint& agent : notice.agents)
    {
        agents_.add_peer_reported(agent);
        const agent_index index = agents_.find(agent);
        if (index != no_agent && agents_.alive(index))
            continue;
        time_point& last_hello = last_hello_[agent];
        if (last_hello != time_point{} && now - last_hello < hello_interval)
            continue;
        last_hello = now;
        send_notice(agent, make_notice(notice_content::balancers));
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
    { send_hellos(to); };
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

/// The addresses may be outdated, so they become peers only when they respond.
void relay_balancer::send_hellos(
    const std::vector<membership_view::recipient>& to)
{
    const std::string to_balancers =
        message_frame(make_notice(notice_content::all));
    const std::string to_agents =
        message_frame(make_notice(notice_content::balancers));
    for (const membership_view::recipient& recipient : to)
        relay_->queue_copy(recipient.relay,
                           bytes_of(recipient.kind == member_kind::balancer
                                        ? to_balancers
                                        : to_agents));
    relay_->flush();
}

balancer_notice relay_balancer::make_notice(notice_content content)
{
    balancer_notice notice;
    notice.relay = options_.relay;
    notice.incarnation = incarnation_;
    notice.config_version = routes_.version();
    notice.agent_count = static_cast<std::uint32_t>(agents_.count_alive());
    notice.evacuations = evacuations_.current();
    if (content == notice_content::no_lists)
        return notice;
    notice.balancers = next_addresses(peers_.alive(), next_listed_balancer_);
    if (content == notice_content::balancers)
        return notice;
    std::vector<endpoint> tracked;
    for (std::size_t i = 0; i < agents_.size(); ++i)
        if (agents_.may_hold_flows(static_cast<agent_index>(i)))
            tracked.push_back(
                agents_.at(static_cast<agent_index>(i)).status.relay_address);
    notice.agents = next_addresses(tracked, next_listed_agent_);
    return notice;
}

void relay_balancer::send_notice(const endpoint& to,
                                 const balancer_notice& notice)
{
    relay_->queue_copy(to, bytes_of(message_frame(notice)));
}

/// Encodes \a notice for \a agent, with the limit of the openings of its
/// server.
std::string
relay_balancer::frame_for(balancer_notice notice,
                          const agent_directory::record& agent) const
{
    if (routes_.version() > 0)
        notice.warmup_limits = {routes_.limit_of(agent.status.service)};
    return message_frame(notice);
}

notice_plan relay_balancer::current_plan()
{
    return {options_.relay,
            peers_.heard_within(missed_notices * options_.notice_interval)};
}

void relay_balancer::send_notices()
{
    const notice_plan plan = current_plan();
    send_notices_to_balancers(plan);
    send_notices_to_agents(plan);
    relay_->flush();
    const duration interval = agents_.count_alive() == 0
                                  ? options_.search_notice_interval
                                  : options_.notice_interval;
    notice_timer_ =
        loop_->timers().schedule(interval, [this] { send_notices(); });
}

void relay_balancer::send_notices_to_balancers(const notice_plan& plan)
{
    const std::string with_lists =
        message_frame(make_notice(notice_content::all));
    const std::string brief =
        message_frame(make_notice(notice_content::no_lists));
    for (const endpoint& peer : peers_.recipients())
        relay_->queue_copy(peer, bytes_of(plan.gets_lists(peer, notice_round_)
                                              ? with_lists
                                              : brief));
    ++notice_round_;
}

void relay_balancer::send_notices_to_agents(const notice_plan& plan)
{
    const balancer_notice notice = make_notice(notice_content::balancers);
    // One frame for the agents of each service.
    std::map<service_tag, std::string> frames;
    for (std::size_t i = 0; i < agents_.size(); ++i)
    {
        const auto index = static_cast<agent_index>(i);
        const agent_directory::record& agent = agents_.at(index);
        if (!agents_.alive(index) || !plan.notifies(agent.status.relay_address))
            continue;
        std::string& frame = frames[agent.tag];
        if (frame.empty())
            frame = frame_for(notice, agent);
        relay_->queue_copy(agent.status.relay_address, bytes_of(frame));
    }
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
    balancer_notice notice;
    notice.relay = options_.relay;
    notice.leaving = true;
    const std::string frame = message_frame(notice);
    queue_frame(*relay_, peers_.recipients(), frame);
    for (std::size_t i = 0; i < agents_.size(); ++i)
        relay_->queue_copy(
            agents_.at(static_cast<agent_index>(i)).status.relay_address,
            bytes_of(frame));
    relay_->flush();
}

} // namespace briarfield
