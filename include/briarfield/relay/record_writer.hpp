#ifndef BRIARFIELD_RELAY_RECORD_WRITER_HPP
#define BRIARFIELD_RELAY_RECORD_WRITER_HPP

#include "briarfield/control/retry_policy.hpp"
#include "briarfield/core/clock.hpp"
#include "briarfield/core/error.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace briarfield
{

/// \brief Keeps the record of a process in the store, by which others find it
/// when no other process has reported it to them.
///
/// The record is written after the start, and again when a check shows that it
/// is missing: a balancer may have removed it while the process was paused or
/// cut off. A check that is overdue after a pause is made at once. A stale
/// record is harmless: whoever reads it sends a few datagrams to an address
/// without a process.
///
/// Calls per process: one write at the first start; two at a restart, as the
/// first one meets the earlier record; one stale read a minute.
class record_writer
{
public:
    using write_handler = std::function<void(result<void>)>;

    /// \brief Calls to the store; each calls its handler once.
    struct calls
    {
        std::function<void(write_handler)> write;
        std::function<void()> remove;
        /// Whether the record is in the store as written.
        std::function<void(std::function<void(result<bool>)>)> check;
    };

    /// \brief Delays of a writer.
    struct options
    {
        /// Processes that start together write at random times within this.
        duration spread = std::chrono::seconds(2);
        backoff_options retry{std::chrono::milliseconds(500),
                              std::chrono::seconds(10)};
        /// Interval of checks, with a jitter of up to a quarter. Checks of
        /// 6,150 processes take 2% of the store's 6,000 reads a second.
        duration check_interval = std::chrono::minutes(1);
    };

    record_writer(timer_queue& timers,
                  random_source& random,
                  calls store,
                  const options& opts);
    record_writer(timer_queue& timers, random_source& random, calls store)
        : record_writer(timers, random, std::move(store), options())
    {
    }
    ~record_writer();
    record_writer(const record_writer&) = delete;
    record_writer& operator=(const record_writer&) = delete;

    /// \brief Writes the record, again after a failure.
    void start();

    /// \brief Removes the record: the process stops.
    void remove();

    /// \brief Called with the error of each failed write.
    std::function<void(const error&)> on_failed;

    /// \brief Called when a check shows that the record is missing.
    std::function<void()> on_missing;

private:
    void schedule_write();
    void write();
    void on_written(const result<void>& outcome);
    void schedule_check();
    void check();
    void on_checked(const result<bool>& present);

    timer_queue* timers_;
    random_source* random_;
    calls store_;
    options options_;
    backoff retry_backoff_;
    timer_id timer_ = 0;
    /// A check that began before the latest one has no effect.
    std::uint64_t scheduled_writes_ = 0;
    bool written_ = false;
    bool removed_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace briarfield

#endif
