#ifndef BRIARFIELD_BENCH_SERVER_MODEL_HPP
#define BRIARFIELD_BENCH_SERVER_MODEL_HPP

#include "briarfield/core/clock.hpp"
#include "briarfield/core/random.hpp"

#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <vector>

namespace briarfield::bench
{

/// Runs scheduled calls in time order and advances a manual clock to them.
class event_queue
{
public:
    explicit event_queue(manual_clock& c) : clock_(&c) {}

    void at(time_point when, std::function<void()> call)
    {
        events_.push({when, ++serial_, std::move(call)});
    }

    void after(double seconds, std::function<void()> call)
    {
        at(clock_->now() + to_duration(seconds), std::move(call));
    }

    void run_until(time_point end)
    {
        while (!events_.empty() && events_.top().when <= end)
        {
            event e = std::move(const_cast<event&>(events_.top()));
            events_.pop();
            clock_->advance(e.when - clock_->now());
            e.call();
        }
        clock_->advance(end - clock_->now());
    }

    time_point now() const { return clock_->now(); }

    static duration to_duration(double seconds)
    {
        return duration(static_cast<std::int64_t>(seconds * 1e9));
    }

private:
    struct event
    {
        time_point when;
        std::uint64_t serial = 0;
        std::function<void()> call;

        bool operator<(const event& other) const
        {
            return when != other.when ? other.when < when
                                      : other.serial < serial;
        }
    };

    manual_clock* clock_;
    std::priority_queue<event> events_;
    std::uint64_t serial_ = 0;
};

/// Returns a random number of the exponential distribution with this mean.
inline double exponential(random_source& random, double mean)
{
    return -mean * std::log(1 - random.unit());
}

/// A simulated backend server with slots, a FIFO queue and a service time.
class server_model
{
public:
    server_model(event_queue& events, unsigned slots, double service_s)
        : events_(&events), slots_(slots), service_s_(service_s)
    {
    }

    /// Runs a unit of work of relative \a size, then calls \a done.
    void submit(double size, std::function<void()> done)
    {
        offered_s_ += size * service_s_;
        queue_.push_back({size, std::move(done)});
        start_next();
    }

    void set_service_time(double seconds) { service_s_ = seconds; }
    void set_slots(unsigned slots)
    {
        slots_ = slots;
        start_next();
    }

    /// Units per second at full utilisation.
    double capacity() const { return slots_ / service_s_; }

    unsigned slots() const { return slots_; }
    std::size_t queued() const { return queue_.size(); }
    unsigned running() const { return running_; }

    /// Total work submitted so far, in seconds of one slot.
    double offered_s() const { return offered_s_; }

private:
    struct unit
    {
        double size;
        std::function<void()> done;
    };

    void start_next()
    {
        while (running_ < slots_ && !queue_.empty())
        {
            unit u = std::move(queue_.front());
            queue_.pop_front();
            ++running_;
            events_->after(u.size * service_s_,
                           [this, done = std::move(u.done)]
                           {
                               --running_;
                               done();
                               start_next();
                           });
        }
    }

    event_queue* events_;
    unsigned slots_;
    double service_s_;
    unsigned running_ = 0;
    double offered_s_ = 0;
    std::deque<unit> queue_;
};

} // namespace briarfield::bench

#endif
