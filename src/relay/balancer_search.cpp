#include "briarfield/relay/balancer_search.hpp"

#include "random_duration.hpp"

#include <algorithm>

namespace briarfield
{

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
    timers_->cancel(batch_timer_);
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
        untried_.clear();
        return;
    }
    const time_point now = timers_->now();
    if (!next_list_)
        next_list_ = now + options_.search_delay +
                     random_duration(*random_, options_.spread);
    if (!listing_ && untried_.empty() && now >= *next_list_)
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
            if (!outcome)
                return;
            untried_ = outcome.value();
            shuffle();
            try_batch();
        });
}

void balancer_search::shuffle()
{
    for (std::size_t i = untried_.size(); i > 1; --i)
        std::swap(untried_[i - 1], untried_[random_->below(i)]);
}

void balancer_search::try_batch()
{
    if (untried_.empty())
        return;
    const auto size =
        static_cast<std::ptrdiff_t>(std::min(options_.batch, untried_.size()));
    const std::vector<endpoint> batch(untried_.end() - size, untried_.end());
    untried_.erase(untried_.end() - size, untried_.end());
    if (on_found)
        on_found(batch);
    batch_timer_ =
        timers_->schedule(options_.batch_interval, [this] { try_batch(); });
}

} // namespace briarfield
