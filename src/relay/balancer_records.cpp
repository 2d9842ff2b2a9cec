#include "briarfield/relay/balancer_records.hpp"

#include <algorithm>

namespace briarfield
{

namespace
{

/// A random duration below \a limit.
duration random_duration(random_source& random, duration limit)
{
    return duration(static_cast<duration::rep>(
        random.below(static_cast<std::uint64_t>(limit.count()))));
}

} // namespace

balancer_record_writer::balancer_record_writer(timer_queue& timers,
                                               random_source& random,
                                               calls store,
                                               const options& opts)
    : timers_(&timers), random_(&random), store_(std::move(store)),
      options_(opts), retry_backoff_(opts.retry)
{
}

balancer_record_writer::~balancer_record_writer()
{
    *alive_ = false;
    timers_->cancel(timer_);
}

void balancer_record_writer::start()
{
    if (removed_)
        return;
    timers_->cancel(timer_);
    timer_ = timers_->schedule(random_duration(*random_, options_.spread),
                               [this] { write(); });
}

void balancer_record_writer::write()
{
    // Even if the response is lost, the record may be in the store.
    written_ = true;
    store_.write(
        [this, alive = alive_](const result<void>& outcome)
        {
            if (!*alive || outcome)
                return;
            if (on_failed)
                on_failed(outcome.error());
            if (removed_)
                return;
            timers_->cancel(timer_);
            timer_ = timers_->schedule(retry_backoff_.next(*random_),
                                       [this] { write(); });
        });
}

void balancer_record_writer::remove()
{
    removed_ = true;
    timers_->cancel(timer_);
    if (written_)
        store_.remove();
}

balancer_search::balancer_search(timer_queue& timers,
                                 random_source& random,
                                 list_call list,
                                 const options& opts)
    : timers_(&timers), random_(&random), list_(std::move(list)),
      options_(opts), retry_backoff_(opts.retry)
{
}

balancer_search::~balancer_search()
{
    *alive_ = false;
    timers_->cancel(timer_);
}

void balancer_search::start()
{
    check();
}

void balancer_search::check()
{
    timer_ = timers_->schedule(options_.check_interval, [this] { check(); });
    if (!needed())
    {
        next_list_.reset();
        retry_backoff_.reset();
        return;
    }
    const time_point now = timers_->now();
    if (!next_list_)
        next_list_ = now + options_.patience +
                     random_duration(*random_, options_.spread);
    if (!listing_ && now >= *next_list_)
        list();
}

void balancer_search::list()
{
    listing_ = true;
    next_list_ = timers_->now() + retry_backoff_.next(*random_);
    list_(
        [this, alive = alive_](const result<std::vector<endpoint>>& outcome)
        {
            if (!*alive)
                return;
            listing_ = false;
            if (outcome)
                pick_sample(outcome.value());
        });
}

/// Records of balancers that are gone for good may outnumber the others, so
/// each read tries other addresses.
void balancer_search::pick_sample(std::vector<endpoint> all)
{
    const std::size_t size = std::min(options_.sample, all.size());
    for (std::size_t i = 0; i < size; ++i)
        std::swap(all[i], all[i + random_->below(all.size() - i)]);
    all.resize(size);
    if (on_found)
        on_found(all);
}

} // namespace briarfield
