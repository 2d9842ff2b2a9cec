#include "briarfield/core/clock.hpp"

#include <ctime>

namespace briarfield
{

time_point steady_clock::now() const
{
    timespec t{};
    clock_gettime(CLOCK_BOOTTIME, &t);
    return {std::chrono::seconds(t.tv_sec) +
            std::chrono::nanoseconds(t.tv_nsec)};
}

timer_id timer_queue::schedule(duration delay, std::function<void()> call)
{
    const timer_id id = ++last_id_;
    const time_point due = clock_->now() + delay;
    calls_.emplace(key{due, id}, std::move(call));
    due_.emplace(id, due);
    if (on_reschedule)
        on_reschedule();
    return id;
}

void timer_queue::cancel(timer_id id)
{
    const auto found = due_.find(id);
    if (found == due_.end())
        return;
    calls_.erase(key{found->second, id});
    due_.erase(found);
}

std::size_t timer_queue::run_due()
{
    const time_point limit = clock_->now();
    std::size_t ran = 0;
    while (!calls_.empty() && calls_.begin()->first.first <= limit)
    {
        auto node = calls_.extract(calls_.begin());
        due_.erase(node.key().second);
        node.mapped()();
        ++ran;
    }
    return ran;
}

bool timer_queue::next_due(time_point& due) const
{
    if (calls_.empty())
        return false;
    due = calls_.begin()->first.first;
    return true;
}

} // namespace briarfield
