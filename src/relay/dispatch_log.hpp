#ifndef BRIARFIELD_SRC_RELAY_DISPATCH_LOG_HPP
#define BRIARFIELD_SRC_RELAY_DISPATCH_LOG_HPP

#include "briarfield/dispatch/flow_dispatcher.hpp"

namespace briarfield
{

/// Logs what was decided for the packet \a p, with what it was decided by.
/// Steps of a search are not logged.
///
/// \param routes Routes in force.
/// \param agents Agents that the balancer tracks; it holds verdict.agent.
/// \param now Time of the decision.
void log_decision(const flow_packet& p,
                  const dispatch_verdict& verdict,
                  const route_table& routes,
                  const agent_directory& agents,
                  time_point now);

} // namespace briarfield

#endif
