#ifndef BRIARFIELD_RELAY_BALANCER_SEARCH_HPP
#define BRIARFIELD_RELAY_BALANCER_SEARCH_HPP

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
        duration search_delay = std::chrono::seconds(2);
        /// Processes that lose their balancers together read at random times
        /// within this.
        duration spread = std::chrono::seconds(1);
        /// Interval at which \ref needed is called.
        duration check_interval = std::chrono::milliseconds(500);
        backoff_options retry{std::chrono::seconds(1),
                              std::chrono::seconds(20)};
        /// All addresses of a read are tried, this many at a time: records of
        /// balancers that are gone may outnumber the others.
        std::size_t batch = 16;
        /// 600 addresses take 3.8 s, within the time in which all flows are to
        /// be served again.
        duration batch_interval = std::chrono::milliseconds(100);
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

    /// \brief Called with each batch of the recorded addresses, in random
    /// order, until \ref needed returns false.
    std::function<void(const std::vector<endpoint>&)> on_found;

private:
    void check();
    void list();
    void shuffle();
    void try_batch();

    timer_queue* timers_;
    random_source* random_;
    list_call list_;
    options options_;
    backoff retry_backoff_;
    std::optional<time_point> next_list_; ///< Unset while no search is needed.
    bool listing_ = false;
    std::vector<endpoint> untried_; ///< Addresses of the last read.
    timer_id timer_ = 0;
    timer_id batch_timer_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace briarfield

#endif
