#include "platform_api.hpp"

#include "briarfield/control/object_json.hpp"

#include <algorithm>
#include <sstream>

namespace briarfield::standin
{

namespace
{

using json = nlohmann::json;

constexpr std::string_view prefix = "/apis/briarfield.dev/v1/";

std::vector<std::string> split(const std::string& text, char separator)
{
    std::vector<std::string> out;
    std::istringstream in(text);
    std::string word;
    while (std::getline(in, word, separator))
        out.push_back(word);
    return out;
}

std::string parameter(const std::string& query, const std::string& name)
{
    for (const std::string& pair : split(query, '&'))
        if (pair.rfind(name + "=", 0) == 0)
            return pair.substr(name.size() + 1);
    return {};
}

std::uint64_t number(const std::string& text)
{
    return std::strtoull(text.c_str(), nullptr, 10);
}

/// HTTP status and reason that report an error code.
struct status_row
{
    errc code;
    int status;
    const char* reason;
};

constexpr status_row status_rows[] = {
    {errc::store_not_found, 404, "NotFound"},
    {errc::store_conflict, 409, "Conflict"},
    {errc::store_already_exists, 409, "AlreadyExists"},
    {errc::store_history_compacted, 410, "Expired"},
    {errc::store_rate_limited, 429, "TooManyRequests"},
    {errc::object_invalid, 422, "Invalid"},
    {errc::object_unknown_field, 422, "Invalid"},
};

json status_of(const error& e, const status_row& row)
{
    return {{"kind", "Status"},
            {"status", "Failure"},
            {"message", e.detail},
            {"reason", row.reason},
            {"code", row.status}};
}

const status_row* row_of(errc code)
{
    for (const status_row& row : status_rows)
        if (row.code == code)
            return &row;
    return nullptr;
}

/// Replies with the error; closes the connection if it has no status row.
void reply_error(const http_responder& responder, const error& e)
{
    const status_row* row = row_of(e.code);
    if (row == nullptr)
        return responder.abort();
    if (e.code == errc::store_rate_limited)
        responder.set_header("retry-after:", "1");
    responder.reply(row->status, status_of(e, *row).dump());
}

object_store::handler<stored_object> replier(const http_responder& responder,
                                             int status)
{
    return [responder, status](const result<stored_object>& outcome)
    {
        if (!outcome)
            return reply_error(responder, outcome.error());
        responder.reply(status, object_to_json(outcome.value()).dump());
    };
}

std::string event_line(const watch_event& event)
{
    constexpr const char* names[] = {"ADDED", "MODIFIED", "DELETED",
                                     "BOOKMARK"};
    const json line = {{"type", names[static_cast<std::size_t>(event.type)]},
                       {"object", object_to_json(event.object)}};
    return line.dump() + "\n";
}

std::string error_line(const error& e)
{
    const status_row* row = row_of(e.code);
    return json({{"type", "ERROR"}, {"object", status_of(e, *row)}}).dump() +
           "\n";
}

} // namespace

/// The kind, object or status that a request path names.
struct platform_api::target
{
    object_key key; ///< The name is empty for a whole kind.
    bool status = false;

