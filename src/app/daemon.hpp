#ifndef BRIARFIELD_SRC_APP_DAEMON_HPP
#define BRIARFIELD_SRC_APP_DAEMON_HPP

#include "settings.hpp"

namespace briarfield::app
{

/// Runs a balancer until a signal stops it; returns the exit code.
int run_balancer(settings s);

/// Runs an agent until a signal stops it; returns the exit code.
int run_agent(settings s);

} // namespace briarfield::app

#endif
