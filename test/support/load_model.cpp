#include "load_model.hpp"

#include "dispatch_world.hpp"

#include <algorithm>

namespace briarfield::test
{

namespace
{

using namespace std::chrono_literals;

const std::string service = "datum";
constexpr std::uint16_t service_port = 80;
constexpr double heartbeat_s = 0.3;

/// Time until a caller repeats a request that has not run.
constexpr double retry_s = 0.01;

/// Time for heartbeats to arrive before callers come.
constexpr double startup_s = 3;

flow_packet packet_of(const flow_key& key, packet_kind kind, std::uint16_t size)
{
    flow_packet p;
    p.key = key;
    p.kind = kind;
    p.payload_size = size;
    return p;
}

} // namespace

load_model::load_model(const load_options& options)
    : options_(options), random_(options.seed)
{
    clock_.advance(1h);
    if (options_.kinds.empty())
        options_.kinds = {{options_.flows_per_s, options_.service_s,
                           options_.aim_s, 1e9, 0, options_.requests_per_flow}};
    outcomes_.resize(options_.kinds.size());
    route_set routes;
    routes.version = 1;
    for (std::size_t i = 0; i < options_.kinds.size(); ++i)
        routes.routes.push_back(route_of(i));
    routes_.apply(routes);
    for (std::size_t i = 0; i < options_.balancers; ++i)
        add_balancer();
    for (std::size_t i = 0; i < options_.servers; ++i)
        add_server();
    events_.run_until(clock_.now() +
                      bench::event_queue::to_duration(startup_s));
    for (std::size_t i = 0; i < options_.kinds.size(); ++i)
        schedule_arrival(i);
}

dispatch_route load_model::route_of(std::size_t kind) const
{
    const request_kind& k = options_.kinds[kind];
    dispatch_route route;
    route.address =
        host_endpoint(250, static_cast<std::uint16_t>(service_port + kind));
    route.shares = {{service, 1}};
    route.aim = bench::event_queue::to_duration(k.aim_s);
    route.priority = k.priority;
    return route;
}

void load_model::add_balancer()
{
    balancer b;
    b.relay =
        host_endpoint(static_cast<std::uint8_t>(1 + balancers_.size()), 9000);
    b.agents = std::make_unique<agent_directory>(clock_);
    b.dispatcher = std::make_unique<flow_dispatcher>(
        clock_, options_.dispatch, routes_, *b.agents, options_.place);
    balancers_.push_back(std::move(b));
}

void load_model::add_server()
{
    const std::size_t i = servers_.size();
    server s;
    s.relay = host_endpoint(static_cast<std::uint8_t>(100 + i), 9000);
    s.registration = std::make_unique<server_registration>(clock_, service, 1h);
    s.gate = std::make_unique<server_gate>(clock_, *s.registration);
    if (!options_.speeds.empty())
        s.speed = options_.speeds[i % options_.speeds.size()];
    s.work = std::make_unique<bench::server_model>(
        events_, options_.slots, options_.service_s / s.speed);
    server_heartbeat heartbeat;
    heartbeat.id = "i" + std::to_string(i);
    heartbeat.born_ms = 1;
    heartbeat.sequence = 1;
    heartbeat.service = service;
    heartbeat.slots = options_.slots;
    (void)s.registration->on_heartbeat(heartbeat);
    servers_.push_back(std::move(s));
    events_.after(random_.unit() * heartbeat_s,
                  [this, i] { send_heartbeat(i); });
}

void load_model::send_heartbeat(std::size_t i)
{
    server& s = servers_[i];
    agent_status status = s.gate->status();
    status.relay_address = s.relay;
    status.incarnation = 1;
    status.sequence = ++s.sequence;
    if (s.warm_at > clock_.now())
        status.warmup_ms =
            static_cast<std::uint32_t>((s.warm_at - clock_.now()) / 1ms);
    events_.after(options_.link_s,
                  [this, status]
                  {
                      for (balancer& b : balancers_)
                      {
                          b.agents->on_heartbeat(status);
                          b.dispatcher->on_route_times(status.route_times);
                          b.dispatcher->expire();
                      }
                  });
    events_.after(heartbeat_s, [this, i] { send_heartbeat(i); });
}

void load_model::run(double seconds)
{
    events_.run_until(clock_.now() + bench::event_queue::to_duration(seconds));
}

void load_model::schedule_arrival(std::size_t kind)
{
    const double rate = options_.kinds[kind].flows_per_s;
    events_.after(bench::exponential(random_, 1 / rate),
                  [this, kind]
                  {
                      add_callers(1, kind);
                      schedule_arrival(kind);
                  });
}

void load_model::add_callers(std::size_t count, std::size_t kind)
{
    for (std::size_t i = 0; i < count; ++i)
    {
        const auto c = std::make_shared<caller>();
        c->kind = kind;
        c->requests_left = options_.kinds[kind].requests_per_flow;
        ask(c);
    }
}

void load_model::set_work_factor(std::size_t i, double factor)
{
    servers_[i].work->set_service_time(options_.service_s * factor /
                                       servers_[i].speed);
}

void load_model::restart_servers(double seconds)
{
    for (std::size_t i = 0; i < servers_.size(); ++i)
    {
        servers_[i].warm_at =
            clock_.now() + bench::event_queue::to_duration(seconds);
        set_work_factor(i, 1.6);
        events_.after(seconds, [this, i] { set_work_factor(i, 1); });
    }
}

/// A new request: its time counts from here, whatever is tried.
void load_model::ask(const caller_ref& c)
{
    ++outcomes_[c->kind].asked;
    --c->requests_left;
    c->retries_left = options_.retries;
    c->asked = clock_.now();
    if (c->open)
        send_request(c);
    else
        open_flow(c);
}

void load_model::open_flow(const caller_ref& c)
{
    ++last_port_;
    c->key.source = host_endpoint(200, 0).address;
    c->key.source_port = static_cast<std::uint16_t>(last_port_);
    c->key.destination = host_endpoint(250, 0).address;
    c->key.destination_port =
        static_cast<std::uint16_t>(service_port + c->kind);
    c->via = random_.below(balancers_.size());
    to_balancer(c, packet_kind::opening, 0);
}

void load_model::send_request(const caller_ref& c)
{
    to_balancer(c, packet_kind::segment, 500);
}

void load_model::finish(const caller_ref& c)
{
    const double took =
        std::chrono::duration<double>(clock_.now() - c->asked).count();
    const request_kind& kind = options_.kinds[c->kind];
    load_outcome& outcome = outcomes_[c->kind];
    ++(took <= kind.aim_s       ? outcome.in_aim
       : took <= kind.timeout_s ? outcome.late
                                : outcome.expired);
    if (c->requests_left > 0)
        events_.after(bench::exponential(random_, options_.pause_s),
                      [this, c] { ask(c); });
}

/// The request has not run.
void load_model::retry(const caller_ref& c)
{
    c->open = false;
    if (c->retries_left == 0)
    {
        ++outcomes_[c->kind].rejected;
        return;
    }
    --c->retries_left;
    events_.after(retry_s, [this, c] { open_flow(c); });
}

void load_model::fail(const caller_ref& c)
{
    c->open = false;
    ++outcomes_[c->kind].failed;
}

void load_model::to_balancer(const caller_ref& c,
                             packet_kind kind,
                             std::uint16_t size)
{
    const flow_packet p = packet_of(c->key, kind, size);
    events_.after(
        options_.link_s, [this, c, p]
        { execute(c, p, balancers_[c->via].dispatcher->on_caller_packet(p)); });
}

void load_model::execute(const caller_ref& c,
                         const flow_packet& p,
                         const dispatch_verdict& v)
{
    if (v.decision == dispatch_verdict::action::reset)
        return events_.after(options_.link_s, [this, c] { retry(c); });
    if (v.decision != dispatch_verdict::action::forward)
        return;
    const std::size_t i =
        server_at(balancers_[c->via].agents->at(v.agent).status.relay_address);
    events_.after(options_.link_s,
                  [this, c, p, i, info = v.info] { to_agent(c, p, i, info); });
}

void load_model::to_agent(const caller_ref& c,
                          const flow_packet& p,
                          std::size_t i,
                          forward_info info)
{
    const gate_verdict g =
        servers_[i].gate->on_balancer_packet(p, info, balancers_[c->via].relay);
    if (g.decision == gate_verdict::action::deliver)
        return to_server(c, p, i);
    const auto give_back = [this, c, p, i, info = g.returned]
    {
        execute(c, p,
                balancers_[c->via].dispatcher->on_returned_packet(
                    p, servers_[i].relay, info));
    };
    events_.after(options_.link_s, give_back);
}

void load_model::to_server(const caller_ref& c,
                           const flow_packet& p,
                           std::size_t i)
{
    server& s = servers_[i];
    flow_packet reply = packet_of(p.key, packet_kind::segment, 0);
    if (p.kind == packet_kind::opening)
    {
        ++s.openings;
        reply.accepts = true;
        return answer(c, reply, i);
    }
    if (s.failing)
    {
        reply.kind = packet_kind::reset;
        return answer(c, reply, i);
    }
    serve(c, p, i);
}

void load_model::serve(const caller_ref& c, const flow_packet& p, std::size_t i)
{
    server& s = servers_[i];
    flow_packet reply = packet_of(p.key, packet_kind::segment, 500);
    if (s.work->queued() >= options_.queue_limit)
    {
        // The server says that the request has not run.
        (void)s.gate->on_server_packet(reply, 0);
        return events_.after(options_.link_s, [this, c] { retry(c); });
    }
    double size = (0.5 + random_.unit()) * options_.kinds[c->kind].service_s /
                  options_.service_s;
    if (options_.long_share > 0 && random_.unit() < options_.long_share)
        size *= 10;
    s.work->submit(size,
                   [this, c, reply, i]
                   {
                       ++servers_[i].answered;
                       answer(c, reply, i);
                   });
}

void load_model::answer(const caller_ref& c, flow_packet p, std::size_t i)
{
    const gate_verdict g = servers_[i].gate->on_server_packet(p, 0);
    if (g.notify_balancer)
        events_.after(options_.link_s,
                      [this, c, p, i] {
                          balancers_[c->via].dispatcher->on_flow_held(
                              p.key, servers_[i].relay);
                      });
    events_.after(options_.link_s,
                  [this, c, p]
                  {
                      if (p.kind == packet_kind::reset)
                          return fail(c);
                      if (!p.accepts)
                          return finish(c);
                      c->open = true;
                      send_request(c);
                  });
}

std::size_t load_model::server_at(const endpoint& relay) const
{
    std::size_t i = 0;
    while (servers_[i].relay != relay)
        ++i;
    return i;
}

std::size_t load_model::most_requests() const
{
    std::size_t most = 0;
    for (const server& s : servers_)
        most = std::max(most, s.work->queued() + s.work->running());
    return most;
}

std::size_t load_model::fewest_requests() const
{
    std::size_t fewest = most_requests();
    for (const server& s : servers_)
        fewest = std::min(fewest, s.work->queued() + s.work->running());
    return fewest;
}

} // namespace briarfield::test
