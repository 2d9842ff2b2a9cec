#ifndef BRIARFIELD_ROUTE_MAP_BUILDER_HPP
#define BRIARFIELD_ROUTE_MAP_BUILDER_HPP

#include "briarfield/route/bucket_map.hpp"

#include <cstdint>
#include <functional>
#include <limits>
#include <vector>

namespace briarfield
{

/// \brief A backend server as input of the builder.
struct build_target
{
    instance_id instance = 0;
    endpoint agent;
    double weight = 1.0; ///< Relative share of new flows; 0 when draining.
    bool dead = false;   ///< Dead or stopped: its flows are lost.
};

/// \brief Input of \ref build_bucket_map.
struct build_input
{
    service_id service = 0;
    map_version version;               ///< Version of the map to be built.
    std::uint32_t bucket_count = 256;  ///< First map only; a power of two.
    std::vector<build_target> targets; ///< The order is irrelevant.

    /// \brief Whether an earlier owner has reported the bucket as released.
    ///
    /// Empty: no owner has released any bucket.
    std::function<bool(std::uint32_t bucket, instance_id owner)> released;

    /// \brief Maximum number of buckets moved for a change of weights alone.
    std::uint32_t move_limit = std::numeric_limits<std::uint32_t>::max();
};

/// \brief Builds the map that follows \a previous; pure and deterministic.
///
/// Each target gets its exact share of the buckets by weight, rounded down or
/// up. Targets that already own more than the rounded-down share are rounded up
/// first, then those with the largest remainder (Hamilton's method), so that
/// few buckets move. A bucket with a full chain stays with its owner unless the
/// owner is dead. Earlier owners are removed from the chain when they are dead
/// or have released the bucket. Without a target of positive weight, live
/// owners are unchanged.
bucket_map build_bucket_map(const bucket_map& previous,
                            const build_input& input);

/// \brief Merges two maps of one service that were built concurrently.
///
/// Current owners and version, and thus the routing, are those of \a winner.
/// The chains also contain the owners of \a loser, since their agents may have
/// accepted flows by that map. Order: current owner of the winner, current
/// owner of the loser, earlier owners of the winner, earlier owners of the
/// loser. Owners that do not fit in a chain are omitted, oldest first. With
/// different bucket counts the result is \a winner.
bucket_map merge_bucket_maps(const bucket_map& winner, const bucket_map& loser);

/// \brief Number of buckets whose current owner differs between two maps.
std::uint32_t count_moved(const bucket_map& before, const bucket_map& after);

} // namespace briarfield

#endif
