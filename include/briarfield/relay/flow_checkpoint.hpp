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
    /// Shortest interval between two saves. A caller accepts a reset only
    /// within a window around its last acknowledgment; an active flow advances
    /// by less than that window within a few intervals.
    duration interval = std::chrono::seconds(6);
    /// Write requests per second that the store allows all instances together.
    double store_writes = 400;
    /// Fraction of \ref store_writes that checkpoints may use; the rest is left
    /// to the operators.
    double max_write_fraction = 0.05;
    /// After a restore of the store, agents save at random times within this,
    /// or within longer when many of them share the store.
    duration restore_spread = std::chrono::seconds(2);
    /// Delays between attempts to load the checkpoint.
    backoff_options retry{std::chrono::milliseconds(100),
                          std::chrono::seconds(2)};
};

/// \brief Periodically saves the probes of an agent's open flows in a store.
///
/// When an instance loses power, its server's flows end and its agent loses
/// its record of them. Callers would detect this only with the next packet
/// that they send, which is too late for requests that must run at most once.
/// Therefore the agent saves \ref server_gate::probes periodically, and the
/// next agent of the instance sends them to the server. A stale or missing
/// checkpoint is harmless: the server decides for each probe whether it holds
/// the flow.
class flow_checkpoint
{
public:
    using probes = std::vector<short_packet>;

    /// \brief Asynchronous store operations; each calls its handler once.
    struct calls
    {
        /// Loads the last saved checkpoint; an empty one if there is none.
        std::function<void(std::function<void(result<probes>)>)> load;
        /// Replaces the checkpoint; removes it if the list is empty.
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

    /// \brief Loads the last checkpoint, then saves one in each interval.
    void start();

    /// \brief The store came back from an older copy, in which the checkpoint
    /// is missing or outdated: saves one soon.
    void on_store_restored();

    /// \brief Stops saving and removes the checkpoint, once the server has
    /// terminated for good.
    void remove();

    /// \brief Time between two checkpoints of one agent.
    ///
    /// It grows with the number of agents, so that all together stay within
    /// their share of the store's writes.
    duration interval() const;

    /// \brief Called for the probes to save; if empty, there are none.
    std::function<probes()> current_probes;

    /// \brief Called for the number of agents that share the store; if empty,
    /// it is 1.
    std::function<std::size_t()> agent_count;

    /// \brief Called once with the loaded probes.
    std::function<void(const probes&)> on_loaded;

    /// \brief Called with the first error after the start or a success.
    std::function<void(const error&)> on_lost;

    /// \brief Called on the first success after an error.
    std::function<void()> on_regained;

private:
    void load();
    void on_load_outcome(const result<probes>& outcome);
    duration fair_interval() const;
    void schedule_save();
    void schedule_rewrite(duration spread);
    void save();
    void record_outcome(const result<void>& outcome);

    timer_queue* timers_;
    random_source* random_;
    calls store_;
    flow_checkpoint_options options_;
    backoff retry_backoff_;
    bool saving_ = false;
    bool may_be_stored_ = false; ///< The store may hold a checkpoint.
    bool store_failing_ = false;
    bool loaded_ = false;
    bool removed_ = false;
    timer_id timer_ = 0;
    timer_id rewrite_timer_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace briarfield

#endif
