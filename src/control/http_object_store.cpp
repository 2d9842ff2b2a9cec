#include "briarfield/control/http_object_store.hpp"

#include "briarfield/control/object_json.hpp"

#include <algorithm>
#include <charconv>

namespace briarfield
{

namespace
{

using json = nlohmann::json;

constexpr std::string_view call_names[] = {
    "list",        "read",      "create",         "update",    "update_status",
    "remove",      "watch",     "over_budget",    "held_back", "rate_limited",
    "unreachable", "timed_out", "outcome_unknown"};
static_assert(std::size(call_names) ==
              static_cast<std::size_t>(store_call::count_));

constexpr std::string_view api_root = "/apis/briarfield.dev/v1/";
constexpr std::uint64_t max_retry_after = 60; // Seconds.
constexpr duration max_watch_duration = std::chrono::hours(24);
constexpr std::size_t max_line_size = std::size_t{1} << 21U; // Bytes.
constexpr std::size_t body_limit = std::size_t{1} << 25U;    // Bytes.

std::string kind_path(object_kind kind, const std::string& team)
{
    std::string path(api_root);
    if (!team.empty())
        path += "namespaces/" + team + "/";
    return path + std::string(object_kind_plural(kind));
}

std::string object_path(const object_key& key)
{
    return kind_path(key.kind, key.team) + "/" + key.name;
}

http_request request_of(const char* method, std::string path, const json& body)
{
    http_request request;
    request.method = method;
    request.path = std::move(path);
    request.headers = {{"content-type", "application/json"}};
    request.body = body.dump();
    return request;
}

bool is_write(store_call kind)
{
    return kind == store_call::create || kind == store_call::update ||
           kind == store_call::update_status || kind == store_call::remove;
}

/// Parses an object sent by the API; any error is a protocol error.
result<stored_object> read_object(const json& item)
{
    auto object = object_from_json(item);
    if (!object)
        return fail(errc::store_protocol, object.error().detail);
    return object;
}

/// Member \a name of \a from as text; empty if absent or not a string.
std::string text_of(const json& from, const char* name)
{
    if (!from.is_object())
        return {};
    const auto found = from.find(name);
    return found != from.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
}

std::uint64_t number_of(const std::string& text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

/// A page of a list.
struct list_page
{
    object_list content;
    std::string continue_token; ///< Of the next page; empty on the last page.
};

result<list_page> read_page(object_kind kind, const std::string& body)
{
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("items") ||
        !parsed["items"].is_array() || !parsed.contains("metadata"))
        return fail(errc::store_protocol, "malformed list");
    list_page page;
    page.content.version =
        number_of(text_of(parsed["metadata"], "resourceVersion"));
    page.continue_token = text_of(parsed["metadata"], "continue");
    for (json item : parsed["items"])
    {
        if (item.is_object() && !item.contains("kind"))
            item["kind"] = object_kind_name(kind);
        auto object = read_object(item);
        if (!object)
            return fail(object.error().code, object.error().detail);
        page.content.items.push_back(std::move(object.value()));
    }
    return page;
}

errc code_of_status(int status, const std::string& reason, bool write)
{
    switch (status)
    {
    case 400:
    case 422:
        return errc::object_invalid;
    case 401:
    case 403:
        return errc::store_refused;
    case 404:
        return errc::store_not_found;
    case 409:
        return reason == "AlreadyExists" ? errc::store_already_exists
                                         : errc::store_conflict;
    case 410:
        return errc::store_history_compacted;
    case 429:
        return errc::store_rate_limited;
    case 503:
        return errc::store_unreachable;
    default:
        break;
    }
    if (status >= 500)
        return write ? errc::store_outcome_unknown : errc::store_unreachable;
    return errc::store_protocol;
}

/// Error of a call without a response.
///
/// A write that timed out may have taken effect, so its outcome is unknown. For
/// a read, which has no effect, an unknown outcome is an unreachable store.
error error_without_response(error e, bool write)
{
    if (write && e.code == errc::store_timeout)
        e.code = errc::store_outcome_unknown;
    if (!write && e.code == errc::store_outcome_unknown)
        e.code = errc::store_unreachable;
    return e;
}

result<watch_event> read_event(const json& line)
{
    const std::string type = text_of(line, "type");
    if (!line.is_object() || !line.contains("object"))
        return fail(errc::store_protocol, "malformed watch event");
    const json& item = line["object"];
    watch_event event;
    if (type == "BOOKMARK")
    {
        event.type = watch_event_type::bookmark;
        event.object.version = number_of(
            text_of(item.value("metadata", json::object()), "resourceVersion"));
        return event;
    }
    if (type == "ADDED")
        event.type = watch_event_type::added;
    else if (type == "MODIFIED")
        event.type = watch_event_type::modified;
    else if (type == "DELETED")
        event.type = watch_event_type::deleted;
    else
        return fail(errc::store_protocol, "unknown watch event type " + type);
    auto object = read_object(item);
    if (!object)
        return fail(object.error().code, object.error().detail);
    event.object = std::move(object.value());
    return event;
}

} // namespace

std::string_view store_call_name(store_call c) noexcept
{
    return call_names[static_cast<std::size_t>(c)];
}

http_object_store::http_object_store(event_loop& loop,
                                     http_client::options connection,
                                     http_object_store_options options)
    : loop_(&loop), client_(loop, std::move(connection)), options_(options),
      budget_(options.calls_per_second, options.burst)
{
}

result<void> http_object_store::admit()
{
    const time_point now = loop_->timers().now();
    if (now < no_calls_before_)
    {
        counters_.add(store_call::held_back);
        return fail(errc::store_rate_limited,
                    "the Retry-After time of the API has not passed");
    }
    if (budget_.try_take(now))
        return ok();
    counters_.add(store_call::over_budget);
    return fail(errc::store_rate_limited,
                "the rate budget of this instance is exhausted");
}

void http_object_store::send(store_call kind,
                             http_request request,
                             body_handler done)
{
    auto admitted = admit();
    if (!admitted)
    {
        loop_->timers().schedule(
            duration(0),
            [alive = alive_, done = std::move(done), e = admitted.error()]
            {
                if (*alive)
                    done(e);
            });
        return;
    }
    counters_.add(kind);
    request.timeout = options_.timeout;
    request.body_limit = body_limit;
    client_.start(
        std::move(request),
        [this, kind, alive = alive_,
         done = std::move(done)](result<http_response> response)
        {
            if (*alive)
                done(read_response(is_write(kind), std::move(response)));
        });
}

result<std::string>
http_object_store::read_response(bool write, result<http_response> response)
{
    if (!response)
    {
        error e = error_without_response(response.error(), write);
        count_failure(e.code);
        return e;
    }
    http_response& r = response.value();
    if (r.status >= 200 && r.status < 300)
        return std::move(r.body);
    return read_failure(r, write);
}

error http_object_store::read_failure(const http_response& response, bool write)
{
    const json body = json::parse(response.body, nullptr, false);
    const errc code =
        code_of_status(response.status, text_of(body, "reason"), write);
    if (code == errc::store_rate_limited)
        apply_retry_after(response.retry_after);
    count_failure(code);
    const std::string message = text_of(body, "message");
    return {code, message.empty()
                      ? "HTTP status " + std::to_string(response.status)
                      : message};
}

void http_object_store::apply_retry_after(const std::string& retry_after)
{
    const std::uint64_t seconds = std::clamp<std::uint64_t>(
        number_of(retry_after), std::uint64_t{1}, max_retry_after);
    no_calls_before_ = loop_->timers().now() + std::chrono::seconds(seconds);
}

void http_object_store::count_failure(errc code)
{
    switch (code)
    {
    case errc::store_rate_limited:
        return counters_.add(store_call::rate_limited);
    case errc::store_unreachable:
        return counters_.add(store_call::unreachable);
    case errc::store_timeout:
        return counters_.add(store_call::timed_out);
    case errc::store_outcome_unknown:
        return counters_.add(store_call::outcome_unknown);
    default:
        return;
    }
}

void http_object_store::send_object(store_call kind,
                                    http_request request,
                                    handler<stored_object> done)
{
    send(kind, std::move(request),
         [done = std::move(done)](const result<std::string>& body)
         {
             if (!body)
                 return done(body.error());
             done(read_object(json::parse(body.value(), nullptr, false)));
         });
}

/// Reads the pages of a list in sequence.
class http_object_store::list_request
    : public std::enable_shared_from_this<list_request>
{
public:
    list_request(http_object_store& store,
                 object_kind kind,
                 handler<object_list> done)
        : store_(&store), kind_(kind), done_(std::move(done)),
          limit_(store.options_.page_size)
    {
    }

    void fetch(const std::string& token)
    {
        http_request request;
        request.path = kind_path(kind_, "");
        if (limit_ != 0)
            request.path += "?limit=" + std::to_string(limit_);
        if (!token.empty())
            request.path += "&continue=" + token;
        store_->send(
            store_call::list, std::move(request),
            [self = shared_from_this()](const result<std::string>& body)
            { self->on_page(body); });
    }

private:
    void on_page(const result<std::string>& body)
    {
        if (!body && body.error().code == errc::store_history_compacted &&
            limit_ != 0)
            return fetch_without_pages();
        if (!body)
            return done_(body.error());
        auto page = read_page(kind_, body.value());
        if (!page)
            return done_(page.error());
        append(std::move(page.value().content));
        if (page.value().continue_token.empty())
            return done_(std::move(list_));
        fetch(page.value().continue_token);
    }

    /// Restarts without paging after the version of the pages was compacted.
    void fetch_without_pages()
    {
        limit_ = 0;
        list_ = {};
        fetch("");
    }

    void append(object_list page)
    {
        if (list_.items.empty())
            list_.version = page.version;
        std::move(page.items.begin(), page.items.end(),
                  std::back_inserter(list_.items));
    }

    http_object_store* store_;
    object_kind kind_;
    handler<object_list> done_;
    unsigned limit_;
    object_list list_;
};

void http_object_store::list(object_kind kind, handler<object_list> done)
{
    std::make_shared<list_request>(*this, kind, std::move(done))->fetch("");
}

void http_object_store::get(const object_key& key, handler<stored_object> done)
{
    http_request request;
    request.path = object_path(key);
    send_object(store_call::read, std::move(request), std::move(done));
}

void http_object_store::create(const stored_object& object,
                               handler<stored_object> done)
{
    send_object(store_call::create,
                request_of("POST", kind_path(object.key.kind, object.key.team),
                           object_to_json(object)),
                std::move(done));
}

void http_object_store::update(const stored_object& object,
                               handler<stored_object> done)
{
    send_object(
        store_call::update,
        request_of("PUT", object_path(object.key), object_to_json(object)),
        std::move(done));
}

void http_object_store::update_status(const stored_object& object,
                                      handler<stored_object> done)
{
    send_object(store_call::update_status,
                request_of("PUT", object_path(object.key) + "/status",
                           object_to_json(object)),
                std::move(done));
}

void http_object_store::remove(const object_key& key,
                               std::uint64_t version,
                               handler<void> done)
{
    const json conditions = {{"resourceVersion", std::to_string(version)}};
    send(store_call::remove,
         request_of("DELETE", object_path(key),
                    {{"kind", "DeleteOptions"},
                     {"apiVersion", "v1"},
                     {"preconditions", conditions}}),
         [done = std::move(done)](const result<std::string>& body)
         {
             if (!body)
                 return done(body.error());
             done(ok());
         });
}

/// Reads the events of a watch, one per line. The destructor closes the
/// connection.
class http_object_store::http_watch final : public object_store::watch
{
public:
    http_watch(http_object_store& store,
               std::function<void(const watch_event&)> on_event,
               std::function<void(error)> on_end)
        : store_(&store), on_event_(std::move(on_event)),
          on_end_(std::move(on_end)), alive_(std::make_shared<bool>(true))
    {
    }

