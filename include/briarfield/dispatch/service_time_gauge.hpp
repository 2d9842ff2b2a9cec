#ifndef BRIARFIELD_DISPATCH_SERVICE_TIME_GAUGE_HPP
#define BRIARFIELD_DISPATCH_SERVICE_TIME_GAUGE_HPP

#include "briarfield/dispatch/capped_mean.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <vector>

namespace briarfield
{

/// \brief Exponentially weighted mean of the time that a server needs for a
/// request, without the time that the request waits for a slot.
///
/// The server is taken to start waiting requests in the order of their arrival.
/// So a request that waited starts when an earlier one has ended, and a server
/// whose slots are always in use is measured, too.
class service_time_gauge
{
public:
    /// \brief A request in progress; 0 is none.
    using request_id = std::uint64_t;

    /// \brief A request that is still running counts for at most this many
    /// means: enough that a server that has stopped answering is seen within
    /// seconds.
    static constexpr double max_running_means = 32;

    /// \brief After this long without a request, the mean may be outdated.
    static constexpr duration idle_limit = std::chrono::seconds(2);

    /// \brief Number of requests that an outdated mean counts for.
    static constexpr double outdated_count = 4;

    explicit service_time_gauge(const clock& c) : clock_(&c) {}

    /// \brief Records the start of a request at a server with \a slots.
    request_id begin(unsigned slots);

    /// \brief Records the end of \a request, which counts for the mean only if
    /// it was \a answered.
    ///
    /// \returns its time in a slot; 0 if it was not answered or still waited.
    duration end(request_id request, bool answered);

    /// \brief The mean; 0 before the first request. Requests that have been
    /// running for longer than the mean are included with their time so far.
    duration mean() const;

private:
    struct running_request
    {
        request_id id = 0;
        time_point start{};
    };

    void start_waiting();

    const clock* clock_;
    capped_mean mean_;
    unsigned slots_ = 1;
    request_id last_id_ = 0;
    time_point last_end_{};
    std::vector<running_request> running_;
    std::deque<request_id> waiting_;
};

} // namespace briarfield

#endif
