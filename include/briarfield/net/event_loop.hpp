#ifndef BRIARFIELD_NET_EVENT_LOOP_HPP
#define BRIARFIELD_NET_EVENT_LOOP_HPP

#include "briarfield/core/clock.hpp"
#include "briarfield/core/error.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

struct lws_context;

namespace briarfield
{

/// \brief Whether a loop can carry TLS. OpenSSL costs megabytes and
/// milliseconds at the start.
enum class tls_support : std::uint8_t
{
    off,
    on
};

/// \brief The one loop on the one thread of a process, over libwebsockets.
///
/// Runs descriptors, HTTP connections and the runtime's timers. Everything
/// that hangs on a loop must be destroyed before it.
class event_loop
{
public:
    /// \brief Makes a loop whose timers run on \a c.
    ///
    /// Errors: errc::loop_failed.
    static result<std::unique_ptr<event_loop>>
    create(const clock& c, tls_support tls = tls_support::on);

    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// \brief Runs until \ref stop is called.
    void run();

    /// \brief One turn: waits for the next event or timer and handles it.
    void run_once();

    /// \brief Makes \ref run return after the present turn.
    void stop();

    timer_queue& timers() { return timers_; }

    lws_context* native() const { return context_; }

    /// \brief Calls \a on_readable whenever \a descriptor can be read.
    ///
    /// The loop owns the descriptor from here on, and closes it when the loop
    /// is destroyed. Errors: errc::loop_failed.
    result<void> adopt(int descriptor, std::function<void()> on_readable);

    /// \brief Calls \a on_signal for each signal of \a numbers.
    ///
    /// Errors: errc::socket_failed, errc::loop_failed.
    result<void> watch_signals(const std::vector<int>& numbers,
                               std::function<void(int)> on_signal);

private:
    struct timer_hook;

    explicit event_loop(const clock& c);
    void arm_timer();

    const clock* clock_;
    timer_queue timers_;
    lws_context* context_ = nullptr;
    std::unique_ptr<timer_hook> hook_;
    std::vector<std::unique_ptr<std::function<void()>>> readers_;
    bool stopping_ = false;
    bool single_turn_ = false; ///< Return after the first timer or event.
};

} // namespace briarfield

#endif