    ~http_watch() override
    {
        *alive_ = false;
        stop();
    }

    http_watch(const http_watch&) = delete;
    http_watch& operator=(const http_watch&) = delete;

    void connect(std::string path)
    {
        auto admitted = store_->admit();
        if (!admitted)
            return end_later(admitted.error());
        store_->counters_.add(store_call::watch);
        http_request request;
        request.path = std::move(path);
        request.timeout = max_watch_duration;
        restart_idle_timer();
        exchange_ = store_->client_.start(
            std::move(request),
            [this](const result<http_response>& response)
            { on_done(response); },
            [this](std::string_view chunk) { on_chunk(chunk); });
    }

private:
    void on_chunk(std::string_view chunk)
    {
        restart_idle_timer();
        buffer_.append(chunk);
        const auto alive = alive_;
        std::size_t start = 0;
        for (auto end = buffer_.find('\n'); end != std::string::npos;
             end = buffer_.find('\n', start))
        {
            const std::string line = buffer_.substr(start, end - start);
            start = end + 1;
            if (!line.empty())
                on_line(line);
            if (!*alive || !on_end_)
                return;
        }
        buffer_.erase(0, start);
        if (buffer_.size() > max_line_size)
            end({errc::store_protocol, "a watch event is too large"});
    }

    void on_line(const std::string& line)
    {
        const json parsed = json::parse(line, nullptr, false);
        if (text_of(parsed, "type") == "ERROR")
            return end(read_error(parsed));
        auto event = read_event(parsed);
        if (!event)
            return end(event.error());
        on_event_(event.value());
    }

