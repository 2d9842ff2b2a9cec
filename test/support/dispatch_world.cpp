#include "dispatch_world.hpp"

#include <algorithm>

namespace briarfield::test
{

namespace
{

using namespace std::chrono_literals;

constexpr duration heartbeat_interval = 300ms;
constexpr duration silence_limit = 1900ms;
constexpr std::uint16_t service_port = 80;

/// Age from which the delayed balancer receives an agent's heartbeats: the
/// first two are lost.
constexpr duration min_agent_age = 620ms;

/// After a disturbance of this length an instance's flows may be reset
/// (StabilityWindowMs of the deployments).
constexpr duration stability_window = 4s;

} // namespace

endpoint host_endpoint(std::uint8_t host, std::uint16_t port)
{
    const std::uint8_t bytes[4] = {10, 0, 0, host};
    return {ip_address::from_v4(bytes), port};
}

dispatch_network::dispatch_network()
{
    clock_.advance(1h);
}

std::size_t dispatch_network::add_server(const std::string& service)
{
    auto s = std::make_unique<simulated_server>();
    s->service = service;
    s->started = clock_.now();
    s->relay =
        host_endpoint(static_cast<std::uint8_t>(100 + servers_.size()), 9000);
    make_agent(*s, ++born_ms_);
    servers_.push_back(std::move(s));
    return servers_.size() - 1;
}

void dispatch_network::make_agent(simulated_server& node, std::uint64_t born_ms)
{
    ++node.incarnation;
    node.sequence = 0;
    node.registration = std::make_unique<server_registration>(
        clock_, node.service, silence_limit);
    node.gate = std::make_unique<server_gate>(clock_, *node.registration);
    server_heartbeat heartbeat;
    heartbeat.id = "i" + std::to_string(born_ms);
    heartbeat.born_ms = born_ms;
    heartbeat.sequence = 1;
    heartbeat.service = node.service;
    heartbeat.slots = 2;
    (void)node.registration->on_heartbeat(heartbeat);
}

std::size_t dispatch_network::add_balancer()
{
    auto b = std::make_unique<simulated_balancer>();
    b->relay =
        host_endpoint(static_cast<std::uint8_t>(1 + balancers_.size()), 9000);
    balancers_.push_back(std::move(b));
    restart_balancer(balancers_.size() - 1);
    return balancers_.size() - 1;
}

void dispatch_network::restart_balancer(std::size_t balancer_index)
{
    simulated_balancer& node = *balancers_[balancer_index];
    node.routes = route_table();
    node.agents = std::make_unique<agent_directory>(clock_);
    node.dispatcher = std::make_unique<flow_dispatcher>(
        clock_, flow_dispatcher::options{}, node.routes, *node.agents,
        place_by_load());
    node.routes.apply(routes_);
    connect_search(balancer_index);
}

void dispatch_network::connect_search(std::size_t balancer_index)
{
    flow_dispatcher& dispatcher = *balancers_[balancer_index]->dispatcher;
    dispatcher.resume_kept_packet = [this, balancer_index](const flow_key& key)
    {
        release({balancer_index, key.source_port});
    };
    dispatcher.schedule_flush = [this, balancer_index](duration delay)
    { flushes_.emplace(clock_.now() + delay, balancer_index); };
    dispatcher.send_query =
        [this, balancer_index](const endpoint& agent, std::uint32_t id,
                               const std::vector<flow_key>& flows)
    {
        ++message_queries;
        queries_.emplace(clock_.now(),
                         sent_query{balancer_index, agent, id, flows});
    };
}

/// The first packet of a flow stays; the earlier time counts.
void dispatch_network::keep(std::size_t balancer_index,
                            const flow_packet& p,
                            duration delay)
{
    const time_point due = clock_.now() + delay;
    const auto [kept, added] = kept_packets_.emplace(
        kept_key{balancer_index, p.key.source_port}, kept_packet{due, p});
    if (!added)
        kept->second.due = std::min(kept->second.due, due);
}

void dispatch_network::release(kept_key key)
{
    const auto found = kept_packets_.find(key);
    if (found == kept_packets_.end())
        return;
    const flow_packet p = found->second.packet;
    kept_packets_.erase(found);
    execute(key.first, p, balancers_[key.first]->dispatcher->on_kept_packet(p));
}

/// An agent's answer is lost if its balancer has restarted.
void dispatch_network::answer(const sent_query& query)
{
    const std::size_t s = server_at(query.agent);
    if (!servers_[s]->agent_up || drop_answers)
        return;
    server_gate& gate = *servers_[s]->gate;
    balancers_[query.balancer_index]->dispatcher->on_query_answer(
        query.agent, query.id, gate.flows_complete(), gate.held(query.flows));
}

void dispatch_network::restart_agent(std::size_t server_index)
{
    make_agent(*servers_[server_index],
               servers_[server_index]->registration->latest().born_ms);
}

void dispatch_network::replace_server(std::size_t server_index,
                                      const std::string& service)
{
    servers_[server_index]->service = service;
    servers_[server_index]->flows.clear();
    make_agent(*servers_[server_index], ++born_ms_);
}

void dispatch_network::set_routes(std::uint64_t version,
                                  std::vector<service_share> shares)
{
    routes_.version = version;
    routes_.routes = {{host_endpoint(250, service_port), std::move(shares)}};
    for (auto& b : balancers_)
        b->routes.apply(routes_);
}

void dispatch_network::set_routes_of(std::size_t balancer_index,
                                     const route_set& routes)
{
    balancers_[balancer_index]->routes.apply(routes);
}

void dispatch_network::send_heartbeats()
{
    for (auto& s : servers_)
    {
        if (!s->agent_up)
            continue;
        if (!s->crashed)
            s->registration->record_activity();
        s->last_up = clock_.now();
        agent_status status = s->gate->status();
        status.relay_address = s->relay;
        status.incarnation = s->incarnation;
        status.sequence = ++s->sequence;
        deliver_heartbeat(status);
    }
    exchange_agent_lists();
    check_agents();
    check_balancers();
}

void dispatch_network::check_balancers()
{
    for (auto& b : balancers_)
    {
        b->agents->check();
        b->dispatcher->expire();
    }
}

void dispatch_network::advance_without_heartbeats(duration d)
{
    while (d > duration(0))
    {
        const duration step = std::min(d, heartbeat_interval);
        advance_clock(step);
        d -= step;
        check_agents();
        check_balancers();
    }
}

void dispatch_network::advance_clock(duration d)
{
    const time_point end = clock_.now() + d;
    while (run_next_before(end))
        continue;
    clock_.advance(end - clock_.now());
}

/// Runs the next event that is due by \a end: a kept packet, a query's arrival
/// or a balancer's timer.
bool dispatch_network::run_next_before(time_point end)
{
    const auto kept =
        std::min_element(kept_packets_.begin(), kept_packets_.end(),
                         [](const auto& a, const auto& b)
                         { return a.second.due < b.second.due; });
    const time_point never = end + duration(1);
    const time_point kept_due =
        kept == kept_packets_.end() ? never : kept->second.due;
    const time_point query_due =
        queries_.empty() ? never : queries_.begin()->first;
    const time_point flush_due =
        flushes_.empty() ? never : flushes_.begin()->first;
    const time_point next = std::min({kept_due, query_due, flush_due});
    if (next > end)
        return false;
    clock_.advance(std::max(duration(0), next - clock_.now()));
    if (next == flush_due)
    {
        const std::size_t balancer_index = flushes_.begin()->second;
        flushes_.erase(flushes_.begin());
        balancers_[balancer_index]->dispatcher->flush_queries();
    }
    else if (next == query_due)
    {
        const sent_query query = queries_.begin()->second;
        queries_.erase(queries_.begin());
        answer(query);
    }
    else
        release(kept->first);
    return true;
}

void dispatch_network::check_agents()
{
    for (auto& s : servers_)
        s->gate->expire();
}

void dispatch_network::pause_balancers(duration d)
{
    while (d > duration(0))
    {
        const duration step = std::min(d, heartbeat_interval);
        clock_.advance(step);
        d -= step;
        check_agents();
    }
}

void dispatch_network::deliver_heartbeat(const agent_status& status)
{
    for (std::size_t b = 0; b < balancers_.size(); ++b)
        if (receives(b, status.relay_address))
            balancers_[b]->agents->on_heartbeat(status);
}

bool dispatch_network::receives(std::size_t balancer_index,
                                const endpoint& relay) const
{
    const duration age = clock_.now() - servers_[server_at(relay)]->started;
    return balancer_index != delayed_balancer || age >= min_agent_age;
}

void dispatch_network::exchange_agent_lists()
{
    for (auto& from : balancers_)
        for (std::size_t i = 0; i < from->agents->size(); ++i)
        {
            const auto index = static_cast<agent_index>(i);
            if (!from->agents->may_hold_flows(index))
                continue;
            const endpoint& relay =
                from->agents->at(index).status.relay_address;
            for (std::size_t to = 0; to < balancers_.size(); ++to)
                if (receives(to, relay))
                    balancers_[to]->agents->add_peer_reported(relay);
        }
}

bool dispatch_network::may_be_reset(std::uint16_t caller) const
{
    const std::size_t s = holder(caller);
    if (s == servers_.size())
        return true;
    const simulated_server& node = *servers_[s];
    if (node.agent_up)
        return false;
    const bool tracked =
        std::any_of(balancers_.begin(), balancers_.end(),
                    [&node](const auto& b)
                    { return b->agents->find(node.relay) != no_agent; });
    return !tracked || clock_.now() - node.last_up >= stability_window;
}

void dispatch_network::advance(duration d)
{
    while (d > duration(0))
    {
        const duration step = std::min(d, heartbeat_interval);
        advance_clock(step);
        d -= step;
        send_heartbeats();
    }
}

flow_packet dispatch_network::packet(std::uint16_t caller,
                                     packet_kind kind) const
{
    flow_packet p;
    p.key.source = host_endpoint(200, 0).address;
    p.key.source_port = caller;
    p.key.destination = host_endpoint(250, 0).address;
    p.key.destination_port = service_port;
    p.kind = kind;
    return p;
}

void dispatch_network::open(std::size_t balancer_index,
                            std::uint16_t caller,
                            unsigned retransmission_count,
                            std::uint32_t sequence)
{
    flow_packet p = packet(caller, packet_kind::opening);
    p.sequence = sequence;
    p.retransmission_count = retransmission_count;
    execute(balancer_index, p,
            balancers_[balancer_index]->dispatcher->on_caller_packet(p));
}

void dispatch_network::send(std::size_t balancer_index,
                            std::uint16_t caller,
                            std::uint32_t sequence)
{
    flow_packet p = packet(caller, packet_kind::segment);
    p.sequence = sequence;
    p.payload_size = 100;
    execute(balancer_index, p,
            balancers_[balancer_index]->dispatcher->on_caller_packet(p));
}

void dispatch_network::execute(std::size_t balancer_index,
                               const flow_packet& p,
                               const dispatch_verdict& v)
{
    if (v.decision == dispatch_verdict::action::reset)
    {
        simulated_caller& c = callers_[p.key.source_port];
        ++(may_be_reset(p.key.source_port) ? c.resets_allowed : c.resets);
        uncertainty_ = search_uncertainty::none;
    }
    if (v.uncertainty != search_uncertainty::none)
        uncertainty_ = v.uncertainty;
    if (v.retry_after > duration(0))
        keep(balancer_index, p, v.retry_after);
    if (v.decision != dispatch_verdict::action::forward)
        return;
    deliver(balancer_index, p, v);
    for (const agent_index agent : v.more_agents)
    {
        dispatch_verdict copy = v;
        copy.agent = agent;
        deliver(balancer_index, p, copy);
    }
}

void dispatch_network::deliver(std::size_t balancer_index,
                               const flow_packet& p,
                               const dispatch_verdict& v)
{
    const std::size_t s = server_at(
        balancers_[balancer_index]->agents->at(v.agent).status.relay_address);
    packet_queries += v.event == dispatch_event::searched ? 1 : 0;
    if (!servers_[s]->agent_up)
        return;
    forward_info info = v.info;
    info.packet_kept = info.packet_kept && !earlier_agents;
    const gate_verdict g = servers_[s]->gate->on_balancer_packet(
        p, info, balancers_[balancer_index]->relay);
    if (g.decision == gate_verdict::action::deliver)
    {
        if (g.notify_balancer && !drop_flow_held)
            balancers_[balancer_index]->dispatcher->on_flow_held(
                p.key, servers_[s]->relay);
        return to_server(s, p, g.tag);
    }
    if (g.decision == gate_verdict::action::return_packet)
        execute(balancer_index, p,
                balancers_[balancer_index]->dispatcher->on_returned_packet(
                    p, servers_[s]->relay, g.returned));
}

void dispatch_network::to_server(std::size_t server_index,
                                 flow_packet p,
                                 std::uint32_t tag)
{
    simulated_server& node = *servers_[server_index];
    const std::uint16_t caller = p.key.source_port;
    const bool opening = p.kind == packet_kind::opening;
    if (opening)
        ++node.openings;
    const bool held = node.flows.count(caller) != 0;
    if (!held && !(opening && node.takes_openings))
    {
        node.foreign_packets += opening ? 0 : 1;
        p.returned = true;
        return from_server(server_index, p, tag);
    }
    if (opening)
        node.flows.insert(caller);
    flow_packet answer = p;
    answer.kind = packet_kind::segment;
    answer.accepts = opening;
    answer.payload_size = opening ? 0 : 500;
    from_server(server_index, answer, 0);
}

void dispatch_network::from_server(std::size_t server_index,
                                   const flow_packet& p,
                                   std::uint32_t tag)
{
    simulated_server& node = *servers_[server_index];
    const gate_verdict g = node.gate->on_server_packet(p, tag);
    if (g.decision == gate_verdict::action::return_packet)
    {
        flow_packet again = p;
        again.returned = false;
        if (g.returned.reason == return_reason::not_held)
            again.payload_size = 0;
        const std::size_t b = balancer_at(g.balancer);
        return execute(b, again,
                       balancers_[b]->dispatcher->on_returned_packet(
                           again, node.relay, g.returned));
    }
    if (g.decision != gate_verdict::action::answer)
        return;
    simulated_caller& c = callers_[p.key.source_port];
    ++(p.accepts ? c.accepted : c.answers);
    if (g.notify_balancer && !drop_flow_held)
        balancers_[balancer_at(g.balancer)]->dispatcher->on_flow_held(
            p.key, node.relay);
}

std::size_t dispatch_network::holder(std::uint16_t caller) const
{
    std::size_t s = 0;
    while (s < servers_.size() && servers_[s]->flows.count(caller) == 0)
        ++s;
    return s;
}

std::size_t dispatch_network::server_at(const endpoint& relay) const
{
    std::size_t s = 0;
    while (servers_[s]->relay != relay)
        ++s;
    return s;
}

std::size_t dispatch_network::balancer_at(const endpoint& relay) const
{
    std::size_t b = 0;
    while (balancers_[b]->relay != relay)
        ++b;
    return b;
}

} // namespace briarfield::test
