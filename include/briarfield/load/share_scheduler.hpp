#ifndef BRIARFIELD_LOAD_SHARE_SCHEDULER_HPP
#define BRIARFIELD_LOAD_SHARE_SCHEDULER_HPP

#include "briarfield/core/clock.hpp"
#include "briarfield/load/share_allocation.hpp"
#include "briarfield/route/bucket_map.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace briarfield
{

/// \brief A service that shares a budget with others.
struct share_class
{
    service_id service = 0;
    std::uint64_t team = 0;
    unsigned urgency_rank = 0; ///< Higher is more urgent.
    double share = 1;
};

/// \brief Admits new flows of many services within one total rate.
///
/// Each service has a token bucket. Once per interval the rate is split by
/// \ref allocate_shares according to the recent demand of the services. A
/// service below its floor keeps a reserve of tokens, so that its share is
/// available immediately even while the rate is lent to others. Admission is a
/// look-up and a subtraction.
class rate_scheduler
{
public:
    /// \brief Settings of the scheduler.
    struct options
    {
        double rate = 1000; ///< New flows per second.
        duration interval = std::chrono::milliseconds(50);
        duration reserve = std::chrono::milliseconds(250);
        ///< The reserve of a service is its floor times this duration.
    };

    rate_scheduler(options opts, const clock& c);

    /// \brief Replaces the services; services that remain keep their tokens.
    void set_classes(const std::vector<share_class>& classes);

    /// \brief Sets the rate from the next interval on.
    void set_rate(double rate) { options_.rate = rate; }

    double rate() const { return options_.rate; }

    /// \brief Returns true and takes a token if a new flow of \a service is
    /// admitted.
    ///
    /// Flows of a service that is not among the classes are rejected.
    bool admit(service_id service);

    /// \brief Whether \a service is among the classes.
    bool contains(service_id service) const
    {
        return index_.count(service) != 0;
    }

    /// \brief Splits the rate again; to be called about once per interval.
    void step();

    /// \brief Current grant of \a service, flows per second.
    double grant(service_id service) const;

private:
    struct state
    {
        share_claim claim;
        double tokens = 0;
        double requested = 0; ///< Flows requested since the last step.
        double demand = 0;    ///< Recent demand, flows per second.
        double grant = 0;     ///< Flows per second.
        service_id service = 0;
    };

    void distribute_tokens(double seconds);

    options options_;
    const clock* clock_;
    time_point last_step_;
    std::vector<state> states_;
    std::unordered_map<service_id, std::size_t> index_;
    double ungranted_tokens_ = 0; ///< Left over by all grants of a step.
};

/// \brief Admits units of work of services that share a server.
///
/// A unit of a service below its floor is always admitted, so that capacity
/// lent to others is available again immediately. The total may then exceed the
/// limit by the lent amount for the duration of one unit. Above its floor a
/// service borrows unused capacity, and immediately reclaims the amount that
/// less urgent services of its team have borrowed.
class work_scheduler
{
public:
    explicit work_scheduler(double limit) : work_scheduler(limit, limit) {}

    /// \brief Lends capacity only up to a total of \a lending_limit units in
    /// progress, which is at most \a limit.
    ///
    /// The difference is reserved for bursts of services within their shares.
    work_scheduler(double limit, double lending_limit)
        : limit_(limit), lending_limit_(lending_limit)
    {
    }

    /// \brief Replaces the services; services that remain keep their counts.
    void set_classes(const std::vector<share_class>& classes);

    /// \brief Sets the limits of the units in progress; see the constructor.
    void set_limit(double limit, double lending_limit)
    {
        limit_ = limit;
        lending_limit_ = lending_limit;
    }

    /// \brief Returns true and counts a unit of \a service if it may start.
    bool admit(service_id service);

    /// \brief Removes a finished unit of \a service from the count.
    void release(service_id service);

    /// \brief Splits the limit again; to be called a few times per second.
    void step();

    /// \brief Units in progress over all services.
    double in_use() const { return in_use_; }

private:
    /// Number of distinct urgency ranks.
    static constexpr unsigned rank_count = 8;

    /// For each rank, units borrowed by less urgent services of a team.
    using borrowed_by_rank = std::array<double, rank_count>;

    struct state
    {
        share_claim claim;
        borrowed_by_rank* team = nullptr;
        double floor = 0;
        double in_use = 0;
        double mean = 0;     ///< Exponential average of in_use.
        double peak = 0;     ///< Maximum of in_use since the last step.
        double rejected = 0; ///< Units rejected since the last step.
        double grant = 0;
        service_id service = 0;
    };

    state* find(service_id service);
    void add_units(state& s, double units);

    double limit_;
    double lending_limit_;
    double in_use_ = 0;
    std::unordered_map<std::uint64_t, borrowed_by_rank> borrowed_;
    std::vector<state> states_;
    std::unordered_map<service_id, std::size_t> index_;
};

} // namespace briarfield

#endif