    static bool parse(const std::string& path, target& out)
    {
        if (path.rfind(prefix, 0) != 0)
            return false;
        auto parts = split(path.substr(prefix.size()), '/');
        if (parts.size() >= 3 && parts[0] == "namespaces")
        {
            out.key.team = parts[1];
            parts.erase(parts.begin(), parts.begin() + 2);
        }
        if (parts.empty() || parts.size() > 3)
            return false;
        const auto kind = object_kind_of_plural(parts[0]);
        if (!kind)
            return false;
        out.key.kind = *kind;
        out.key.name = parts.size() > 1 ? parts[1] : "";
        out.status = parts.size() == 3;
        return !out.status || parts[2] == "status";
    }
};

/// A watch and the connection on which its events are sent.
struct platform_api::stream
{
    http_responder responder;
    std::unique_ptr<object_store::watch> watch;
};

platform_api::platform_api(timer_queue& timers)
    : timers_(&timers), store_(timers, std::chrono::hours(1))
{
}

platform_api::~platform_api() = default;

result<std::unique_ptr<platform_api>>
platform_api::create(event_loop& loop, const endpoint& address)
{
    std::unique_ptr<platform_api> api(new platform_api(loop.timers()));
    auto server = http_server::create(
        loop, address,
        [raw = api.get()](const http_server_request& request,
                          const http_responder& responder)
        { raw->answer(request, responder); });
    if (!server)
        return fail(server.error().code, server.error().detail);
    api->server_ = std::move(server.value());
    return api;
}

void platform_api::answer(const http_server_request& request,
                          const http_responder& responder)
{
    drop_closed_streams();
    if (request.path.rfind("/debug/", 0) == 0)
        return answer_debug(request, responder);
    target t;
    if (!target::parse(request.path, t))
        return reply_error(responder, {errc::store_not_found, request.path});
    if (request.method == "POST" || request.method == "PUT")
        return write(t, request, responder);
    if (request.method == "DELETE")
        return remove(t, request, responder);
    if (!t.key.name.empty())
        return store_.get(t.key, replier(responder, 200));
    if (parameter(request.query, "watch") == "1")
        return watch(t, request.query, responder);
    list(t, request.query, responder);
}

void platform_api::answer_debug(const http_server_request& request,
                                const http_responder& responder)
{
    if (request.path == "/debug/faults")
    {
        const json wanted = json::parse(request.body, nullptr, false);
        if (!wanted.is_object())
            return reply_error(responder, {errc::object_invalid, "faults"});
        store_faults faults;
        faults.outage = wanted.value("outage", false);
        faults.delay = std::chrono::milliseconds(wanted.value("delay_ms", 0));
        faults.lost_answers = wanted.value("lost_answers", 0U);
        faults.repeat_events = wanted.value("repeat_events", false);
        faults.calls_per_second = wanted.value("calls_per_second", 0U);
        store_.set_faults(faults);
    }
    else if (request.path == "/debug/compact")
        store_.database().compact();
    else if (request.path == "/debug/end-watches")
        store_.end_watches();
    const store_calls& calls = store_.calls();
    const json counts = {{"reads", calls.reads},
                         {"writes", calls.writes},
                         {"watches", calls.watches},
                         {"open_watches", store_.open_watches()},
                         {"rate_limited", calls.rate_limited}};
    responder.reply(200, counts.dump());
}

void platform_api::list(const target& t,
                        const std::string& query,
                        const http_responder& responder)
{
    const std::string limit_text = parameter(query, "limit");
    const std::size_t limit =
        limit_text.empty() ? SIZE_MAX : number(limit_text);
    // The continue token "version.offset" gives the start of the page.
    const auto from = split(parameter(query, "continue"), '.');
    const std::size_t start = from.size() == 2 ? number(from[1]) : 0;
    const std::string first_version = from.size() == 2 ? from[0] : "";
    store_.list(
        t.key.kind,
        [=](result<object_list> outcome)
        {
            if (!outcome)
                return reply_error(responder, outcome.error());
            const object_list& all = outcome.value();
            const std::string version = std::to_string(all.version);
            if (!first_version.empty() && first_version != version)
                return reply_error(
                    responder, {errc::store_history_compacted, "list page"});
            json items = json::array();
            const std::size_t end =
                std::min(all.items.size(),
                         limit > SIZE_MAX - start ? SIZE_MAX : start + limit);
            for (std::size_t i = start; i < end; ++i)
                items.push_back(object_to_json(all.items[i]));
            json meta = {{"resourceVersion", version}};
            if (end < all.items.size())
                meta["continue"] = version + "." + std::to_string(end);
            responder.reply(200, json({{"kind", "List"},
                                       {"metadata", std::move(meta)},
                                       {"items", std::move(items)}})
                                     .dump());
        });
}

void platform_api::watch(const target& t,
                         const std::string& query,
                         const http_responder& responder)
{
    auto s = std::make_shared<stream>(stream{responder, nullptr});
    auto begun = std::make_shared<bool>(false);
    const auto begin = [responder, begun]
    {
        if (!*begun)
            responder.begin_stream(200);
        *begun = true;
    };
    s->watch = store_.start_watch(
        t.key.kind, number(parameter(query, "resourceVersion")),
        [responder, begin](const watch_event& event)
        {
            begin();
            responder.push(event_line(event));
        },
        [responder, begin](const error& e)
        {
            if (e.code == errc::store_rate_limited)
                return reply_error(responder, e);
            if (e.code == errc::store_unreachable)
                return responder.abort();
            begin();
            if (row_of(e.code) != nullptr)
                responder.push(error_line(e));
            responder.end_stream();
        });
    streams_.push_back(std::move(s));
}

void platform_api::write(const target& t,
                         const http_server_request& request,
                         const http_responder& responder)
{
    auto object = object_from_json(json::parse(request.body, nullptr, false));
    if (!object)
        return reply_error(responder, object.error());
    stored_object& wanted = object.value();
    wanted.key.kind = t.key.kind;
    wanted.key.team = t.key.team;
    if (request.method == "POST")
        return store_.create(wanted, replier(responder, 201));
    wanted.key.name = t.key.name;
    if (t.status)
        return store_.update_status(wanted, replier(responder, 200));
    store_.update(wanted, replier(responder, 200));
}

void platform_api::remove(const target& t,
                          const http_server_request& request,
                          const http_responder& responder)
{
    const json body = json::parse(request.body, nullptr, false);
    const json conditions = body.is_object()
                                ? body.value("preconditions", json::object())
                                : json::object();
    store_.remove(t.key, number(conditions.value("resourceVersion", "")),
                  [responder](const result<void>& outcome)
                  {
                      if (!outcome)
                          return reply_error(responder, outcome.error());
                      responder.reply(200, "{\"kind\":\"Status\"}");
                  });
}

void platform_api::drop_closed_streams()
{
    const auto closed = [](const std::shared_ptr<stream>& s)
    { return !s->responder.connected(); };
    streams_.erase(std::remove_if(streams_.begin(), streams_.end(), closed),
                   streams_.end());
}

} // namespace briarfield::standin
