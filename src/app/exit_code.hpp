#ifndef BRIARFIELD_SRC_APP_EXIT_CODE_HPP
#define BRIARFIELD_SRC_APP_EXIT_CODE_HPP

namespace briarfield::app
{

/// Exit codes of every subcommand; documented in docs/operations/deploy.md.
enum exit_code : int
{
    exit_ok = 0,
    exit_failed = 1,       ///< The operation was rejected or failed.
    exit_usage = 2,        ///< The command line or the settings are wrong.
    exit_start_failed = 3, ///< A service of the daemon did not start.
    exit_drain_cut = 4     ///< The drain ended with flows still open.
};

} // namespace briarfield::app

#endif
