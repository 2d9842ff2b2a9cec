#ifndef BRIARFIELD_RELAY_BALANCER_RECORDS_HPP
#define BRIARFIELD_RELAY_BALANCER_RECORDS_HPP

#include "briarfield/control/retry_policy.hpp"
#include "briarfield/core/clock.hpp"
#include "briarfield/core/endpoint.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace briarfield
{

/// \brief Keeps the record of a balancer's relay address in the store, by which
/// others find the balancer when none of their seeds responds.
///
/// The record is written once, after the start, and again after a restore of
/// the store from an older copy. A stale record is harmless:
/// whoever reads it sends a few datagrams to an address without a balancer.
class balancer_record_writer
{
public:
    /// \brief Calls to the store; \ref write calls its handler once.
    struct calls
    {
        std::function<void(std::function<void(result<void>)>)> write;
        std::function<void()> remove;
    };

    /// \brief Delays of a writer.
    struct options
    {
        /// Balancers that start together write at random times within this.
        duration spread = std::chrono::seconds(2);
        backoff_options retry{std::chrono::milliseconds(500),
                              std::chrono::seconds(10)};
    };

    balancer_record_writer(timer_queue& timers,
                           random_source& random,
                           calls store,
                           const options& opts);
    balancer_record_writer(timer_queue& timers,
                           random_source& random,
                           calls store)
        : balancer_record_writer(timers, random, std::move(store), options())
    {
    }
    ~balancer_record_writer();
    balancer_record_writer(const balancer_record_writer&) = delete;
    balancer_record_writer& operator=(const balancer_record_writer&) = delete;

    /// \brief Writes the record at a random time within options::spread, again
    /// after a failure. Does nothing after \ref remove.
    void start();

    /// \brief Removes the record: the balancer stops.
    void remove();

    /// \brief Called with the error of each failed write.
    std::function<void(const error&)> on_failed;

private:
    void write();

    timer_queue* timers_;
    random_source* random_;
    calls store_;
    options options_;
    backoff retry_backoff_;
    timer_id timer_ = 0;
    bool written_ = false;
    bool removed_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// \brief Finds balancers by their records in the store, while no balancer is
/// heard from otherwise.
class balancer_search
{
public:
    /// \brief Lists the relay addresses of all records; calls its handler once.
    using list_call =
        std::function<void(std::function<void(result<std::vector<endpoint>>)>)>;

    /// \brief Delays and limits of a search.
    struct options
    {
        /// Balancers usually respond to heartbeats and notices within this
        /// time, also after a restart of everything.
        duration patience = std::chrono::seconds(2);
        /// Processes that lose their balancers together read at random times
        /// within this.
        duration spread = std::chrono::seconds(1);
        /// Interval at which \ref needed is called.
        duration check_interval = std::chrono::milliseconds(500);
        backoff_options retry{std::chrono::seconds(1),
                              std::chrono::seconds(20)};
        /// Addresses that are tried after a read; those that respond report the
        /// others.
        std::size_t sample = 16;
    };

    balancer_search(timer_queue& timers,
                    random_source& random,
                    list_call list,
                    const options& opts);
    balancer_search(timer_queue& timers, random_source& random, list_call list)
        : balancer_search(timers, random, std::move(list), options())
    {
    }
    ~balancer_search();
    balancer_search(const balancer_search&) = delete;
    balancer_search& operator=(const balancer_search&) = delete;

    void start();

    /// \brief Returns whether no balancer is heard from.
    std::function<bool()> needed;

    /// \brief Called with a random sample of the recorded addresses.
    std::function<void(const std::vector<endpoint>&)> on_found;

private:
    void check();
    void list();
    void pick_sample(std::vector<endpoint> all);

    timer_queue* timers_;
    random_source* random_;
    list_call list_;
    options options_;
    backoff retry_backoff_;
    std::optional<time_point> next_list_; ///< Unset while no search is needed.
    bool listing_ = false;
    timer_id timer_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace briarfield

#endif
