#include "briarfield/relay/flow_checkpoint.hpp"

#include "random_duration.hpp"

#include <algorithm>

namespace briarfield
{

flow_checkpoint::flow_checkpoint(timer_queue& timers,
                                 random_source& random,
                                 calls store,
                                 flow_checkpoint_options options)
    : timers_(&timers), random_(&random), store_(std::move(store)),
      options_(options), retry_backoff_(options.retry)
{
}

flow_checkpoint::~flow_checkpoint()
{
    *alive_ = false;
    timers_->cancel(timer_);
    timers_->cancel(rewrite_timer_);
}

void flow_checkpoint::start()
{
    load();
}

void flow_checkpoint::load()
{
    store_.load(
        [this, alive = alive_](const result<probes>& outcome)
        {
            if (*alive)
                on_load_outcome(outcome);
        });
}

/// Saving starts only after a successful load, since it replaces the checkpoint
/// of the previous agent.
void flow_checkpoint::on_load_outcome(const result<probes>& outcome)
{
    record_outcome(outcome ? result<void>(ok()) : outcome.error());
    if (!outcome)
    {
        timer_ = timers_->schedule(retry_backoff_.next(*random_),
                                   [this] { load(); });
        return;
    }
    may_be_stored_ = !outcome.value().empty();
    loaded_ = true;
    if (on_loaded)
        on_loaded(outcome.value());
    schedule_save();
}

/// Interval in which all agents together use their share of the store's writes.
duration flow_checkpoint::fair_interval() const
{
    const auto agent_total =
        static_cast<double>(agent_count ? agent_count() : 1);
    const std::chrono::duration<double> interval(
        agent_total / (options_.store_writes * options_.max_write_fraction));
    return std::chrono::duration_cast<duration>(interval);
}

duration flow_checkpoint::interval() const
{
    return std::max(options_.interval, fair_interval());
}

/// The older copy may hold a checkpoint that had been removed since. Before the
/// load, the checkpoint in the store is that of the previous agent.
void flow_checkpoint::on_store_restored()
{
    if (!loaded_ || removed_)
        return;
    may_be_stored_ = true;
    schedule_rewrite(std::max(options_.restore_spread, fair_interval()));
}

void flow_checkpoint::schedule_rewrite(duration spread)
{
    timers_->cancel(rewrite_timer_);
    rewrite_timer_ =
        timers_->schedule(random_duration(*random_, spread),
                          [this]
                          {
                              // The save in progress may be lost in the
                              // restore.
                              if (saving_)
                                  schedule_rewrite(options_.restore_spread);
                              else
                                  save();
                          });
}

/// The jitter spreads the saves of agents that started at the same time.
void flow_checkpoint::schedule_save()
{
    const duration full_interval = interval();
    const duration jitter = random_duration(*random_, full_interval / 2);
    timer_ = timers_->schedule(full_interval - jitter,
                               [this]
                               {
                                   save();
                                   schedule_save();
                               });
}

void flow_checkpoint::save()
{
    const probes all = current_probes ? current_probes() : probes();
    if (saving_ || (all.empty() && !may_be_stored_))
        return;
    saving_ = true;
    may_be_stored_ = !all.empty();
    store_.save(all,
                [this, alive = alive_](const result<void>& outcome)
                {
                    if (!*alive)
                        return;
                    saving_ = false;
                    may_be_stored_ = may_be_stored_ || !outcome;
                    record_outcome(outcome);
                });
}

void flow_checkpoint::remove()
{
    removed_ = true;
    timers_->cancel(timer_);
    timers_->cancel(rewrite_timer_);
    if (may_be_stored_)
        store_.save({}, [](const result<void>&) {});
}

void flow_checkpoint::record_outcome(const result<void>& outcome)
{
    const bool failing = !outcome;
    if (failing == store_failing_)
        return;
    store_failing_ = failing;
    if (failing && on_lost)
        on_lost(outcome.error());
    if (!failing && on_regained)
        on_regained();
}

} // namespace briarfield
