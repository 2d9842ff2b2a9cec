#ifndef BRIARFIELD_RELAY_FLOW_CHECKPOINT_HPP
#define BRIARFIELD_RELAY_FLOW_CHECKPOINT_HPP

#include "briarfield/control/retry_policy.hpp"
#include "briarfield/dispatch/flow_packet.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <vector>

namespace briarfield
{

/// \brief Delays and limits of a \ref flow_checkpoint.
struct flow_checkpoint_options
{
    /// A reset counts only near the caller's last acknowledgment; a busy flow
    /// moves on by less than that within a few times this interval.
    duration interval = std::chrono::seconds(6);
    /// Writing calls a second that the store grants all instances together.
    double store_writes = 400;
    /// Part of them that checkpoints may take; the rest is for the operators.
    double share_of_writes = 0.05;
    backoff_options retry{std::chrono::milliseconds(100),
                          std::chrono::seconds(2)};
};

/// \brief Keeps what a server can be asked about its open flows in a store.
///
/// When an instance loses power, its server's flows end and its agent forgets
/// them. The callers learn of that only from the packets that they send next,
/// which is too late for requests that may run once only. So the agent saves
/// \ref server_gate::probes now and then, and the next agent of the
/// instance asks them. A stale or missing checkpoint does no harm: the server
/// decides.
class flow_checkpoint
{
public:
    using probes = std::vector<short_packet>;

    /// \brief Calls of the store. Each calls its handler once, later.
    struct calls
    {
        /// Hands over what was saved last; nothing if nothing ever was.
        std::function<void(std::function<void(result<probes>)>)> load;
        /// Saves, or removes what is there when nothing is to be kept.
        std::function<void(const probes&, std::function<void(result<void>)>)>
            save;
    };

    flow_checkpoint(timer_queue& timers,
                    random_source& random,
                    calls store,
                    flow_checkpoint_options options = {});
    ~flow_checkpoint();
    flow_checkpoint(const flow_checkpoint&) = delete;
    flow_checkpoint& operator=(const flow_checkpoint&) = delete;

    /// \brief Loads, then saves again and again.
    void start();

    /// \brief Saves for the last time; the server is gone for good.
    void remove();

    /// \brief Time between two checkpoints of one agent.
    duration interval() const;

    /// \brief What is to be saved.
    std::function<probes()> current;

    /// \brief Agents that share the store; empty: one.
    std::function<std::size_t()> agents;

    /// \brief Called once with what was loaded.
    std::function<void(const probes&)> on_loaded;

    /// \brief Called when the store fails, and when it answers again.
    std::function<void(const error&)> on_lost;
    std::function<void()> on_regained;

private:
    void load();
    void take_loaded(const result<probes>& outcome);
    void schedule_save();
    void save();
    void note_outcome(const result<void>& outcome);

    timer_queue* timers_;
    random_source* random_;
    calls store_;
    flow_checkpoint_options options_;
    backoff delay_;
    bool saving_ = false;
    bool saved_any_ = false; ///< Something is there, or may be.
    bool lost_ = false;
    timer_id timer_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace briarfield

#endif
