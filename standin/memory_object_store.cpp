#include "memory_object_store.hpp"

#include <algorithm>

namespace briarfield::standin
{

namespace
{

constexpr duration bookmark_interval = std::chrono::seconds(10);

} // namespace

/// The store's record of a watch; the handlers are empty once it has ended.
struct memory_object_store::watch_state
{
    object_kind kind;
    std::function<void(const watch_event&)> on_event;
    std::function<void(error)> on_end;
};

/// Handle of a watch that its owner holds; destroying it ends the watch.
class memory_object_store::open_watch final : public object_store::watch
{
public:
    open_watch(memory_object_store& store, std::shared_ptr<watch_state> state)
        : store_(&store), state_(std::move(state))
    {
    }

    ~open_watch() override
    {
        state_->on_event = {};
        state_->on_end = {};
        store_->remove_watch(state_.get());
    }

    open_watch(const open_watch&) = delete;
    open_watch& operator=(const open_watch&) = delete;

private:
    memory_object_store* store_;
    std::shared_ptr<watch_state> state_;
};

memory_object_store::memory_object_store(timer_queue& timers,
                                         duration caller_timeout)
    : timers_(&timers), caller_timeout_(caller_timeout)
{
    database_.on_event = [this](const watch_event& event) { deliver(event); };
}

memory_object_store::~memory_object_store() = default;

bool memory_object_store::over_limit()
{
    if (faults_.calls_per_second == 0)
        return false;
    if (timers_->now() - second_start_ >= std::chrono::seconds(1))
    {
        second_start_ = timers_->now();
        calls_this_second_ = 0;
    }
    if (++calls_this_second_ <= faults_.calls_per_second)
        return false;
    ++calls_.rate_limited;
    return true;
}

template <class T>
void memory_object_store::call(bool is_write,
                               handler<T> done,
                               std::function<result<T>()> operation)
{
    ++(is_write ? calls_.writes : calls_.reads);
    const bool limited = over_limit();
    const bool late = faults_.delay > caller_timeout_;
    const bool lost = is_write && faults_.lost_answers > 0;
    if (lost)
        --faults_.lost_answers;
    const error no_answer(is_write ? errc::store_outcome_unknown
                                   : errc::store_timeout,
                          "no answer");
    if (late)
        timers_->schedule(caller_timeout_,
                          [done, no_answer] { done(no_answer); });
    timers_->schedule(
        faults_.delay,
        [this, done = std::move(done), operation = std::move(operation),
         limited, late, lost, no_answer]
        {
            result<T> outcome =
                faults_.outage ? fail(errc::store_unreachable, "outage")
                : limited ? fail(errc::store_rate_limited, "too many calls")
                          : operation();
            if (!late)
                done(lost ? result<T>(no_answer) : std::move(outcome));
        });
}

void memory_object_store::list(object_kind kind, handler<object_list> done)
{
    call<object_list>(false, std::move(done),
                      [this, kind]() -> result<object_list>
                      { return database_.list(kind); });
}

void memory_object_store::get(const object_key& key,
                              handler<stored_object> done)
{
    call<stored_object>(false, std::move(done),
                        [this, key] { return database_.get(key); });
}

void memory_object_store::create(const stored_object& object,
                                 handler<stored_object> done)
{
    call<stored_object>(true, std::move(done),
                        [this, object] { return database_.create(object); });
}

void memory_object_store::update(const stored_object& object,
                                 handler<stored_object> done)
{
    call<stored_object>(true, std::move(done),
                        [this, object] { return database_.update(object); });
}

void memory_object_store::update_status(const stored_object& object,
                                        handler<stored_object> done)
{
    call<stored_object>(true, std::move(done),
                        [this, object]
                        { return database_.update_status(object); });
}

void memory_object_store::remove(const object_key& key,
                                 std::uint64_t version,
                                 handler<void> done)
{
    call<void>(true, std::move(done),
               [this, key, version] { return database_.remove(key, version); });
}

std::unique_ptr<object_store::watch> memory_object_store::start_watch(
    object_kind kind,
    std::uint64_t version,
    std::function<void(const watch_event&)> on_event,
    std::function<void(error)> on_end)
{
    ++calls_.watches;
    auto state = std::make_shared<watch_state>(
        watch_state{kind, std::move(on_event), std::move(on_end)});
    auto missed = database_.events_after(kind, version);
    if (faults_.outage)
        send_end(state, {errc::store_unreachable, "outage"});
    else if (over_limit())
        send_end(state, {errc::store_rate_limited, "too many calls"});
    else if (!missed)
        send_end(state, missed.error());
    else
    {
        for (watch_event& event : missed.value())
            send_event(state, std::move(event));
        watches_.push_back(state);
        repeat_bookmark(state);
    }
    return std::make_unique<open_watch>(*this, std::move(state));
}

void memory_object_store::set_faults(const store_faults& faults)
{
    faults_ = faults;
    if (faults_.outage)
        end_watches(errc::store_unreachable);
}

void memory_object_store::end_watches(errc reason)
{
    const auto ended = std::move(watches_);
    watches_.clear();
    for (const auto& w : ended)
        send_end(w, {reason, "the watch ended"});
}

void memory_object_store::deliver(const watch_event& event)
{
    for (const auto& w : watches_)
    {
        if (w->kind != event.object.key.kind)
            continue;
        send_event(w, event);
        if (!faults_.repeat_events)
            continue;
        send_event(w, event);
        const watch_event* old = database_.oldest_event();
        if (old != nullptr && old->object.key.kind == w->kind)
            send_event(w, *old);
    }
}

void memory_object_store::send_event(const std::shared_ptr<watch_state>& w,
                                     watch_event event)
{
    timers_->schedule(faults_.delay,
                      [w, event = std::move(event)]
                      {
                          if (w->on_event)
                              w->on_event(event);
                      });
}

void memory_object_store::send_end(const std::shared_ptr<watch_state>& w,
                                   error reason)
{
    timers_->schedule(faults_.delay,
                      [w, reason = std::move(reason)]
                      {
                          const auto on_end = std::move(w->on_end);
                          w->on_event = {};
                          w->on_end = {};
                          if (on_end)
                              on_end(reason);
                      });
}

void memory_object_store::repeat_bookmark(const std::shared_ptr<watch_state>& w)
{
    timers_->schedule(bookmark_interval,
                      [this, weak = std::weak_ptr<watch_state>(w)]
                      {
                          const auto still_open = weak.lock();
                          if (still_open == nullptr || !still_open->on_event)
                              return;
                          watch_event bookmark;
                          bookmark.object.key.kind = still_open->kind;
                          bookmark.object.version = database_.version();
                          still_open->on_event(bookmark);
                          repeat_bookmark(still_open);
                      });
}

void memory_object_store::remove_watch(const watch_state* w)
{
    const auto same = [w](const std::shared_ptr<watch_state>& other)
    { return other.get() == w; };
    watches_.erase(std::remove_if(watches_.begin(), watches_.end(), same),
                   watches_.end());
}

} // namespace briarfield::standin
