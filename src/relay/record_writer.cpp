#include "briarfield/relay/record_writer.hpp"

#include "random_duration.hpp"

namespace briarfield
{

record_writer::record_writer(timer_queue& timers,
                             random_source& random,
                             calls store,
                             const options& opts)
    : timers_(&timers), random_(&random), store_(std::move(store)),
      options_(opts), retry_backoff_(opts.retry)
{
}

record_writer::~record_writer()
{
    *alive_ = false;
    timers_->cancel(timer_);
}

void record_writer::start()
{
    if (!removed_)
        schedule_write();
}

void record_writer::schedule_write()
{
    ++scheduled_writes_;
    timers_->cancel(timer_);
    timer_ = timers_->schedule(random_duration(*random_, options_.spread),
                               [this] { write(); });
}

void record_writer::write()
{
    // Even if the response is lost, the record may be in the store.
    written_ = true;
    store_.write(
        [this, alive = alive_](const result<void>& outcome)
        {
            if (*alive && !removed_)
                on_written(outcome);
        });
}

void record_writer::on_written(const result<void>& outcome)
{
    if (outcome)
    {
        retry_backoff_.reset();
        return schedule_check();
    }
    if (on_failed)
        on_failed(outcome.error());
    timers_->cancel(timer_);
    timer_ =
        timers_->schedule(retry_backoff_.next(*random_), [this] { write(); });
}

void record_writer::schedule_check()
{
    const duration jitter =
        random_duration(*random_, options_.check_interval / 4);
    timers_->cancel(timer_);
    timer_ = timers_->schedule(options_.check_interval - jitter,
                               [this] { check(); });
}

void record_writer::check()
{
    store_.check(
        [this, alive = alive_,
         scheduled = scheduled_writes_](const result<bool>& present)
        {
            if (*alive && !removed_ && scheduled == scheduled_writes_)
                on_checked(present);
        });
}

void record_writer::on_checked(const result<bool>& present)
{
    if (!present || present.value())
        return schedule_check();
    if (on_missing)
        on_missing();
    schedule_write();
}

void record_writer::remove()
{
    removed_ = true;
    timers_->cancel(timer_);
    if (written_)
        store_.remove();
}

} // namespace briarfield
