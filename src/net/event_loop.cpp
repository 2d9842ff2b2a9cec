#include "briarfield/net/event_loop.hpp"

#include "lws_protocols.hpp"

#include <csignal>
#include <libwebsockets.h>
#include <spdlog/spdlog.h>
#include <sys/signalfd.h>
#include <unistd.h>

namespace briarfield
{

namespace
{

/// Interval of the timer while no call is scheduled.
constexpr std::chrono::microseconds idle_timer_interval{1000000};

/// Time libwebsockets waits for a response. Its default of 5 s is too short for
/// a watch, which takes up to 30 s; the HTTP client has a timer of its own for
/// each exchange.
constexpr unsigned response_timeout = 40; // Seconds.

void forward_lws_log(int level, const char* line)
{
    std::string_view text(line);
    while (!text.empty() && (text.back() == '\n' || text.back() == '\r'))
        text.remove_suffix(1);
    if ((level & LLL_ERR) != 0)
        spdlog::warn("event=lws text=\"{}\"", text);
}

} // namespace

/// libwebsockets timer that runs the calls of the timer queue.
struct event_loop::timer_hook
{
    lws_sorted_usec_list_t sul{};
    event_loop* loop = nullptr;

    static void fire(lws_sorted_usec_list_t* sul)
    {
        auto* hook = lws_container_of(sul, timer_hook, sul);
        const std::size_t ran = hook->loop->timers_.run_due();
        hook->loop->arm_timer();
        // Otherwise libwebsockets would continue to wait for a descriptor.
        if (ran > 0 && hook->loop->single_iteration_)
            lws_cancel_service(hook->loop->context_);
    }
};

int raw_file_callback(
    lws* wsi, lws_callback_reasons reason, void*, void*, std::size_t)
{
    if (reason == LWS_CALLBACK_RAW_RX_FILE)
    {
        auto* reader =
            static_cast<std::function<void()>*>(lws_get_opaque_user_data(wsi));
        if (reader != nullptr)
            (*reader)();
    }
    return 0;
}

event_loop::event_loop(const clock& c)
    : clock_(&c), timers_(c), hook_(std::make_unique<timer_hook>())
{
    hook_->loop = this;
}

result<std::unique_ptr<event_loop>> event_loop::create(const clock& c,
                                                       tls_support tls)
{
    lws_set_log_level(LLL_ERR, forward_lws_log);
    std::unique_ptr<event_loop> loop(new event_loop(c));
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = loop_protocols();
    // This virtual host only makes unencrypted connections. Loading the
    // system's certificate authorities would dominate the startup time.
    info.options = LWS_SERVER_OPTION_DISABLE_OS_CA_CERTS;
    if (tls == tls_support::on)
        info.options |= LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
    info.gid = -1;
    info.uid = -1;
    info.user = loop.get();
    info.vhost_name = "loop";
    info.timeout_secs = response_timeout;
    loop->context_ = lws_create_context(&info);
    if (loop->context_ == nullptr)
        return fail(errc::loop_failed,
                    "libwebsockets could not create a context");
    loop->timers_.on_reschedule = [raw = loop.get()] { raw->arm_timer(); };
    return loop;
}

event_loop::~event_loop()
{
    if (context_ == nullptr)
        return;
    lws_sul_cancel(&hook_->sul);
    lws_context_destroy(context_);
}

void event_loop::arm_timer()
{
    time_point due;
    lws_usec_t delay = idle_timer_interval.count();
    if (timers_.next_due(due))
    {
        const duration left = due - clock_->now();
        delay = std::max<lws_usec_t>(
            1, std::chrono::duration_cast<std::chrono::microseconds>(left)
                       .count() +
                   1);
    }
    lws_sul_schedule(context_, 0, &hook_->sul, timer_hook::fire, delay);
}

void event_loop::run_once()
{
    single_iteration_ = true;
    lws_service(context_, 0);
    single_iteration_ = false;
}

void event_loop::run()
{
    arm_timer();
    while (!stopping_)
        lws_service(context_, 0);
}

void event_loop::stop()
{
    stopping_ = true;
    lws_cancel_service(context_);
}

result<void> event_loop::adopt(int descriptor,
                               std::function<void()> on_readable)
{
    auto reader =
        std::make_unique<std::function<void()>>(std::move(on_readable));
    lws_sock_file_fd_type fd{};
    fd.filefd = descriptor;
    lws* wsi = lws_adopt_descriptor_vhost(
        lws_get_vhost_by_name(context_, "loop"), LWS_ADOPT_RAW_FILE_DESC, fd,
        raw_file_protocol_name, nullptr);
    if (wsi == nullptr)
        return fail(errc::loop_failed,
                    "libwebsockets could not adopt a file descriptor");
    lws_set_opaque_user_data(wsi, reader.get());
    readers_.push_back(std::move(reader));
    return ok();
}

result<void> event_loop::watch_signals(const std::vector<int>& numbers,
                                       std::function<void(int)> on_signal)
{
    sigset_t set;
    sigemptyset(&set);
    for (const int number : numbers)
        sigaddset(&set, number);
    sigprocmask(SIG_BLOCK, &set, nullptr);
    const int fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
    if (fd < 0)
        return fail(errc::socket_failed, "signalfd failed");
    return adopt(fd,
                 [fd, on_signal = std::move(on_signal)]
                 {
                     signalfd_siginfo info;
                     while (read(fd, &info, sizeof info) == sizeof info)
                         on_signal(static_cast<int>(info.ssi_signo));
                 });
}

} // namespace briarfield
