#ifndef BRIARFIELD_RELAY_MEMBERSHIP_TRACKER_HPP
#define BRIARFIELD_RELAY_MEMBERSHIP_TRACKER_HPP

#include "briarfield/control/retry_policy.hpp"
#include "briarfield/core/clock.hpp"
#include "briarfield/core/counter_set.hpp"
#include "briarfield/core/error.hpp"
#include "briarfield/core/pause_detector.hpp"
#include "briarfield/relay/membership_view.hpp"

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace briarfield
{

/// \brief Outcome of a step by which a balancer tracks other processes; each
/// has a counter.
enum class membership_event : std::uint8_t
{
    list_read,
    list_failed,
    hello_sent,
    given_up, ///< A recorded or reported process has not responded.
    record_removed,
    removal_failed,
    count_
};

/// \brief Label of \a event in metrics.
std::string_view membership_event_name(membership_event event) noexcept;

/// \brief Reads the records of agents and balancers, sends hellos to those that
/// the balancer has not heard, and removes records without an owner, as
/// \ref membership_view decides.
///
/// Calls per balancer, each list being one per page of the store: two lists at
/// the start, two stale ones 3 s later and two every 12 to 15 s; one write per
/// record removed.
class membership_tracker
{
public:
    /// \brief Calls to the store; each calls its handler once.
    struct calls
    {
        using list_handler = std::function<void(result<record_list>)>;
        using removal_handler = std::function<void(result<void>)>;

        /// Lists all records of a kind; \a stale_allowed: an older state may be
        /// returned.
        std::function<void(member_kind, bool stale_allowed, list_handler)> list;
        /// Removes a record unless its revision has changed.
        std::function<void(
            member_kind, const membership_record&, removal_handler)>
            remove;
    };

    /// \brief Delays and limits of a tracker.
    struct options
    {
        /// Interval of reads, with a jitter of up to a fifth.
        duration read_interval = std::chrono::seconds(15);
        /// Delay of the second read: processes write their records within 2 s
        /// of their start.
        duration second_read = std::chrono::seconds(3);
        backoff_options retry{std::chrono::milliseconds(200),
                              std::chrono::seconds(5)};
        /// Interval at which hellos are sent and pauses are detected.
        duration check_interval = std::chrono::milliseconds(100);
        /// Hellos sent at a time; each is answered by a datagram.
        std::size_t max_hellos = 256;
        /// Records removed after a read, so that the loss of many processes
        /// does not use up the writes of the store.
        std::size_t max_removals = 64;
        /// A process that has done nothing for longer than this was paused.
        duration pause_limit = std::chrono::seconds(1);
        membership_view::options view;
    };

    /// \param own Relay address of this balancer.
    membership_tracker(timer_queue& timers,
                       random_source& random,
                       calls store,
                       const endpoint& own,
                       const options& opts);
    membership_tracker(timer_queue& timers,
                       random_source& random,
                       calls store,
                       const endpoint& own)
        : membership_tracker(timers, random, std::move(store), own, options())
    {
    }
    ~membership_tracker();
    membership_tracker(const membership_tracker&) = delete;
    membership_tracker& operator=(const membership_tracker&) = delete;

    /// \brief Reads both kinds; the hooks must have been set.
    void start();

    membership_view& view() { return view_; }
    const counter_set<membership_event>& counters() const { return counters_; }

    /// \brief Sends a hello to each of \a to.
    std::function<void(const std::vector<membership_view::recipient>& to)>
        send_hellos;

    /// \brief Returns the other balancers that are alive.
    std::function<std::vector<endpoint>()> balancers;

    /// \brief Called when the list of agents is confirmed, and when it no
    /// longer is.
    std::function<void(bool confirmed)> on_change;

    /// \brief Called at the first failure of a read after a successful one.
    std::function<void(member_kind, const error&)> on_lost;

    /// \brief Called for each record that was removed.
    std::function<void(member_kind, const membership_record&)> on_removed;

private:
    /// Reads of a kind.
    struct reader
    {
        timer_id timer = 0;
        backoff retry;
        std::size_t reads = 0; ///< Since the start or the last pause.
        bool reading = false;
        bool failed = false; ///< The last read failed.
    };

    reader& reader_of(member_kind kind)
    {
        return readers_[static_cast<std::size_t>(kind)];
    }
    void read(member_kind kind);
    void on_read(member_kind kind, const result<record_list>& all);
    void schedule_read(member_kind kind, duration delay);
    duration read_delay(std::size_t reads);
    void remove_records(member_kind kind);
    void send_due_hellos();
    void run_check();
    void restart();
    void report_change();

    timer_queue* timers_;
    random_source* random_;
    calls store_;
    options options_;
    membership_view view_;
    pause_detector pauses_;
    duration last_run_{}; ///< pause_detector::running_for at the last check.
    std::array<reader, static_cast<std::size_t>(member_kind::count_)> readers_;
    std::size_t restarts_ = 0; ///< Pauses of the process.
    counter_set<membership_event> counters_;
    bool confirmed_ = false;
    timer_id check_timer_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace briarfield

#endif
