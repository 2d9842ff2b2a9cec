#include "briarfield/relay/flow_checkpoint.hpp"

#include <algorithm>

namespace briarfield
{

flow_checkpoint::flow_checkpoint(timer_queue& timers,
                                 random_source& random,
                                 calls store,
                                 flow_checkpoint_options options)
    : timers_(&timers), random_(&random), store_(std::move(store)),
      options_(options), delay_(options.retry)
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
                take_loaded(outcome);
        });
}

/// Nothing is saved before: it would replace what the last agent left.
void flow_checkpoint::take_loaded(const result<probes>& outcome)
{
    note_outcome(outcome ? result<void>(ok()) : outcome.error());
    if (!outcome)
    {
        timer_ = timers_->schedule(delay_.next(*random_), [this] { load(); });
        return;
    }
    saved_any_ = !outcome.value().empty();
    if (on_loaded)
        on_loaded(outcome.value());
    schedule_save();
}

duration flow_checkpoint::interval() const
{
    const auto sharers = static_cast<double>(agents ? agents() : 1);
    const std::chrono::duration<double> fair(
        sharers / (options_.store_writes * options_.share_of_writes));
    return std::max(options_.interval,
                    std::chrono::duration_cast<duration>(fair));
}

/// Agents that started together must not save together.
void flow_checkpoint::schedule_save()
{
    const duration full = interval();
    const duration jitter(static_cast<duration::rep>(
        random_->below(static_cast<std::uint64_t>(full.count() / 2))));
    timer_ = timers_->schedule(full - jitter,
                               [this]
                               {
                                   save();
                                   schedule_save();
                               });
}

void flow_checkpoint::save()
{
    const probes all = current ? current() : probes();
    if (saving_ || (all.empty() && !saved_any_))
        return;
    saving_ = true;
    saved_any_ = !all.empty();
    store_.save(all,
                [this, alive = alive_](const result<void>& outcome)
                {
                    if (!*alive)
                        return;
                    saving_ = false;
                    saved_any_ = saved_any_ || !outcome;
                    note_outcome(outcome);
                });
}

void flow_checkpoint::remove()
{
    timers_->cancel(timer_);
    if (saved_any_)
        store_.save({}, [](const result<void>&) {});
}

void flow_checkpoint::note_outcome(const result<void>& outcome)
{
    const bool lost = !outcome;
    if (lost == lost_)
        return;
    lost_ = lost;
    if (lost && on_lost)
        on_lost(outcome.error());
    if (!lost && on_regained)
        on_regained();
}

} // namespace briarfield
