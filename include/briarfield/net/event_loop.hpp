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

/// \brief Whether connections of a loop can use TLS.
///
/// Initializing OpenSSL takes megabytes of memory and milliseconds at startup.
enum class tls_support : std::uint8_t
{
    off,
    on
};

/// \brief Event loop of a process, based on libwebsockets.
///
/// A process has one loop, which runs on one thread. It handles file
/// descriptors, HTTP connections and the runtime's timers. Sockets, servers and
/// clients that use a loop must be destroyed before it.
class event_loop
{
public:
    /// \brief Creates a loop whose timers use \a c.
    ///
    /// Errors: errc::loop_failed.
    static result<std::unique_ptr<event_loop>>
    create(const clock& c, tls_support tls = tls_support::on);

    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// \brief Runs until \ref stop is called.
    void run();

    /// \brief Waits for the next event or timer, handles it and returns.
    void run_once();

    /// \brief Makes \ref run return after the current iteration.
    void stop();

    timer_queue& timers() { return timers_; }

    /// \brief The libwebsockets context, owned by the loop.
    lws_context* native() const { return context_; }

    /// \brief Takes ownership of \a descriptor and calls \a on_readable
    /// whenever it is readable.
    ///
    /// The descriptor is closed when the loop is destroyed. Errors:
    /// errc::loop_failed.
    result<void> adopt(int descriptor, std::function<void()> on_readable);

    /// \brief Calls \a on_signal whenever a signal in \a numbers arrives.
    ///
    /// Blocks the normal delivery of these signals.
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
    bool single_iteration_ = false; ///< Return after the first event.
};

} // namespace briarfield

#endif
