#ifndef BRIARFIELD_DISPATCH_ADMISSION_COSTS_HPP
#define BRIARFIELD_DISPATCH_ADMISSION_COSTS_HPP

#include "briarfield/dispatch/route_table.hpp"
#include "briarfield/dispatch/route_work.hpp"

namespace briarfield
{

/// \brief Work of a route's requests by the weight of its priority, compared
/// with the other routes.
///
/// Serving the cheapest first serves most requests, weighted by priority (the
/// rule of weighted shortest processing time; Smith 1956).
class admission_costs
{
public:
    /// \brief Ratio of the weights of two successive priorities.
    static constexpr double weight_ratio = 2;

    /// \brief The range of the costs is computed anew after this time.
    static constexpr duration refresh_interval = std::chrono::milliseconds(500);

    admission_costs(const clock& c,
                    const route_table& routes,
                    const route_work& work)
        : clock_(&c), routes_(&routes), work_(&work)
    {
    }

    /// \brief Cost of \a route at \a address: 0 for the cheapest route, 1 for
    /// the most expensive one.
    ///
    /// Routes whose work is unknown count as the mean of the others. The costs
    /// differ by less than 1 if the most expensive route costs less than twice
    /// as much as the cheapest one.
    double relative(const endpoint& address, const route_table::entry& route);

private:
    double cost(double work, unsigned level) const;
    void refresh();
    void add(double cost);

    const clock* clock_;
    const route_table* routes_;
    const route_work* work_;
    time_point refreshed_{};
    std::uint64_t version_ = 0; ///< Of the routes at the last refresh.
    double mean_work_ = 1;
    double lowest_ = 0;
    double highest_ = 0;
};

} // namespace briarfield

#endif
