#ifndef BRIARFIELD_STANDIN_MEMORY_OBJECT_STORE_HPP
#define BRIARFIELD_STANDIN_MEMORY_OBJECT_STORE_HPP

#include "object_database.hpp"

#include "briarfield/core/clock.hpp"

#include <memory>
#include <vector>

namespace briarfield::standin
{

/// Faults of the platform's object API that tests can inject.
struct store_faults
{
    bool outage = false;           ///< Calls fail and watches end.
    duration delay{0};             ///< Before each call takes effect.
    unsigned lost_answers = 0;     ///< Next writes that get no reply.
    bool repeat_events = false;    ///< Sends each event twice, then an old one.
    unsigned calls_per_second = 0; ///< Further calls are rejected; 0: no limit.
};

/// Numbers of calls that reached the store, including rejected ones.
struct store_calls
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0; ///< Started.
    std::uint64_t rate_limited = 0;
};

/// An object store in memory with injectable faults.
class memory_object_store final : public object_store
{
public:
    /// \param caller_timeout A call with a longer delay fails after this time
    /// although it may still take effect, as for a client over the network.
    explicit memory_object_store(
        timer_queue& timers, duration caller_timeout = std::chrono::seconds(5));

    /// Watches must be destroyed before the store.
    ~memory_object_store() override;

    void list(object_kind kind, handler<object_list> done) override;
    void get(const object_key& key, handler<stored_object> done) override;
    void create(const stored_object& object,
                handler<stored_object> done) override;
    void update(const stored_object& object,
                handler<stored_object> done) override;
    void update_status(const stored_object& object,
                       handler<stored_object> done) override;
    void remove(const object_key& key,
                std::uint64_t version,
                handler<void> done) override;
    std::unique_ptr<watch>
    start_watch(object_kind kind,
                std::uint64_t version,
                std::function<void(const watch_event&)> on_event,
                std::function<void(error)> on_end) override;

    /// Replaces the injected faults; an outage ends all watches.
    void set_faults(const store_faults& faults);
    const store_faults& faults() const { return faults_; }

    /// Ends all watches, as the platform does occasionally.
    void end_watches(errc reason = errc::ok);

    object_database& database() { return database_; }
    const store_calls& calls() const { return calls_; }
    std::size_t open_watches() const { return watches_.size(); }

private:
    class open_watch;
    struct watch_state;

    template <class T>
    void
    call(bool is_write, handler<T> done, std::function<result<T>()> operation);
    bool over_limit();
    void deliver(const watch_event& event);
    void send_event(const std::shared_ptr<watch_state>& w, watch_event event);
    void send_end(const std::shared_ptr<watch_state>& w, error reason);
    void repeat_bookmark(const std::shared_ptr<watch_state>& w);
    void remove_watch(const watch_state* w);

    timer_queue* timers_;
    duration caller_timeout_;
    object_database database_;
    store_faults faults_;
    store_calls calls_;
    std::vector<std::shared_ptr<watch_state>> watches_;
    time_point second_start_{};
    unsigned calls_this_second_ = 0;
};

} // namespace briarfield::standin

#endif
