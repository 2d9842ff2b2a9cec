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

/// \brief Result of a read or a watch of a document in the store.
struct document_state
{
    std::uint64_t revision = 0;      ///< Store revision from which to watch.
    std::optional<std::string> body; ///< Unset if unchanged or absent.
};

/// \brief Duration of a watch.
struct watch_limits
{
    duration wait{}; ///< The store responds after this without a change.
    /// The watch fails if no part of a response has arrived until then.
    duration timeout{};

    /// \brief Limits with which a change is read within \a bound although the
    /// connection of the watch was lost without notice: the watch fails after
    /// 72% of \a bound, and the rest is for the read that follows.
    static watch_limits within(duration bound)
    {
        return {bound * 60 / 100, bound * 72 / 100};
    }
};

/// \brief Delays of a \ref document_follower.
struct document_follower_options
{
    watch_limits watch = watch_limits::within(std::chrono::seconds(3));
    /// Delay of the read after a peer's notification; usually the watch of
    /// this process reports the change within it.
    duration peer_notification_delay = std::chrono::milliseconds(300);
    backoff_options retry{std::chrono::milliseconds(60),
                          std::chrono::milliseconds(400)};
};

/// \brief Follows one document of the store: reads it, then watches it.
///
/// Every failed watch is followed by a read, so that no change is missed; so
/// is a watch from a revision that the store has compacted.
class document_follower
{
public:
    using handler = std::function<void(result<document_state>)>;

    /// \brief Calls to the store. Each calls its handler once, after it has
    /// returned, unless the next call has ended it.
    struct calls
    {
        std::function<void(handler)> read;
        std::function<void(
            std::uint64_t revision, const watch_limits&, handler)>
            watch;
        /// Whether a response to the last call is being received. May be
        /// empty: such responses are discarded when a peer reports a change.
        std::function<bool()> response_arriving;
    };

    document_follower(timer_queue& timers,
                      random_source& random,
                      calls store,
                      document_follower_options options = {});
    ~document_follower();
    document_follower(const document_follower&) = delete;
    document_follower& operator=(const document_follower&) = delete;

    void start();

    /// \brief A peer has reported a change: reads the document after
    /// options::peer_notification_delay, unless the watch reports it earlier.
    /// A response that is being received is waited for.
    void on_peer_notification();

    /// \brief The store came back from an older copy: reads the document.
    void on_store_restored();

    /// \brief Called with each body received by a read or a watch.
    std::function<void(const std::string&)> on_document;

    /// \brief Called at the first failed call of an outage, and at the next
    /// successful call, with the length of the outage.
    std::function<void(const error&)> on_lost;
    std::function<void(duration outage)> on_regained;

private:
    void on_peer_notification_due();
    void read();
    void watch();
    void on_response(const result<document_state>& outcome);
    void on_failure(const error& e);

    timer_queue* timers_;
    random_source* random_;
    calls store_;
    document_follower_options options_;
    backoff retry_backoff_;
    std::uint64_t revision_ = 0;
    bool reading_ = false;
    bool lost_ = false;
    time_point lost_since_{};
    timer_id retry_timer_ = 0;
    timer_id peer_notification_timer_ = 0;
    std::uint64_t last_call_ = 0; ///< Responses to earlier calls are ignored.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace briarfield

#endif
