#include "briarfield/control/document_follower.hpp"

namespace briarfield
{

document_follower::document_follower(timer_queue& timers,
                                     random_source& random,
                                     calls store,
                                     document_follower_options options)
    : timers_(&timers), random_(&random), store_(std::move(store)),
      options_(options), delay_(options.retry)
{
}

document_follower::~document_follower()
{
    *alive_ = false;
    timers_->cancel(retry_);
    timers_->cancel(hearsay_);
}

void document_follower::start()
{
    read();
}

void document_follower::hear_of_change()
{
    if (hearsay_ != 0)
        return;
    hearsay_ = timers_->schedule(options_.hearsay_delay,
                                 [this]
                                 {
                                     hearsay_ = 0;
                                     if (!reading_ && !lost_)
                                         read();
                                 });
}

void document_follower::read()
{
    timers_->cancel(retry_);
    retry_ = 0;
    reading_ = true;
    const std::uint64_t call = ++call_;
    store_.read(
        [this, call, alive = alive_](const result<document_state>& outcome)
        {
            if (!*alive || call != call_)
                return;
            reading_ = false;
            take(outcome);
        });
}

void document_follower::watch()
{
    const std::uint64_t call = ++call_;
    store_.watch(
        revision_, watch_length ? watch_length() : options_.watch_for,
        [this, call, alive = alive_](const result<document_state>& outcome)
        {
            if (*alive && call == call_)
                take(outcome);
        });
}

void document_follower::take(const result<document_state>& outcome)
{
    if (!outcome)
        return take_failure(outcome.error());
    if (lost_)
    {
        lost_ = false;
        if (on_regained)
            on_regained(timers_->now() - lost_since_);
    }
    delay_.reset();
    revision_ = outcome.value().revision;
    if (outcome.value().body)
    {
        timers_->cancel(hearsay_);
        hearsay_ = 0;
        if (on_document)
            on_document(*outcome.value().body);
    }
    watch();
}

void document_follower::take_failure(const error& e)
{
    // Forgotten history says nothing about the store's health.
    if (e.code == errc::store_history_compacted)
        return read();
    if (!lost_)
    {
        lost_ = true;
        lost_since_ = timers_->now();
        if (on_lost)
            on_lost(e);
    }
    retry_ = timers_->schedule(delay_.next(*random_), [this] { read(); });
}

} // namespace briarfield
