#ifndef BRIARFIELD_DISPATCH_ROUTE_WORK_HPP
#define BRIARFIELD_DISPATCH_ROUTE_WORK_HPP

#include "briarfield/dispatch/agent_directory.hpp"

#include <unordered_map>
#include <vector>

namespace briarfield
{

/// \brief Mean time of a request by route, over the reports of all agents.
class route_work
{
public:
    /// \brief Weight of a report; evens out servers of unequal speed.
    static constexpr double weight = 1.0 / 16;

    /// \brief A route without a report for this long has no work.
    static constexpr duration lifetime = std::chrono::seconds(30);

    /// \brief Maximum number of routes.
    static constexpr std::size_t capacity = 4096;

    explicit route_work(const clock& c) : clock_(&c) {}

    /// \brief Records the times in a report of an agent.
    void record(const std::vector<route_time>& report);

    /// \brief Time of a request to \a destination, in units of \ref duration;
    /// 0: unknown.
    double of(const endpoint& destination) const;

    /// \brief Routes with a report within \ref lifetime.
    std::vector<endpoint> destinations() const;

private:
    struct entry
    {
        double mean = 0;
        time_point last{};
    };

    bool current(const entry& e) const
    {
        return clock_->now() - e.last < lifetime;
    }
    void remove_expired();

    const clock* clock_;
    std::unordered_map<endpoint, entry, endpoint_hash> entries_;
};

} // namespace briarfield

#endif
