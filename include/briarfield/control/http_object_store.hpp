#ifndef BRIARFIELD_CONTROL_HTTP_OBJECT_STORE_HPP
#define BRIARFIELD_CONTROL_HTTP_OBJECT_STORE_HPP

#include "briarfield/control/object_store.hpp"
#include "briarfield/control/retry_policy.hpp"
#include "briarfield/core/counter_set.hpp"
#include "briarfield/net/http_client.hpp"

#include <memory>

namespace briarfield
{

/// \brief Calls to the object API and their failures, as counted in metrics.
enum class store_call : std::uint8_t
{
    list, ///< Counted once per page.
    read,
    create,
    update,
    update_status,
    remove,
    watch,
    over_budget, ///< Not sent: this instance's rate budget is exhausted.
    held_back,   ///< Not sent: the time of a Retry-After has not passed.
    rate_limited,
    unreachable,
    timed_out,
    outcome_unknown,
    count_
};

/// \brief Name of \a c in metrics.
std::string_view store_call_name(store_call c) noexcept;

/// \brief Limits of an \ref http_object_store.
struct http_object_store_options
{
    duration timeout = std::chrono::seconds(5); ///< Timeout of a call.
    /// A watch that receives no event or bookmark for this time has failed.
    duration watch_idle_timeout = std::chrono::seconds(45);
    unsigned page_size = 500;      ///< Objects per page of a list.
    double calls_per_second = 4.0; ///< Rate budget of this instance.
    double burst = 40.0;           ///< Calls that may be sent in a burst.
};

/// \brief Client of the object API: HTTP and JSON, Kubernetes conventions.
///
/// Paths are /apis/briarfield.dev/v1/[namespaces/TEAM/]PLURAL[/NAME[/status]];
/// metadata.resourceVersion carries the version. Each call is sent at most
/// once. Callers retry with \ref backoff, and use \ref write_confirmed for
/// writes whose response may be lost. After a response with status 429, no call
/// is sent until the time of its Retry-After header has passed. Watches must be
/// destroyed before the store; the handlers of calls in progress when the store
/// is destroyed are not called.
class http_object_store final : public object_store
{
public:
    http_object_store(event_loop& loop,
                      http_client::options connection,
                      http_object_store_options options = {});
    ~http_object_store() override { *alive_ = false; }
    http_object_store(const http_object_store&) = delete;
    http_object_store& operator=(const http_object_store&) = delete;

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

    const counter_set<store_call>& calls() const { return counters_; }

private:
    class http_watch;
    class list_request;

    using body_handler = std::function<void(result<std::string>)>;

    result<void> admit();
    void send(store_call kind, http_request request, body_handler done);
    void send_object(store_call kind,
                     http_request request,
                     handler<stored_object> done);
    result<std::string> read_response(bool is_write,
                                      result<http_response> response);
    error read_failure(const http_response& response, bool is_write);
    void apply_retry_after(const std::string& retry_after);
    void count_failure(errc code);

    event_loop* loop_;
    http_client client_;
    http_object_store_options options_;
    token_bucket budget_;
    counter_set<store_call> counters_;
    time_point no_calls_before_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace briarfield

#endif
