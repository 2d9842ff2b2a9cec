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

/// \brief What the membership holds of a balancer; later ones overrule.
enum class member_state : std::uint8_t
{
    alive,
    suspect, ///< Silent towards an observer; may still refute.
    dead,    ///< Silent towards two observers, and did not refute.
    left,    ///< Said itself that it stops.
    count_
};

/// \brief Name of \a state in metrics and logs.
std::string_view member_state_name(member_state state) noexcept;

/// \brief A balancer as others know it.
struct balancer_record
{
    std::string instance;
    std::string zone;
    std::string region;
    endpoint control;              ///< Control datagrams reach it there.
    std::uint64_t incarnation = 0; ///< Grows with each start and refutation.
    member_state state = member_state::alive;
    std::vector<instance_id> suspected_by; ///< Sorted; if suspect.

    instance_id id() const { return make_instance_id(instance); }
};

/// \brief What happened in the membership; one counter each.
enum class membership_event : std::uint8_t
{
    joined,
    suspected,
    refuted,
    died,
    left,
    duplicate_refused, ///< A live instance's name from another endpoint.
    stale_dropped,     ///< A replayed or overtaken sign of life.
    count_
};

/// \brief Label of \a event in metrics.
std::string_view membership_event_name(membership_event event) noexcept;

/// \brief The balancers that are alive, agreed by spreading records.
///
/// Free of I/O. Each balancer sends signs of life to a few observers, chosen
/// by rendezvous hash; an observer that hears nothing suspects it, and the
/// suspicion spreads. The suspected refutes by a higher incarnation. It is
/// dead after \ref options::suspicion, and only once a second observer
/// suspects it too, where there is one. Times are of the local clock alone;
/// incarnations need not come from clocks that agree.
///
/// \sa sync_section, map_authority
class membership final : public sync_section
{
public:
    static constexpr std::size_t observer_count = 3;

    struct options
    {
        duration silence = std::chrono::milliseconds(1500);   ///< To suspect.
        duration suspicion = std::chrono::milliseconds(1000); ///< To dead.
        duration forget = std::chrono::minutes(10); ///< Dead records go.
    };

    membership(const balancer_record& local_record,
               const clock& c,
               options opts);
    membership(const balancer_record& local_record, const clock& c)
        : membership(local_record, c, options())
    {
    }

    const balancer_record& local_record() const { return self_; }

    /// \brief Takes a sign of life received from the balancer itself.
    ///
    /// \a sequence grows with each message of an incarnation; a replayed one
    /// proves nothing. Returns whether the sender is taken as a member.
    bool on_heartbeat(const balancer_record& sender, std::uint64_t sequence);

    /// \brief Suspects the silent, buries the suspected; call it often.
    void sweep();

    /// \brief Tells that this balancer stops.
    void leave();

    /// \brief The \a count live balancers that rank first for \a key.
    ///
    /// Rendezvous hashing (Thaler and Ravishankar 1998). The own record takes
    /// part unless \a others_only.
    std::vector<balancer_record> ranked(std::uint64_t key,
                                        std::size_t count,
                                        bool others_only = false) const;

    /// \brief Whether this balancer ranks first for \a key.
    bool ranks_first(std::uint64_t key) const;

    /// \brief Whether this balancer is among the \a count that rank first.
    bool among_first(std::uint64_t key, std::size_t count) const;

    /// \brief Balancers that watch this one.
    std::vector<balancer_record> observers() const;

    /// \brief Live balancers but this one, in the order of their ids.
    ///
    /// The pointers are valid until the membership changes.
    std::vector<const balancer_record*> live_others() const;

    /// \brief Live balancers with this one.
    std::size_t live_count() const;

    const balancer_record* find(instance_id id) const;

    const counter_set<membership_event>& counters() const { return counters_; }

    /// \brief Called after each change of the set of live balancers.
    std::function<void()> on_change;

    /// \brief Called when this balancer suspects another: greet it, so that it
    /// hears of the suspicion and can refute.
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
        time_point heard;     ///< By a message from itself, or when learnt.
        time_point suspected; ///< When the suspicion was learnt here.
        time_point ended;     ///< When it was found dead or left.
        std::uint64_t sequence = 0;
    };

    std::vector<std::pair<std::uint64_t, std::uint64_t>> items() const;

    static bool live(const balancer_record& r)
    {
        return r.state == member_state::alive ||
               r.state == member_state::suspect;
    }
    bool merge_record(const balancer_record& r);
    bool merge_self(const balancer_record& r);
    void take(entry& e, const balancer_record& r);
    void suspect(entry& e);
    bool observes(const entry& e) const;
    std::size_t confirmations_needed() const;
    void forgive_stall(time_point now);
    void bury(entry& e, member_state state);
    void changed();

    balancer_record self_;
    const clock* clock_;
    options options_;
    std::map<instance_id, entry> others_;
    counter_set<membership_event> counters_;
    time_point swept_;
    bool dirty_ = false;
    mutable std::string digest_; ///< Empty: to be made anew.
};

/// \brief Weight of \a candidate for \a key in rendezvous hashing.
std::uint64_t rendezvous_weight(std::uint64_t key, instance_id candidate);

} // namespace briarfield

#endif
