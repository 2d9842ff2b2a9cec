#ifndef BRIARFIELD_TEST_SUPPORT_STORE_SETUP_HPP
#define BRIARFIELD_TEST_SUPPORT_STORE_SETUP_HPP

#include "fake_object_store.hpp"

#include "../../standin/platform_api.hpp"
#include "briarfield/control/http_object_store.hpp"

#include <optional>
#include <stdexcept>

namespace briarfield::test
{

/// An object store under test and the platform that it uses.
class store_setup
{
public:
    virtual ~store_setup() = default;
    virtual object_store& store() = 0;
    virtual standin::memory_object_store& platform() = 0;
    virtual timer_queue& timers() = 0;

    /// Runs timers and I/O until \a reached returns true.
    virtual void run_until(const std::function<bool()>& reached) = 0;

    /// Makes a call and waits for its result.
    template <class T, class Call>
    result<T> wait(Call call)
    {
        std::optional<result<T>> outcome;
        call([&outcome](result<T> r) { outcome.emplace(std::move(r)); });
        run_until([&outcome] { return outcome.has_value(); });
        return std::move(*outcome);
    }

    result<object_list> list(object_kind kind)
    {
        return wait<object_list>([&](auto h) { store().list(kind, h); });
    }
    result<stored_object> get(const object_key& key)
    {
        return wait<stored_object>([&](auto h) { store().get(key, h); });
    }
    result<stored_object> create(const stored_object& o)
    {
        return wait<stored_object>([&](auto h) { store().create(o, h); });
    }
    result<stored_object> update(const stored_object& o)
    {
        return wait<stored_object>([&](auto h) { store().update(o, h); });
    }
    result<stored_object> update_status(const stored_object& o)
    {
        return wait<stored_object>([&](auto h)
                                   { store().update_status(o, h); });
    }
    result<void> remove(const object_key& key, std::uint64_t version)
    {
        return wait<void>([&](auto h) { store().remove(key, version, h); });
    }
};

/// The store in memory, on a manual clock.
class memory_setup final : public store_setup
{
public:
    object_store& store() override { return store_; }
    standin::memory_object_store& platform() override { return store_; }
    timer_queue& timers() override { return timers_; }

    void run_until(const std::function<bool()>& reached) override
    {
        while (!reached())
        {
            time_point due;
            if (!timers_.next_due(due))
                throw std::runtime_error("no timer is scheduled");
            if (due > clock_.now())
                clock_.advance(due - clock_.now());
            timers_.run_due();
        }
    }

private:
    manual_clock clock_;
    timer_queue timers_{clock_};
    standin::memory_object_store store_{timers_};
};

/// The HTTP client and the platform's HTTP server in one process.
class http_setup final : public store_setup
{
public:
    explicit http_setup(http_object_store_options options = {})
        : loop_(std::move(event_loop::create(clock_).value())),
          api_(std::move(
              standin::platform_api::create(*loop_, loopback()).value())),
          store_(std::make_unique<http_object_store>(
              *loop_, connection(api_->port()), options))
    {
    }

    object_store& store() override { return *store_; }
    http_object_store& client() { return *store_; }
    standin::memory_object_store& platform() override { return api_->store(); }
    timer_queue& timers() override { return loop_->timers(); }
    event_loop& loop() { return *loop_; }

    /// Throws after 60 s, which only a hang can reach.
    void run_until(const std::function<bool()>& reached) override
    {
        bool hung = false;
        const timer_id guard = timers().schedule(std::chrono::seconds(60),
                                                 [&hung] { hung = true; });
        while (!reached() && !hung)
            loop_->run_once();
        timers().cancel(guard);
        if (hung)
            throw std::runtime_error("no result within 60 s");
    }

private:
    static endpoint loopback()
    {
        return endpoint::parse("127.0.0.1:0").value();
    }

    static http_client::options connection(std::uint16_t port)
    {
        http_client::options o;
        o.host = "127.0.0.1";
        o.port = port;
        return o;
    }

    steady_clock clock_;
    std::unique_ptr<event_loop> loop_;
    std::unique_ptr<standin::platform_api> api_;
    std::unique_ptr<http_object_store> store_;
};

/// A Service object with one address.
inline stored_object service_object(const std::string& team,
                                    const std::string& name,
                                    int port = 2101)
{
    stored_object o;
    o.key = {object_kind::service, team, name};
    o.spec = {{"addresses",
               {{{"address", "198.51.100.10"},
                 {"port", port},
                 {"protocol", "tcp"}}}}};
    return o;
}

} // namespace briarfield::test

#endif
