#ifndef BRIARFIELD_CONTROL_MEMBERSHIP_HPP
#define BRIARFIELD_CONTROL_MEMBERSHIP_HPP

#include "briarfield/control/sync_section.hpp"
#include "briarfield/core/clock.hpp"
#include "briarfield/core/counter_set.hpp"
#include "briarfield/core/endpoint.hpp"
#include "briarfield/route/bucket_map.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace briarfield
{

/// \brief State of a balancer in the membership.
///
/// Within an incarnation a later enumerator supersedes an earlier one.
enum class member_state : std::uint8_t
{
    alive,
    suspect, ///< Timed out at an observer; can still refute.
    dead,    ///< Timed out at two observers and did not refute.
    left,    ///< Announced its own shutdown.
    count_
};

/// \brief Name of \a state in metrics and logs.
std::string_view member_state_name(member_state state) noexcept;

/// \brief Record of a balancer, exchanged between balancers.
struct balancer_record
{
    std::string instance;
    std::string zone;
    std::string region;
    endpoint control; ///< Address for control datagrams.
    /// Increases with each start and refutation.
    std::uint64_t incarnation = 0;
    member_state state = member_state::alive;
    std::vector<instance_id> suspected_by; ///< Sorted; used only if suspect.

    instance_id id() const { return make_instance_id(instance); }
};

/// \brief Membership events; each has a counter.
enum class membership_event : std::uint8_t
{
    joined,
    suspected,
    refuted,
    died,
    left,
    duplicate_refused, ///< Another endpoint uses the name of a live instance.
    stale_dropped,     ///< A replayed or reordered heartbeat.
    count_
};

/// \brief Label of \a event in metrics.
std::string_view membership_event_name(membership_event event) noexcept;

/// \brief Set of live balancers, kept consistent by gossiping records.
///
/// Does no I/O. Each balancer sends heartbeats to a few observers, chosen by
/// rendezvous hash. An observer that receives none within
/// \ref options::heartbeat_timeout suspects the balancer, and the suspicion
/// spreads in the balancer's record. A suspected balancer refutes by increasing
/// its incarnation. It is marked dead after \ref options::suspicion_timeout,
/// and only once a second observer suspects it too, if there is one. All times
/// are local, and incarnations do not need synchronized clocks.
///
/// \sa sync_section, map_authority
class membership final : public sync_section
{
public:
    static constexpr std::size_t observer_count = 3;

    struct options
    {
        /// Time without a heartbeat after which an observer suspects a
        /// balancer.
        duration heartbeat_timeout = std::chrono::milliseconds(1500);
        /// Minimum time from the suspicion until the balancer is marked dead.
        duration suspicion_timeout = std::chrono::milliseconds(1000);
        /// How long the records of dead and left balancers are kept.
        duration dead_record_retention = std::chrono::minutes(10);
    };

    membership(const balancer_record& local_record,
               const clock& c,
               options opts);
    membership(const balancer_record& local_record, const clock& c)
        : membership(local_record, c, options())
    {
    }

    const balancer_record& local_record() const { return local_record_; }

    /// \brief Processes a heartbeat received from \a sender itself.
    ///
    /// \a sequence increases with each message of an incarnation; a replayed
    /// message does not count as a heartbeat. Returns whether the heartbeat was
    /// accepted and the sender is a live member.
    bool on_heartbeat(const balancer_record& sender, std::uint64_t sequence);

    /// \brief Suspects balancers that have timed out, marks suspects as dead
    /// and removes expired records; call it often.
    void sweep();

    /// \brief Marks the local record as left, before this balancer stops.
    void leave();

    /// \brief The \a count live balancers that rank first for \a key.
    ///
    /// Uses rendezvous hashing (Thaler and Ravishankar 1998). The local record
    /// is included unless \a others_only is set.
    std::vector<balancer_record> ranked(std::uint64_t key,
                                        std::size_t count,
                                        bool others_only = false) const;

    /// \brief Whether this balancer ranks first for \a key.
    bool ranks_first(std::uint64_t key) const;

    /// \brief Whether this balancer is among the \a count that rank first.
    bool among_first(std::uint64_t key, std::size_t count) const;

    /// \brief Balancers that observe this one.
    std::vector<balancer_record> observers() const;

    /// \brief Live balancers other than this one, ordered by id.
    ///
    /// The pointers are valid until the membership changes.
    std::vector<const balancer_record*> live_others() const;

    /// \brief Number of live balancers, including this one.
    std::size_t live_count() const;

    /// \brief Record of balancer \a id, or null if there is none.
    const balancer_record* find(instance_id id) const;

    const counter_set<membership_event>& counters() const { return counters_; }

    /// \brief Called after each change of the set of live balancers.
    std::function<void()> on_change;

    /// \brief Called when this balancer suspects another.
    ///
    /// The callback should send a hello message to it, so that it is notified
    /// of the suspicion and can refute it.
    std::function<void(const balancer_record&)> on_suspect;

    std::string_view name() const override { return "membership"; }
    std::string digest() const override;
    std::string detail(std::string_view peer_digest,
                       std::size_t limit) const override;
    std::string delta(std::string_view peer_digest,
                      std::size_t limit) const override;
    result<void> merge(std::string_view delta) override;

private:
    struct entry
    {
        balancer_record record;
        /// Last message from the balancer itself, or first receipt of the
        /// current incarnation's record from a peer.
        time_point last_heartbeat;
        time_point suspected_at;   ///< When the suspicion was recorded here.
        time_point deactivated_at; ///< When it was marked dead or left.
        std::uint64_t sequence = 0;
    };

    /// Ids and state hashes of all records, the local one included.
    std::vector<std::pair<std::uint64_t, std::uint64_t>> items() const;

    static bool live(const balancer_record& record)
    {
        return record.state == member_state::alive ||
               record.state == member_state::suspect;
    }
    bool merge_record(const balancer_record& record);
    bool merge_local_record(const balancer_record& record);
    void apply_record(entry& member, const balancer_record& record);
    void suspect(entry& member);
    bool observes(const entry& member) const;
    std::size_t confirmations_needed() const;
    void compensate_for_stall(time_point now);
    void deactivate(entry& member, member_state state);
    void notify_if_changed();

    balancer_record local_record_;
    const clock* clock_;
    options options_;
    std::map<instance_id, entry> others_;
    counter_set<membership_event> counters_;
    time_point last_sweep_;
    bool live_set_changed_ = false;
    mutable std::string digest_; ///< Cached; empty if out of date.
};

/// \brief Weight of \a candidate for \a key in rendezvous hashing.
std::uint64_t rendezvous_weight(std::uint64_t key, instance_id candidate);

} // namespace briarfield

#endif
