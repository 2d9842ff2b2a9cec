#include "briarfield/net/http_server.hpp"

#include <cstring>
#include <deque>
#include <libwebsockets.h>
#include <utility>
#include <vector>

namespace briarfield
{

namespace
{

constexpr std::size_t body_limit = 1U << 21U; // Bytes of a request's body.
constexpr std::size_t header_limit = 1024;    // Bytes of a response's header.
constexpr const char* protocol_name = "http";

std::string header_value(lws* wsi, lws_token_indexes token)
{
    const int size = lws_hdr_total_length(wsi, token);
    if (size <= 0)
        return {};
    std::string value(static_cast<std::size_t>(size) + 1, '\0');
    lws_hdr_copy(wsi, value.data(), size + 1, token);
    value.resize(static_cast<std::size_t>(size));
    return value;
}

std::string query_of(lws* wsi)
{
    std::string query;
    char argument[1024];
    for (int i = 0; lws_hdr_copy_fragment(wsi, argument, sizeof argument,
                                          WSI_TOKEN_HTTP_URI_ARGS, i) > 0;
         ++i)
    {
        if (i > 0)
            query += '&';
        query += argument;
    }
    return query;
}

std::string method_of(lws* wsi)
{
    if (lws_hdr_total_length(wsi, WSI_TOKEN_POST_URI) > 0)
        return "POST";
    if (lws_hdr_total_length(wsi, WSI_TOKEN_PUT_URI) > 0)
        return "PUT";
    if (lws_hdr_total_length(wsi, WSI_TOKEN_PATCH_URI) > 0)
        return "PATCH";
    if (lws_hdr_total_length(wsi, WSI_TOKEN_DELETE_URI) > 0)
        return "DELETE";
    return "GET";
}

} // namespace

struct http_responder::state
{
    lws* wsi = nullptr; ///< Null once the connection has closed.
    http_server_request request;
    bool started = false;
    bool header_sent = false;
    bool streaming = false;
    bool ended = false;
    bool aborted = false;
    int status = 0;
    std::string content_type;
    std::vector<std::pair<std::string, std::string>> headers;
    std::deque<std::string> chunks;

    void request_write() const
    {
        if (wsi != nullptr)
            lws_callback_on_writable(wsi);
    }

    int write_header()
    {
        unsigned char buffer[LWS_PRE + header_limit];
        unsigned char* start = buffer + LWS_PRE;
        unsigned char* p = start;
        unsigned char* end = buffer + sizeof buffer - 1;
        const lws_filepos_t length =
            streaming ? LWS_ILLEGAL_HTTP_CONTENT_LEN : chunks.front().size();
        if (lws_add_http_common_headers(wsi, static_cast<unsigned>(status),
                                        content_type.c_str(), length, &p,
                                        end) != 0)
            return -1;
        if (write_extra_headers(&p, end) != 0)
            return -1;
        header_sent = true;
        return lws_finalize_write_http_header(wsi, start, &p, end);
    }

    int write_extra_headers(unsigned char** p, unsigned char* end)
    {
        for (const auto& [name, value] : headers)
            if (lws_add_http_header_by_name(
                    wsi, reinterpret_cast<const unsigned char*>(name.c_str()),
                    reinterpret_cast<const unsigned char*>(value.c_str()),
                    static_cast<int>(value.size()), p, end) != 0)
                return -1;
        return 0;
    }

    int on_writable()
    {
        if (aborted)
            return -1;
        if (!started)
            return 0;
        if (!header_sent)
        {
            if (write_header() != 0)
                return -1;
            request_write();
            return 0;
        }
        return write_chunk();
    }

    int write_chunk()
    {
        const bool last = ended && chunks.size() <= 1;
        if (chunks.empty() && !last)
            return 0;
        const std::string chunk =
            chunks.empty() ? std::string() : std::move(chunks.front());
        if (!chunks.empty())
            chunks.pop_front();
        std::vector<unsigned char> buffer(LWS_PRE + chunk.size() + 1);
        std::memcpy(buffer.data() + LWS_PRE, chunk.data(), chunk.size());
        if (lws_write(wsi, buffer.data() + LWS_PRE, chunk.size(),
                      last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP) < 0)
            return -1;
        if (!last)
        {
            if (!chunks.empty() || ended)
                request_write();
            return 0;
        }
        return streaming || lws_http_transaction_completed(wsi) != 0 ? -1 : 0;
    }
};

void http_responder::set_header(std::string name, std::string value) const
{
    state_->headers.emplace_back(std::move(name), std::move(value));
}

void http_responder::reply(int status,
                           std::string body,
                           std::string content_type) const
{
    state_->started = true;
    state_->ended = true;
    state_->status = status;
    state_->content_type = std::move(content_type);
    state_->chunks.push_back(std::move(body));
    state_->request_write();
}

void http_responder::begin_stream(int status, std::string content_type) const
{
    state_->started = true;
    state_->streaming = true;
    state_->status = status;
    state_->content_type = std::move(content_type);
    state_->request_write();
}

void http_responder::push(std::string chunk) const
{
    if (!connected())
        return;
    state_->chunks.push_back(std::move(chunk));
    state_->request_write();
}

void http_responder::end_stream() const
{
    state_->ended = true;
    state_->request_write();
}

void http_responder::abort() const
{
    state_->aborted = true;
    state_->request_write();
}

bool http_responder::connected() const
{
    return state_->wsi != nullptr;
}

class http_server::impl
{
public:
    using state_ptr = std::shared_ptr<http_responder::state>;

