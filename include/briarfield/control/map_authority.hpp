#ifndef BRIARFIELD_CONTROL_MAP_AUTHORITY_HPP
#define BRIARFIELD_CONTROL_MAP_AUTHORITY_HPP

#include "briarfield/control/sync_section.hpp"
#include "briarfield/core/clock.hpp"
#include "briarfield/core/counter_set.hpp"
#include "briarfield/route/map_builder.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string_view>
#include <vector>

namespace briarfield
{

/// \brief Set of map versions that a bucket map supersedes, itself included.
///
/// Stored as runs of consecutive counters of one author, so that its size
/// grows only when the author changes.
class map_lineage
{
public:
    struct run
    {
        std::uint32_t author = 0;
        std::uint64_t first = 0; ///< First counter, inclusive.
        std::uint64_t last = 0;  ///< Last counter, inclusive.
    };

    static constexpr std::size_t max_runs = 16;

    /// \brief Adds \a version.
    ///
    /// Removes the oldest run if there would be more than \ref max_runs.
    void add(map_version version);

    /// \brief Adds all versions of \a other.
    void add(const map_lineage& other);

    /// \brief Whether \a version is in the set.
    ///
    /// Once \ref max_runs runs are stored, any version older than the oldest
    /// one counts as covered.
    bool covers(map_version version) const;

    const std::vector<run>& runs() const { return runs_; }

    /// \brief Inserts the run \a r, for example from a received message.
    void append(const run& r);

private:
    std::vector<run> runs_;  ///< Sorted by first counter.
    bool truncated_ = false; ///< Whether runs have been removed.
};

/// \brief Events in the life cycle of maps; each has a counter.
enum class map_event : std::uint8_t
{
    built,     ///< This balancer built a new version.
    unchanged, ///< The inputs changed, but the map built from them is the same.
    adopted,   ///< A version received from a peer was installed.
    outdated,  ///< A received version is already covered by the local map.
    conflict,  ///< Two versions were built concurrently.
    merged,    ///< Concurrent versions were merged here.
    deferred,  ///< A build was postponed because its inputs are incomplete.
    count_
};

/// \brief Label of \a event in metrics.
std::string_view map_event_name(map_event event) noexcept;

/// \brief How soon a change of the inputs must lead to a new map.
enum class map_urgency : std::uint8_t
{
    urgent,  ///< A target is dead, draining or stopped.
    normal,  ///< A target joined, or a weight changed considerably.
    relaxed, ///< An earlier owner released buckets.
    count_
};

/// \brief Current inputs of a map build.
struct map_input
{
    bool complete = false; ///< If false, the build is retried later.
    std::vector<build_target> targets;
    /// Whether \a owner, an earlier owner of \a bucket, has no flow left in it.
    std::function<bool(std::uint32_t bucket, instance_id owner)> released;
};

/// \brief Maintains the bucket map of each service, normally with one author.
///
/// Does no I/O. The author of a service builds the next version when the
/// inputs change; the other balancers receive it from their peers through this
/// \ref sync_section. If two balancers are authors at the same time, they
/// build concurrent versions. Every balancer that receives both merges them;
/// the merge is deterministic, so all of them get the same map and version. In
/// the merged map the owners of the smaller version are earlier owners.
///
/// \sa membership, build_bucket_map()
class map_authority final : public sync_section
{
public:
    struct options
    {
        /// Delays from the first change of the inputs to the build, by urgency.
        duration urgent_delay = std::chrono::milliseconds(20);
        duration normal_delay = std::chrono::milliseconds(200);
        duration relaxed_delay = std::chrono::seconds(1);
    };

    map_authority(instance_id balancer,
                  std::uint64_t incarnation,
                  const clock& c,
                  options opts);
    map_authority(instance_id balancer,
                  std::uint64_t incarnation,
                  const clock& c)
        : map_authority(balancer, incarnation, c, options())
    {
    }

    /// \brief Sets the configured services and their bucket counts.
    void set_services(const std::map<service_id, std::uint32_t>& services);

    /// \brief Sets whether the local maps are up to date with the peers.
    ///
    /// No map is built before that, since peers may have newer versions.
    void set_synchronized(bool synchronized) { synchronized_ = synchronized; }
    bool synchronized() const { return synchronized_; }

    /// \brief Schedules a build of \a service after its inputs have changed.
    void input_changed(service_id service, map_urgency urgency);

    /// \brief Schedules a build of all services; call it when the membership,
    /// and so possibly the author of a service, has changed.
    void authors_changed();

    /// \brief Builds the maps whose delay has passed; call it often.
    void poll();

    /// \brief Current map of \a service, or null.
    std::shared_ptr<const bucket_map> map(service_id service) const;

    /// \brief Number of services that have a map.
    std::size_t size() const { return maps_.size(); }

    const counter_set<map_event>& counters() const { return counters_; }

    /// \brief Returns whether this balancer is now the author of a service.
    std::function<bool(service_id)> is_author;

    /// \brief Returns the inputs of a service, given its current map or null.
    std::function<map_input(service_id, const bucket_map*)> input;

    /// \brief Called after the map of a service was replaced.
    std::function<void(service_id)> on_map;

    /// \brief Called with a map that was merged from concurrent versions.
    ///
    /// It may have targets that are alive although they are marked as dead
    /// here.
    std::function<void(const bucket_map&)> on_merged;

    std::string_view name() const override { return "maps"; }
    std::string digest() const override;
    std::string detail(std::string_view peer_digest,
                       std::size_t limit) const override;
    std::string delta(std::string_view peer_digest,
                      std::size_t limit) const override;
    result<void> merge(std::string_view delta) override;

    /// \brief A map and the versions it supersedes.
    struct versioned_map
    {
        std::shared_ptr<const bucket_map> map;
        map_lineage lineage;
    };

private:
    void build(service_id service);
    /// Installs \a received, merges it with a concurrent local version, or
    /// ignores it if the local map covers it.
    void apply(const versioned_map& received);
    void install(const versioned_map& m);
    static versioned_map merge_maps(const versioned_map& a,
                                    const versioned_map& b);

    instance_id author_;
    const clock* clock_;
    options options_;
    std::map<service_id, versioned_map> maps_;
    mutable std::string digest_; ///< Cached; empty if out of date.
    std::map<service_id, std::uint32_t> bucket_counts_;
    std::set<service_id> removed_;                 ///< No longer configured.
    std::map<service_id, time_point> build_times_; ///< Scheduled builds.
    counter_set<map_event> counters_;
    bool synchronized_ = false;
};

} // namespace briarfield

#endif
