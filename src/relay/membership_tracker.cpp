#include "briarfield/relay/membership_tracker.hpp"

#include "random_duration.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace briarfield
{

namespace
{

constexpr std::string_view event_names[] = {"list_read",      "list_failed",
                                            "hello_sent",     "given_up",
                                            "record_removed", "removal_failed"};
static_assert(std::size(event_names) ==
              static_cast<std::size_t>(membership_event::count_));

} // namespace

std::string_view membership_event_name(membership_event event) noexcept
{
    return event_names[static_cast<std::size_t>(event)];
}

membership_tracker::membership_tracker(timer_queue& timers,
                                       random_source& random,
                                       calls store,
                                       const endpoint& own,
                                       const options& opts)
    : timers_(&timers), random_(&random), store_(std::move(store)),
      options_(opts), view_(timers.time_source(), own, opts.view),
      pauses_(timers.time_source(), opts.pause_limit)
{
    for (reader& r : readers_)
        r.retry = backoff(options_.retry);
    view_.on_given_up = [this](const membership_view::recipient&)
    { counters_.add(membership_event::given_up); };
}

membership_tracker::~membership_tracker()
{
    *alive_ = false;
    timers_->cancel(check_timer_);
    for (const reader& r : readers_)
        timers_->cancel(r.timer);
}

void membership_tracker::start()
{
    read(member_kind::agent);
    read(member_kind::balancer);
    run_check();
}

void membership_tracker::read(member_kind kind)
{
    reader& r = reader_of(kind);
    r.reading = true;
    const bool stale_allowed = r.reads > 0;
    const std::size_t restarts = restarts_;
    store_.list(
        kind, stale_allowed,
        [this, alive = alive_, kind, restarts](const result<record_list>& all)
        {
            if (!*alive)
                return;
            reader_of(kind).reading = false;
            // The answer may be older than the pause.
            if (restarts != restarts_)
                return read(kind);
            on_read(kind, all);
        });
}

void membership_tracker::on_read(member_kind kind,
                                 const result<record_list>& all)
{
    reader& r = reader_of(kind);
    const bool failed_before = std::exchange(r.failed, !all);
    if (!all)
    {
        counters_.add(membership_event::list_failed);
        if (!failed_before && on_lost)
            on_lost(kind, all.error());
        return schedule_read(kind, r.retry.next(*random_));
    }
    counters_.add(membership_event::list_read);
    r.retry.reset();
    schedule_read(kind, read_delay(++r.reads));
    view_.on_list(kind, all.value());
    remove_records(kind);
    send_due_hellos();
    report_change();
}

void membership_tracker::schedule_read(member_kind kind, duration delay)
{
    reader_of(kind).timer =
        timers_->schedule(delay, [this, kind] { read(kind); });
}

duration membership_tracker::read_delay(std::size_t reads)
{
    if (reads == 1)
        return options_.second_read;
    return options_.read_interval -
           random_duration(*random_, options_.read_interval / 5);
}

void membership_tracker::remove_records(member_kind kind)
{
    record_list records = view_.removable(kind, balancers());
    records.resize(std::min(records.size(), options_.max_removals));
    for (const membership_record& record : records)
        store_.remove(
            kind, record,
            [this, alive = alive_, kind, record](const result<void>& outcome)
            {
                if (!*alive)
                    return;
                counters_.add(outcome ? membership_event::record_removed
                                      : membership_event::removal_failed);
                if (outcome && on_removed)
                    on_removed(kind, record);
            });
}

void membership_tracker::send_due_hellos()
{
    const auto due = view_.take_hellos(options_.max_hellos);
    if (due.empty())
        return;
    counters_.add(membership_event::hello_sent, due.size());
    send_hellos(due);
}

void membership_tracker::run_check()
{
    pauses_.check();
    const duration running = pauses_.running_for();
    if (running < last_run_)
        restart();
    last_run_ = running;
    view_.check();
    send_due_hellos();
    report_change();
    check_timer_ =
        timers_->schedule(options_.check_interval, [this] { run_check(); });
}

/// Reads both kinds again, since records may have been written during a pause.
void membership_tracker::restart()
{
    ++restarts_;
    view_.restart();
    for (const member_kind kind : {member_kind::agent, member_kind::balancer})
    {
        reader& r = reader_of(kind);
        r.reads = 0;
        timers_->cancel(r.timer);
        if (!r.reading)
            read(kind);
    }
}

void membership_tracker::report_change()
{
    const bool confirmed = view_.confirmed();
    if (confirmed == confirmed_)
        return;
    confirmed_ = confirmed;
    if (on_change)
        on_change(confirmed);
}

} // namespace briarfield
