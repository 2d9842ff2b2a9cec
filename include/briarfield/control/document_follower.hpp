#ifndef BRIARFIELD_CONTROL_DOCUMENT_FOLLOWER_HPP
#define BRIARFIELD_CONTROL_DOCUMENT_FOLLOWER_HPP

#include "briarfield/control/retry_policy.hpp"
#include "briarfield/core/clock.hpp"
#include "briarfield/core/error.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace briarfield
{

/// \brief A document of the store, or that nothing about it has changed.
struct document_state
{
    std::uint64_t revision = 0;      ///< Of the store; a watch goes on there.
    std::optional<std::string> body; ///< Unset: unchanged, or not there.
};

/// \brief Delays of a \ref document_follower.
struct document_follower_options
{
    /// A watch that was cut silently is noticed after this.
    duration watch_for = std::chrono::seconds(3);
    /// What others have heard of arrives by our own watch, too, mostly.
    duration hearsay_delay = std::chrono::milliseconds(300);
    backoff_options retry{std::chrono::milliseconds(60),
                          std::chrono::milliseconds(400)};
};

/// \brief Follows one document of the store: reads it, then watches it.
///
/// A watch that fails in any way is followed by a read, so that a change is
/// never missed; history that the store has forgotten costs a read, too.
class document_follower
{
public:
    using handler = std::function<void(result<document_state>)>;

    /// \brief Calls of the store. Each calls its handler once, later.
    struct calls
    {
        std::function<void(handler)> read;
        std::function<void(std::uint64_t revision, duration wait, handler)>
            watch;
    };

    document_follower(timer_queue& timers,
                      random_source& random,
                      calls store,
                      document_follower_options options = {});
    ~document_follower();
    document_follower(const document_follower&) = delete;
    document_follower& operator=(const document_follower&) = delete;

    void start();

    /// \brief Somebody else has heard of a change: reads soon, unless the
    /// change arrives by the watch before.
    void hear_of_change();

    /// \brief Asked for the length of each watch; empty: options::watch_for.
    std::function<duration()> watch_length;

    /// \brief Called with each body that was read or watched.
    std::function<void(const std::string&)> on_document;

    /// \brief Called when the store fails, and when it answers again.
    std::function<void(const error&)> on_lost;
    std::function<void(duration outage)> on_regained;

private:
    void read();
    void watch();
    void take(const result<document_state>& outcome);
    void take_failure(const error& e);

    timer_queue* timers_;
    random_source* random_;
    calls store_;
    document_follower_options options_;
    backoff delay_;
    std::uint64_t revision_ = 0;
    bool reading_ = false;
    bool lost_ = false;
    time_point lost_since_{};
    timer_id retry_ = 0;
    timer_id hearsay_ = 0;
    std::uint64_t call_ = 0; ///< Answers to earlier calls are not taken.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace briarfield

#endif
