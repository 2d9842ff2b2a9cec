#include "briarfield/relay/flow_checkpoint.hpp"

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
    if (on_loaded)
        on_loaded(outcome.value());
    schedule_save();
}

duration flow_checkpoint::interval() const
{
    const auto agent_total =
        static_cast<double>(agent_count ? agent_count() : 1);
    const std::chrono::duration<double> fair_interval(
        agent_total / (options_.store_writes * options_.max_write_fraction));
    return std::max(options_.interval,
                    std::chrono::duration_cast<duration>(fair_interval));
}

/// The jitter spreads the saves of agents that started at the same time.
void flow_checkpoint::schedule_save()
{
    const duration full_interval = interval();
    const duration jitter(static_cast<duration::rep>(
        random_->below(static_cast<std::uint64_t>(full_interval.count() / 2))));
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
    timers_->cancel(timer_);
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