    static error read_error(const json& line)
    {
        const json status = line.value("object", json::object());
        const int code = status.is_object() ? status.value("code", 0) : 0;
        return {code_of_status(code, text_of(status, "reason"), false),
                text_of(status, "message")};
    }

    /// The response has ended: the watch was rejected, has failed or has ended.
    void on_done(const result<http_response>& response)
    {
        exchange_.reset();
        if (!response)
        {
            const error e = error_without_response(response.error(), false);
            store_->count_failure(e.code);
            return end(e);
        }
        if (response.value().status != 200)
        {
            // The body of the response was passed to on_chunk().
            http_response rejection = response.value();
            rejection.body = buffer_;
            return end(store_->read_failure(rejection, false));
        }
        end({errc::ok, "the watch ended"});
    }

    void restart_idle_timer()
    {
        timer_queue& timers = store_->loop_->timers();
        timers.cancel(idle_timer_);
        idle_timer_ = timers.schedule(
            store_->options_.watch_idle_timeout,
            [this]
            {
                store_->count_failure(errc::store_timeout);
                end({errc::store_timeout,
                     "no watch event or bookmark within the idle timeout"});
            });
    }

    void end_later(const error& reason)
    {
        idle_timer_ = store_->loop_->timers().schedule(
            duration(0), [this, reason] { end(reason); });
    }

    void end(const error& reason)
    {
        stop();
        const auto on_end = std::move(on_end_);
        on_end_ = {};
        if (on_end)
            on_end(reason);
    }

    void stop()
    {
        store_->loop_->timers().cancel(idle_timer_);
        idle_timer_ = 0;
        http_client::abandon(exchange_);
        exchange_.reset();
    }

    http_object_store* store_;
    std::function<void(const watch_event&)> on_event_;
    std::function<void(error)> on_end_;
    std::shared_ptr<bool> alive_;
    http_client::exchange_ptr exchange_;
    std::string buffer_;
    timer_id idle_timer_ = 0;
};

std::unique_ptr<object_store::watch>
http_object_store::start_watch(object_kind kind,
                               std::uint64_t version,
                               std::function<void(const watch_event&)> on_event,
                               std::function<void(error)> on_end)
{
    auto new_watch = std::make_unique<http_watch>(*this, std::move(on_event),
                                                  std::move(on_end));
    new_watch->connect(kind_path(kind, "") +
                       "?watch=1&allowWatchBookmarks=true&resourceVersion=" +
                       std::to_string(version));
    return new_watch;
}

} // namespace briarfield
