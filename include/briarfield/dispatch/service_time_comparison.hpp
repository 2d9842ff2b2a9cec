#ifndef BRIARFIELD_DISPATCH_SERVICE_TIME_COMPARISON_HPP
#define BRIARFIELD_DISPATCH_SERVICE_TIME_COMPARISON_HPP

#include "briarfield/dispatch/agent_directory.hpp"

#include <vector>

namespace briarfield
{

/// \brief Measured service times of the servers of one service, relative to
/// their mean.
///
/// \ref relative is 1 for each server unless the times differ by more than they
/// do by chance. Servers that are warming up (their load is scaled already),
/// not yet measured, or idle for so long that the time may be outdated count as
/// the mean.
class service_time_comparison
{
public:
    /// \brief Ratio of the longest to the shortest time from which servers are
    /// unequal. Equal servers rarely differ by more by chance.
    static constexpr double unequal_ratio = 1.75;

    /// \brief Requests in progress per slot from which servers are compared.
    /// Below, times are measured too rarely and slots are free anyway.
    static constexpr double min_load = 0.1;

    /// \brief A server with a lower mean of requests in progress has been idle
    /// for about two seconds.
    static constexpr double idle_requests = 0.02;

    /// \brief Adds a server of the service.
    void add(const agent_directory::record& record);

    /// \brief Whether the times of the added servers differ clearly.
    bool unequal() const;

    /// \brief Service time of \a record as a multiple of the mean.
    double relative(const agent_directory::record& record) const;

private:
    static bool counts(const agent_directory::record& record);

    double sum_ = 0; ///< Of the times, in units of \ref duration.
    double count_ = 0;
    double shortest_ = 0;
    double longest_ = 0;
    double requests_ = 0;
    double slots_ = 0;
};

} // namespace briarfield

#endif
