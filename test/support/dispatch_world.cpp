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

/// Two heartbeats of a new agent are lost on the way to one balancer.
constexpr duration hearing_delay = 620ms;

/// A machine that has been disturbed for so long owes its flows nothing
/// (StabilityWindowMs of the deployments).
constexpr duration stability_window = 4s;

} // namespace

endpoint host_endpoint(std::uint8_t host, std::uint16_t port)
{
    const std::uint8_t bytes[4] = {10, 0, 0, host};
    return {ip_address::from_v4(bytes), port};
}

dispatch_world::dispatch_world()
{
    clock_.advance(1h);
}

std::size_t dispatch_world::add_server(const std::string& service)
{
    auto s = std::make_unique<world_server>();
    s->service = service;
    s->started = clock_.now();
    s->relay =
        host_endpoint(static_cast<std::uint8_t>(100 + servers_.size()), 9000);
    make_agent(*s, ++born_ms_);
    servers_.push_back(std::move(s));
    return servers_.size() - 1;
}

void dispatch_world::make_agent(world_server& s, std::uint64_t born_ms)
{
    ++s.incarnation;
    s.sequence = 0;
    s.registration =
        std::make_unique<server_registration>(clock_, s.service, silence_limit);
    s.gate = std::make_unique<server_gate>(clock_, *s.registration);
    server_heartbeat beat;
    beat.id = "i" + std::to_string(born_ms);
    beat.born_ms = born_ms;
    beat.sequence = 1;
    beat.service = s.service;
    beat.slots = 2;
    (void)s.registration->take(beat);
}

std::size_t dispatch_world::add_balancer()
{
    auto b = std::make_unique<world_balancer>();
    b->relay =
        host_endpoint(static_cast<std::uint8_t>(1 + balancers_.size()), 9000);
    balancers_.push_back(std::move(b));
    restart_balancer(balancers_.size() - 1);
    return balancers_.size() - 1;
}

void dispatch_world::restart_balancer(std::size_t b)
{
    world_balancer& w = *balancers_[b];
    w.routes = route_table();
    w.agents = std::make_unique<agent_directory>(clock_);
    w.core =
        std::make_unique<flow_dispatcher>(clock_, flow_dispatcher::options{},
                                          w.routes, *w.agents, place_by_load());
    w.routes.take(routes_);
}

void dispatch_world::restart_agent(std::size_t s)
{
    make_agent(*servers_[s], servers_[s]->registration->latest().born_ms);
}

void dispatch_world::replace_server(std::size_t s, const std::string& service)
{
    servers_[s]->service = service;
    servers_[s]->flows.clear();
    make_agent(*servers_[s], ++born_ms_);
}

void dispatch_world::set_routes(std::uint64_t version,
                                std::vector<service_share> shares)
{
    routes_.version = version;
    routes_.routes = {{host_endpoint(250, service_port), std::move(shares)}};
    for (auto& b : balancers_)
        b->routes.take(routes_);
}

void dispatch_world::set_routes_of(std::size_t b, const route_set& routes)
{
    balancers_[b]->routes.take(routes);
}

void dispatch_world::beat()
{
    for (auto& s : servers_)
    {
        if (!s->agent_up)
            continue;
        if (!s->crashed)
            s->registration->note_alive();
        s->last_up = clock_.now();
        agent_status status = s->gate->status();
        status.data = s->relay;
        status.incarnation = s->incarnation;
        status.sequence = ++s->sequence;
        take(status);
    }
    name_agents();
    for (auto& b : balancers_)
        b->agents->check();
}

void dispatch_world::take(const agent_status& status)
{
    for (std::size_t b = 0; b < balancers_.size(); ++b)
        if (hears(b, status.data))
            balancers_[b]->agents->take(status);
}

bool dispatch_world::hears(std::size_t b, const endpoint& relay) const
{
    const duration age = clock_.now() - servers_[server_at(relay)]->started;
    return b != hard_of_hearing || age >= hearing_delay;
}

void dispatch_world::name_agents()
{
    for (auto& from : balancers_)
        for (std::size_t i = 0; i < from->agents->size(); ++i)
        {
            const auto index = static_cast<agent_index>(i);
            if (!from->agents->known(index))
                continue;
            const endpoint& relay = from->agents->at(index).status.data;
            for (std::size_t to = 0; to < balancers_.size(); ++to)
                if (hears(to, relay))
                    balancers_[to]->agents->note_named(relay);
        }
}

bool dispatch_world::owed_nothing(std::uint16_t caller) const
{
    const std::size_t s = holder(caller);
    if (s == servers_.size())
        return true;
    const world_server& w = *servers_[s];
    if (w.agent_up)
        return false;
    const bool heard_of = std::any_of(
        balancers_.begin(), balancers_.end(),
        [&w](const auto& b) { return b->agents->find(w.relay) != no_agent; });
    return !heard_of || clock_.now() - w.last_up >= stability_window;
}

