#include "briarfield/control/document_follower.hpp"

namespace briarfield
{

document_follower::document_follower(timer_queue& timers,
                                     random_source& random,
                                     calls store,
                                     document_follower_options options)
    : timers_(&timers), random_(&random), store_(std::move(store)),
      options_(options), retry_backoff_(options.retry)
{
}

document_follower::~document_follower()
{
    *alive_ = false;
    timers_->cancel(retry_timer_);
    timers_->cancel(peer_notification_timer_);
}

void document_follower::start()
{
    read();
}

void document_follower::on_peer_notification()
{
    if (peer_notification_timer_ != 0)
        return;
    peer_notification_timer_ =
        timers_->schedule(options_.peer_notification_delay,
                          [this] { on_peer_notification_due(); });
}

/// A read ends the watch. If the response to the watch is being received, that
/// would start the transfer again, which may take seconds on a slow link.
void document_follower::on_peer_notification_due()
{
    peer_notification_timer_ = 0;
    if (reading_ || lost_)
        return;
    if (store_.response_arriving && store_.response_arriving())
        return on_peer_notification();
    read();
}

void document_follower::on_store_restored()
{
    read();
}

void document_follower::read()
{
    timers_->cancel(retry_timer_);
    retry_timer_ = 0;
    reading_ = true;
    const std::uint64_t call = ++last_call_;
    store_.read(
        [this, call, alive = alive_](const result<document_state>& outcome)
        {
            if (!*alive || call != last_call_)
                return;
            reading_ = false;
            on_response(outcome);
        });
}

void document_follower::watch()
{
    const std::uint64_t call = ++last_call_;
    store_.watch(
        revision_, options_.watch,
        [this, call, alive = alive_](const result<document_state>& outcome)
        {
            if (*alive && call == last_call_)
                on_response(outcome);
        });
}

void document_follower::on_response(const result<document_state>& outcome)
{
    if (!outcome)
        return on_failure(outcome.error());
    if (lost_)
    {
        lost_ = false;
        if (on_regained)
            on_regained(timers_->now() - lost_since_);
    }
    retry_backoff_.reset();
    revision_ = outcome.value().revision;
    if (outcome.value().body)
    {
        timers_->cancel(peer_notification_timer_);
        peer_notification_timer_ = 0;
        if (on_document)
            on_document(*outcome.value().body);
    }
    watch();
}

void document_follower::on_failure(const error& e)
{
    // Compacted history is not a failure of the store.
    if (e.code == errc::store_history_compacted)
        return read();
    if (!lost_)
    {
        lost_ = true;
        lost_since_ = timers_->now();
        if (on_lost)
            on_lost(e);
    }
    retry_timer_ =
        timers_->schedule(retry_backoff_.next(*random_), [this] { read(); });
}

} // namespace briarfield
