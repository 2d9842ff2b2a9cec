#include "briarfield/load/work_tracker.hpp"

namespace briarfield
{

void work_tracker::observe(const flow_observation& o)
{
    const auto found = units_.find(*o.key);
    switch (o.activity)
    {
    case flow_activity::request_bytes:
        if (found != units_.end() && !found->second.answered)
            return;
        if (found != units_.end())
            finish(found, work_outcome::answered, o.when);
        begin(*o.key, o.when);
        return;
    case flow_activity::answer_bytes:
        if (found != units_.end())
            answer(found->second, *o.key, o);
        return;
    case flow_activity::server_rejected:
        if (found == units_.end())
        {
            work_sample s;
            s.outcome = work_outcome::refused;
            s.occupancy = in_progress_;
            s.when = o.when;
            if (on_sample)
                on_sample(s);
            return;
        }
        finish(found, work_outcome::refused, o.when);
        return;
    case flow_activity::server_reset:
        if (found != units_.end())
            finish(found, work_outcome::reset, o.when);
        return;
    case flow_activity::closed:
        if (found != units_.end())
            finish(found, work_outcome::cancelled, o.when);
        return;
    default:
        return;
    }
}

void work_tracker::begin(const flow_key& key, time_point when)
{
    if (units_.size() >= options_.capacity)
        return;
    unit u;
    u.serial = ++last_serial_;
    u.occupancy = in_progress_;
    u.request_time = when;
    u.answers_at_start = answer_count_;
    units_.emplace(key, u);
    request_queue_.push_back({key, u.serial});
    ++in_progress_;
}

void work_tracker::answer(unit& u,
                          const flow_key& key,
                          const flow_observation& o)
{
    u.last_answer = o.when;
    u.answer_bytes += o.bytes;
    if (!u.answered)
    {
        u.answered = true;
        u.first_answer = o.when;
        ++answer_count_;
        answer_queue_.push_back({key, u.serial});
        set_counted(u, false);
        return;
    }
    if (o.when - u.first_answer >= options_.stream_after)
        set_counted(u, true);
}

void work_tracker::set_counted(unit& u, bool counted)
{
    if (u.counted == counted)
        return;
    u.counted = counted;
    counted ? ++in_progress_ : --in_progress_;
}

void work_tracker::finish(unit_map::iterator at,
                          work_outcome outcome,
                          time_point when)
{
    const unit u = at->second;
    if (u.counted)
        --in_progress_;
    units_.erase(at);
    work_sample s;
    s.outcome = u.answered && outcome != work_outcome::reset
                    ? work_outcome::answered
                    : outcome;
    s.occupancy = u.occupancy;
    s.answer_bytes = u.answer_bytes;
    s.when = when;
    s.no_answer_meanwhile = answer_count_ == u.answers_at_start;
    if (u.answered)
    {
        s.first_byte = u.first_answer - u.request_time;
        s.occupied = u.last_answer - u.request_time;
    }
    if (on_sample)
        on_sample(s);
}

void work_tracker::sweep(time_point now)
{
    sweep_answers(now);
    sweep_requests(now);
}

void work_tracker::sweep_answers(time_point now)
{
    for (std::size_t remaining = answer_queue_.size(); remaining > 0;
         --remaining)
    {
        const queued_unit first = answer_queue_.front();
        const auto at = units_.find(first.key);
        const bool stale =
            at == units_.end() || at->second.serial != first.serial;
        if (!stale && now - at->second.first_answer < options_.answer_gap)
            return;
        answer_queue_.pop_front();
        if (stale)
            continue;
        if (now - at->second.last_answer >= options_.answer_gap)
            finish(at, work_outcome::answered, now);
        else
            answer_queue_.push_back(first);
    }
}

void work_tracker::sweep_requests(time_point now)
{
    while (!request_queue_.empty())
    {
        const queued_unit first = request_queue_.front();
        const auto at = units_.find(first.key);
        const bool stale = at == units_.end() ||
                           at->second.serial != first.serial ||
                           at->second.answered;
        if (!stale && now - at->second.request_time < options_.abandon_after)
            return;
        request_queue_.pop_front();
        if (!stale)
            finish(at, work_outcome::abandoned, now);
    }
}

} // namespace briarfield
