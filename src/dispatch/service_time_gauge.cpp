#include "briarfield/dispatch/service_time_gauge.hpp"

#include <algorithm>

namespace briarfield
{

service_time_gauge::request_id service_time_gauge::begin(unsigned slots)
{
    const bool idle = running_.empty() && waiting_.empty();
    if (idle && clock_->now() - last_end_ >= idle_limit)
        mean_.limit_count(outdated_count);
    slots_ = slots;
    waiting_.push_back(++last_id_);
    start_waiting();
    return last_id_;
}

duration service_time_gauge::end(request_id request, bool answered)
{
    const time_point now = clock_->now();
    duration took{};
    const auto running = std::find_if(running_.begin(), running_.end(),
                                      [request](const running_request& r)
                                      { return r.id == request; });
    if (running != running_.end())
    {
        took = answered ? now - running->start : duration(0);
        running_.erase(running);
    }
    if (took > duration(0))
        mean_.record(took);
    const auto waiting = std::find(waiting_.begin(), waiting_.end(), request);
    if (waiting != waiting_.end())
        waiting_.erase(waiting);
    last_end_ = now;
    start_waiting();
    return took;
}

void service_time_gauge::start_waiting()
{
    while (running_.size() < slots_ && !waiting_.empty())
    {
        running_.push_back({waiting_.front(), clock_->now()});
        waiting_.pop_front();
    }
}

duration service_time_gauge::mean() const
{
    const double ended = mean_.value();
    double mean = ended;
    for (const running_request& r : running_)
    {
        const auto so_far =
            static_cast<double>((clock_->now() - r.start).count());
        const double counted = std::min(so_far, max_running_means * ended);
        mean += capped_mean::weight * std::max(0.0, counted - ended);
    }
    return duration(static_cast<duration::rep>(mean));
}

} // namespace briarfield