    explicit impl(handler on_request) : on_request_(std::move(on_request)) {}

    result<void> listen(event_loop& loop, const endpoint& local_address)
    {
        interface_ = local_address.address.to_string();
        lws_context_creation_info info{};
        info.port = local_address.port;
        info.iface = interface_.c_str();
        info.protocols = protocols_;
        info.user = this;
        info.vhost_name = "http-server";
        info.options = LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND;
        // The machine may not support IPv6.
        if (local_address.address.is_v4())
            info.options |= LWS_SERVER_OPTION_DISABLE_IPV6;
        info.keepalive_timeout = 30;
        vhost_ = lws_create_vhost(loop.native(), &info);
        if (vhost_ == nullptr)
            return fail(errc::address_in_use, local_address.to_string());
        return ok();
    }

    ~impl()
    {
        if (vhost_ != nullptr)
            lws_vhost_destroy(vhost_);
    }

    std::uint16_t port() const
    {
        return static_cast<std::uint16_t>(lws_get_vhost_listen_port(vhost_));
    }

private:
    static int callback(lws* wsi,
                        lws_callback_reasons reason,
                        void* user,
                        void* in,
                        std::size_t length)
    {
        lws_vhost* vhost = wsi != nullptr ? lws_get_vhost(wsi) : nullptr;
        auto* self = vhost != nullptr
                         ? static_cast<impl*>(lws_get_vhost_user(vhost))
                         : nullptr;
        if (self == nullptr)
            return 0;
        return self->on_event(wsi, reason, static_cast<state_ptr**>(user), in,
                              length);
    }

    int on_event(lws* wsi,
                 lws_callback_reasons reason,
                 state_ptr** slot,
                 void* in,
                 std::size_t length)
    {
        switch (reason)
        {
        case LWS_CALLBACK_HTTP:
            return start_request(wsi, slot, static_cast<const char*>(in));
        case LWS_CALLBACK_HTTP_BODY:
            return append_body(slot, static_cast<const char*>(in), length);
        case LWS_CALLBACK_HTTP_BODY_COMPLETION:
            dispatch(slot);
            return 0;
        case LWS_CALLBACK_HTTP_WRITEABLE:
            return slot != nullptr && *slot != nullptr ? (**slot)->on_writable()
                                                       : 0;
        case LWS_CALLBACK_CLOSED_HTTP:
        case LWS_CALLBACK_HTTP_DROP_PROTOCOL:
            release(slot);
            return 0;
        default:
            return 0;
        }
    }

    int start_request(lws* wsi, state_ptr** slot, const char* path)
    {
        release(slot);
        *slot = new state_ptr(std::make_shared<http_responder::state>());
        http_responder::state& s = ***slot;
        s.wsi = wsi;
        s.request.method = method_of(wsi);
        s.request.path = path;
        s.request.query = query_of(wsi);
        s.request.if_match = header_value(wsi, WSI_TOKEN_HTTP_IF_MATCH);
        const std::string size =
            header_value(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH);
        const bool body_follows = !size.empty() && size != "0";
        if (!body_follows)
            dispatch(slot);
        return 0;
    }

    static int
    append_body(state_ptr** slot, const char* data, std::size_t length)
    {
        http_responder::state& s = ***slot;
        if (s.request.body.size() + length > body_limit)
            return -1;
        s.request.body.append(data, length);
        return 0;
    }

    void dispatch(state_ptr** slot)
    {
        const state_ptr s = **slot;
        on_request_(std::move(s->request), http_responder(s));
    }

    static void release(state_ptr** slot)
    {
        if (slot == nullptr || *slot == nullptr)
            return;
        (**slot)->wsi = nullptr;
        delete *slot;
        *slot = nullptr;
    }

    handler on_request_;
    std::string interface_;
    lws_vhost* vhost_ = nullptr;
    const lws_protocols protocols_[2] = {
        {protocol_name, callback, sizeof(state_ptr*), 0, 0, nullptr, 0},
        {nullptr, nullptr, 0, 0, 0, nullptr, 0}};
};

http_server::http_server(std::unique_ptr<impl> i) : impl_(std::move(i)) {}

http_server::~http_server() = default;

result<std::unique_ptr<http_server>> http_server::create(
    event_loop& loop, const endpoint& local_address, handler on_request)
{
    auto server = std::make_unique<impl>(std::move(on_request));
    auto listening = server->listen(loop, local_address);
    if (!listening)
        return fail(listening.error().code, listening.error().detail);
    return std::unique_ptr<http_server>(new http_server(std::move(server)));
}

std::uint16_t http_server::port() const
{
    return impl_->port();
}

} // namespace briarfield
