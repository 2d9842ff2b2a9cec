#ifndef BRIARFIELD_CORE_CLOCK_HPP
#define BRIARFIELD_CORE_CLOCK_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <utility>

namespace briarfield
{

/// \brief Duration on the runtime's clock, in nanoseconds.
using duration = std::chrono::nanoseconds;

/// \brief Point in time on the runtime's clock; the origin is arbitrary.
struct time_point
{
    duration since_origin{0};

    friend bool operator==(time_point a, time_point b)
    {
        return a.since_origin == b.since_origin;
    }
    friend bool operator!=(time_point a, time_point b) { return !(a == b); }
    friend bool operator<(time_point a, time_point b)
    {
        return a.since_origin < b.since_origin;
    }
    friend bool operator<=(time_point a, time_point b) { return !(b < a); }
    friend bool operator>(time_point a, time_point b) { return b < a; }
    friend bool operator>=(time_point a, time_point b) { return !(a < b); }
    friend time_point operator+(time_point t, duration d)
    {
        return {t.since_origin + d};
    }
    friend time_point operator-(time_point t, duration d)
    {
        return {t.since_origin - d};
    }
    friend duration operator-(time_point a, time_point b)
    {
        return a.since_origin - b.since_origin;
    }
};

/// \brief The runtime's clock: monotonic and local to the process.
///
/// Time points of two processes are not comparable.
///
/// \sa steady_clock, manual_clock
class clock
{
public:
    virtual ~clock() = default;

    /// \brief Current time; never less than an earlier result.
    virtual time_point now() const = 0;
};

/// \brief Clock of a running daemon, CLOCK_BOOTTIME of the system.
///
/// Unlike std::chrono::steady_clock it counts the time for which the instance
/// was suspended, so that what was recorded before has its true age afterwards.
class steady_clock final : public clock
{
public:
    time_point now() const override;
};

/// \brief Clock that only moves when it is advanced; for tests.
class manual_clock final : public clock
{
public:
    time_point now() const override { return now_; }

    /// \brief Moves the clock forward; a negative \a d is undefined.
    void advance(duration d) { now_ = now_ + d; }

private:
    time_point now_{};
};

/// \brief Handle of a scheduled call; zero is never a valid handle.
using timer_id = std::uint64_t;

/// \brief Queue of calls scheduled on the runtime's clock.
///
/// The event loop waits until \ref next_due and calls \ref run_due; tests do
/// the same with a \ref manual_clock. Calls due at the same time run in the
/// order in which they were scheduled.
class timer_queue
{
public:
    explicit timer_queue(const clock& c) : clock_(&c) {}

    /// \brief Schedules \a call to run once, after \a delay.
    ///
    /// The call is only run by \ref run_due, even if \a delay is zero.
    timer_id schedule(duration delay, std::function<void()> call);

    /// \brief Cancels a pending call; does nothing if \a id is not pending.
    void cancel(timer_id id);

    /// \brief Runs all calls that are due; returns their number.
    std::size_t run_due();

    /// \brief Whether a call is pending; \a due receives the earliest due time.
    bool next_due(time_point& due) const;

    const clock& time_source() const { return *clock_; }

    time_point now() const { return clock_->now(); }

    /// \brief Called whenever the earliest due time may have become earlier,
    /// that is after each \ref schedule. May be empty.
    std::function<void()> on_reschedule;

private:
    using key = std::pair<time_point, timer_id>;

    const clock* clock_;
    timer_id last_id_ = 0;
    std::map<key, std::function<void()>> calls_;
    std::unordered_map<timer_id, time_point> due_;
};

} // namespace briarfield

#endif