void dispatch_world::pass(duration d)
{
    while (d > duration(0))
    {
        const duration step = std::min(d, heartbeat_interval);
        clock_.advance(step);
        d -= step;
        beat();
    }
}

flow_packet dispatch_world::packet(std::uint16_t caller, packet_kind kind) const
{
    flow_packet p;
    p.key.source = host_endpoint(200, 0).address;
    p.key.source_port = caller;
    p.key.destination = host_endpoint(250, 0).address;
    p.key.destination_port = service_port;
    p.kind = kind;
    return p;
}

void dispatch_world::open(std::size_t b, std::uint16_t caller, unsigned copy)
{
    flow_packet p = packet(caller, packet_kind::opening);
    p.copy = copy;
    carry_out(b, p, balancers_[b]->core->on_caller_packet(p));
}

void dispatch_world::send(std::size_t b, std::uint16_t caller)
{
    flow_packet p = packet(caller, packet_kind::segment);
    p.payload_size = 100;
    carry_out(b, p, balancers_[b]->core->on_caller_packet(p));
}

void dispatch_world::carry_out(std::size_t b,
                               const flow_packet& p,
                               dispatch_verdict v)
{
    if (v.what == dispatch_verdict::action::reset)
    {
        world_caller& c = callers_[p.key.source_port];
        ++(owed_nothing(p.key.source_port) ? c.resets_allowed : c.resets);
    }
    if (v.what == dispatch_verdict::action::drop)
    {
        asks_again_after_ = v.ask_again_after;
        doubt_ = v.doubt;
    }
    if (v.what == dispatch_verdict::action::forward)
        deliver(b, p, v);
}

void dispatch_world::deliver(std::size_t b,
                             const flow_packet& p,
                             const dispatch_verdict& v)
{
    const std::size_t s =
        server_at(balancers_[b]->agents->at(v.agent).status.data);
    if (!servers_[s]->agent_up)
        return;
    const gate_verdict g =
        servers_[s]->gate->on_balancer_packet(p, v.note, balancers_[b]->relay);
    if (g.what == gate_verdict::action::deliver)
        return to_server(s, p, g.tag);
    if (g.what == gate_verdict::action::give_back)
        carry_out(b, p,
                  balancers_[b]->core->on_returned_packet(p, servers_[s]->relay,
                                                          g.reason));
}

void dispatch_world::to_server(std::size_t s, flow_packet p, std::uint32_t tag)
{
    world_server& w = *servers_[s];
    const std::uint16_t caller = p.key.source_port;
    const bool opening = p.kind == packet_kind::opening;
    if (opening)
        ++w.openings;
    const bool held = w.flows.count(caller) != 0;
    if (!held && !(opening && w.takes_openings))
    {
        w.foreign_packets += opening ? 0 : 1;
        p.returned = true;
        return from_server(s, p, tag);
    }
    if (opening)
        w.flows.insert(caller);
    flow_packet answer = p;
    answer.kind = packet_kind::segment;
    answer.accepts = opening;
    answer.payload_size = opening ? 0 : 500;
    from_server(s, answer, 0);
}

void dispatch_world::from_server(std::size_t s,
                                 const flow_packet& p,
                                 std::uint32_t tag)
{
    world_server& w = *servers_[s];
    const gate_verdict g = w.gate->on_server_packet(p, tag);
    if (g.what == gate_verdict::action::give_back)
    {
        flow_packet again = p;
        again.returned = false;
        const std::size_t b = balancer_at(g.balancer);
        return carry_out(
            b, again,
            balancers_[b]->core->on_returned_packet(again, w.relay, g.reason));
    }
    if (g.what != gate_verdict::action::answer)
        return;
    world_caller& c = callers_[p.key.source_port];
    ++(p.accepts ? c.accepted : c.answers);
    if (g.tell_balancer && !lose_flow_held)
        balancers_[balancer_at(g.balancer)]->core->on_flow_held(p.key, w.relay);
}

std::size_t dispatch_world::holder(std::uint16_t caller) const
{
    std::size_t s = 0;
    while (s < servers_.size() && servers_[s]->flows.count(caller) == 0)
        ++s;
    return s;
}

std::size_t dispatch_world::server_at(const endpoint& relay) const
{
    std::size_t s = 0;
    while (servers_[s]->relay != relay)
        ++s;
    return s;
}

std::size_t dispatch_world::balancer_at(const endpoint& relay) const
{
    std::size_t b = 0;
    while (balancers_[b]->relay != relay)
        ++b;
    return b;
}

} // namespace briarfield::test
