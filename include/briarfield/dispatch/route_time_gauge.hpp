#ifndef BRIARFIELD_DISPATCH_ROUTE_TIME_GAUGE_HPP
#define BRIARFIELD_DISPATCH_ROUTE_TIME_GAUGE_HPP

#include "briarfield/dispatch/agent_directory.hpp"
#include "briarfield/dispatch/capped_mean.hpp"

#include <vector>

namespace briarfield
{

/// \brief Mean times of a server's requests by the address that callers used.
class route_time_gauge
{
public:
    /// \brief Maximum number of addresses; the one whose last request is the
    /// oldest is replaced.
    static constexpr std::size_t capacity = 8;

    /// \brief Interval between two reports. Work per request changes slowly,
    /// and the balancers average the reports of all agents.
    static constexpr duration report_interval = std::chrono::seconds(2);

    explicit route_time_gauge(const clock& c) : clock_(&c) {}

    /// \brief Records a request to \a destination.
    void record(const endpoint& destination, duration time);

    /// \brief The means, if there are several addresses and the last report is
    /// \ref report_interval old; otherwise none.
    std::vector<route_time> report();

private:
    struct entry
    {
        endpoint destination;
        capped_mean mean;
        time_point last{};
    };

    entry& entry_of(const endpoint& destination);

    const clock* clock_;
    std::vector<entry> entries_;
    time_point last_report_{};
};

} // namespace briarfield

#endif
