#include "dispatch_log.hpp"

#include "message_frame.hpp"

#include <spdlog/spdlog.h>

namespace briarfield
{

namespace
{

void log_overload_rejection(const flow_packet& p,
                            const admission_request& request,
                            const route_table& routes,
                            const agent_directory& agents)
{
    const route_table::entry* route =
        routes.find({p.key.destination, p.key.destination_port});
    spdlog::info("event={} flow={} packet={} copy={} routes={} agents={} "
                 "priority={} cost={:.2f} expected_ms={} aim_ms={}",
                 dispatch_event_name(dispatch_event::refused_overloaded),
                 flow_name(p.key), packet_kind_name(p.kind),
                 p.retransmission_count, routes.version(), agents.size(),
                 route == nullptr ? lowest_priority : route->priority,
                 request.cost, whole_ms(request.expected),
                 whole_ms(request.aim));
}

void log_without_agent(const flow_packet& p,
                       const dispatch_verdict& verdict,
                       const route_table& routes,
                       const agent_directory& agents)
{
    spdlog::info("event={} flow={} packet={} copy={} routes={} agents={} "
                 "asked={} doubt={}",
                 dispatch_event_name(verdict.event), flow_name(p.key),
                 packet_kind_name(p.kind), p.retransmission_count,
                 routes.version(), agents.size(), verdict.queried,
                 search_uncertainty_name(verdict.uncertainty));
}

void log_with_agent(const flow_packet& p,
                    const dispatch_verdict& verdict,
                    const route_table& routes,
                    const agent_directory::record& agent,
                    time_point now)
{
    spdlog::info("event={} flow={} agent={} copy={} load={:.2f} flows={} "
                 "heartbeat_age_ms={} routes={}",
                 dispatch_event_name(verdict.event), flow_name(p.key),
                 agent.status.relay_address.to_string(), p.retransmission_count,
                 expected_load(agent), agent.status.flows + agent.placed,
                 whole_ms(now - agent.last_heartbeat), routes.version());
}

bool is_step_of_search(dispatch_event event)
{
    return event == dispatch_event::searched ||
           event == dispatch_event::queried;
}

} // namespace

void log_decision(const flow_packet& p,
                  const dispatch_verdict& verdict,
                  const route_table& routes,
                  const agent_directory& agents,
                  time_point now)
{
    if (is_step_of_search(verdict.event))
        return;
    if (verdict.event == dispatch_event::refused_overloaded)
        return log_overload_rejection(p, verdict.rejected, routes, agents);
    if (verdict.agent == no_agent)
        return log_without_agent(p, verdict, routes, agents);
    log_with_agent(p, verdict, routes, agents.at(verdict.agent), now);
}

} // namespace briarfield
