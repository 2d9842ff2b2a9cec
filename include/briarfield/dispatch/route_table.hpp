#ifndef BRIARFIELD_DISPATCH_ROUTE_TABLE_HPP
#define BRIARFIELD_DISPATCH_ROUTE_TABLE_HPP

#include "briarfield/core/clock.hpp"
#include "briarfield/core/endpoint.hpp"
#include "briarfield/core/error.hpp"
#include "briarfield/dispatch/flow_packet.hpp"
#include "briarfield/dispatch/priority_class.hpp"
#include "briarfield/dispatch/warmup_limiter.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace briarfield
{

/// \brief A service that gets a share of a route's new flows.
struct service_share
{
    std::string service;
    std::uint32_t weight = 1; ///< Relative to the other shares; 0: none.
};

/// \brief Services to which new flows to an address go.
struct dispatch_route
{
    endpoint address; ///< Address and port that callers use.
    std::vector<service_share> shares;
    /// Time within which callers want an answer; 0: not given.
    duration aim{};
    std::uint8_t priority = lowest_priority; ///< 0 is the highest.
};

/// \brief All routes of one version of the configuration.
struct route_set
{
    std::uint64_t version = 0;
    std::vector<dispatch_route> routes;
    /// Of the services that have one.
    std::vector<warmup_limit> warmup_limits;
};

/// \brief State of an address under the routes in force.
enum class route_status : std::uint8_t
{
    in_force,
    unknown, ///< In none of the versions that were in force here.
    removed  ///< In an earlier version only.
};

/// \brief The routes in force; an older version never replaces a newer one.
class route_table
{
public:
    /// \brief A share of a route, ready for the data path.
    struct target
    {
        service_tag service = 0;
        std::uint32_t weight = 0;
    };

    /// \brief Targets of a route.
    struct entry
    {
        std::vector<target> targets;
        std::uint64_t total_weight = 0;
        duration aim{}; ///< See dispatch_route::aim.
        std::uint8_t priority = lowest_priority;
        /// Number of lower priorities among the routes in force.
        unsigned priority_level = 0;

        /// \brief Target for a flow with hash \a hash; the same for each
        /// retransmission of its opening. \returns null if no weight is
        /// positive.
        const target* pick(std::uint64_t hash) const;

        /// \brief Whether new flows may go to \a service.
        bool allows(service_tag service) const;
    };

    /// \brief Puts \a routes in force unless they are not newer than the
    /// current ones.
    ///
    /// \returns whether they are in force now.
    bool apply(const route_set& routes);

    /// \brief Version in force; 0 before the first.
    std::uint64_t version() const { return version_; }

    std::size_t size() const { return entries_.size(); }

    /// \brief Number of different priorities of the routes in force.
    unsigned priority_levels() const { return priority_levels_; }

    /// \brief Entry of \a address, or null.
    const entry* find(const endpoint& address) const;

    route_status status(const endpoint& address) const;

    /// \brief Limit of \a service; with 0 openings a second, which stands for
    /// no limit, if the configuration has none.
    warmup_limit limit_of(const std::string& service) const;

private:
    std::uint64_t version_ = 0;
    unsigned priority_levels_ = 0;
    std::unordered_map<endpoint, entry, endpoint_hash> entries_;
    std::unordered_set<endpoint, endpoint_hash> removed_;
    std::vector<warmup_limit> warmup_limits_;
};

} // namespace briarfield

#endif
