#include "briarfield/net/http_client.hpp"

#include "lws_protocols.hpp"

#include <cstring>
#include <libwebsockets.h>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <openssl/x509_vfy.h>

namespace briarfield
{

namespace
{

constexpr std::size_t read_buffer_size = 16384; // Bytes.

/// Whether the server's certificate must contain the IP address itself.
bool verifies_ip_address(const http_client::options& opts)
{
    return opts.server_name.empty();
}

std::string host_header(const http_client::options& opts)
{
    const std::string& name =
        opts.server_name.empty() ? opts.host : opts.server_name;
    return name + ":" + std::to_string(opts.port);
}

/// Loads the TLS files to validate them, since libwebsockets only logs an error
/// if it cannot use one.
result<void> check_tls_files(const http_client::options& opts)
{
    const std::unique_ptr<SSL_CTX, decltype(&SSL_CTX_free)> context(
        SSL_CTX_new(TLS_client_method()), SSL_CTX_free);
    SSL_CTX* c = context.get();
    const auto unusable = [](const std::string& file)
    {
        ERR_clear_error();
        return fail(errc::tls_failed, file + " cannot be used");
    };
    if (!opts.ca_file.empty() &&
        SSL_CTX_load_verify_locations(c, opts.ca_file.c_str(), nullptr) != 1)
        return unusable(opts.ca_file);
    if (opts.certificate_file.empty())
        return ok();
    if (SSL_CTX_use_certificate_chain_file(c, opts.certificate_file.c_str()) !=
        1)
        return unusable(opts.certificate_file);
    if (SSL_CTX_use_PrivateKey_file(c, opts.key_file.c_str(),
                                    SSL_FILETYPE_PEM) != 1)
        return unusable(opts.key_file);
    return ok();
}

int tls_flags(const http_client::options& opts)
{
    if (!opts.tls)
        return 0;
    return LCCSCF_USE_SSL |
           (verifies_ip_address(opts) ? LCCSCF_SKIP_SERVER_CERT_HOSTNAME_CHECK
                                      : 0);
}

} // namespace

/// One request and its response. Holds a reference to itself while a connection
/// of libwebsockets points to it.
class http_client::exchange : public std::enable_shared_from_this<exchange>
{
public:
    exchange(event_loop& loop,
             http_request request,
             done_handler done,
             chunk_handler on_chunk)
        : loop_(&loop), request_(std::move(request)), done_(std::move(done)),
          on_chunk_(std::move(on_chunk))
    {
    }

    void connect(const options& opts, lws_vhost* vhost)
    {
        self_reference_ = shared_from_this();
        timer_ =
            loop_->timers().schedule(request_.timeout, [this] { time_out(); });
        expect_progress_within(request_.response_timeout);
        host_ = host_header(opts);
        lws_client_connect_info info{};
        info.context = loop_->native();
        info.vhost = vhost;
        info.address = opts.host.c_str();
        info.port = opts.port;
        info.path = request_.path.c_str();
        info.host = host_.c_str();
        info.origin = host_.c_str();
        info.method = request_.method.c_str();
        info.local_protocol_name = http_client_protocol_name;
        info.opaque_user_data = this;
        info.pwsi = &wsi_;
        info.alpn = "http/1.1";
        info.ssl_connection = tls_flags(opts);
        // If the callback has reported the failure already, self_reference_ is
        // null.
        if (lws_client_connect_via_info(&info) == nullptr && self_reference_)
            report_connect_failure();
    }

    /// Reports \a e from the event loop, without connecting.
    void report_error(const error& e)
    {
        loop_->timers().schedule(duration(0), [self = shared_from_this(), e]
                                 { self->finish(e); });
    }

    int on_event(lws* wsi,
                 lws_callback_reasons reason,
                 void* in,
                 std::size_t length)
    {
        switch (reason)
        {
        case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
            return append_headers(wsi, in, length);
        case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
            return write_body(wsi);
        case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
            response_.status =
                static_cast<int>(lws_http_client_http_response(wsi));
            read_retry_after(wsi);
            read_response_header(wsi);
            // The exchange's own timers limit the wait for the body.
            lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
            return 0;
        case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
            return read_some(wsi);
        case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
            return on_body(static_cast<const char*>(in), length);
        case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
            finish(std::move(response_));
            release(wsi);
            return -1;
        case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
            finish(fail(sent_ ? errc::store_outcome_unknown
                              : errc::store_unreachable,
                        in != nullptr ? static_cast<const char*>(in) : ""));
            release(wsi);
            return 0;
        case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
            finish(fail(errc::store_outcome_unknown, "connection closed"));
            release(wsi);
            return 0;
        case LWS_CALLBACK_WSI_DESTROY:
            release(wsi);
            return 0;
        default:
            return 0;
        }
    }

    void abandon()
    {
        done_ = {};
        on_chunk_ = {};
        request_.on_progress = {};
        cancel_timers();
        close();
    }

private:
    int append_headers(lws* wsi, void* in, std::size_t length)
    {
        auto** p = static_cast<unsigned char**>(in);
        unsigned char* end = *p + length;
        for (const auto& [name, value] : request_.headers)
        {
            const std::string with_colon = name + ":";
            if (lws_add_http_header_by_name(
                    wsi,
                    reinterpret_cast<const unsigned char*>(with_colon.c_str()),
                    reinterpret_cast<const unsigned char*>(value.c_str()),
                    static_cast<int>(value.size()), p, end) != 0)
                return -1;
        }
        sent_ = true;
        if (request_.body.empty())
            return 0;
        const std::string size = std::to_string(request_.body.size());
        if (lws_add_http_header_by_token(
                wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH,
                reinterpret_cast<const unsigned char*>(size.c_str()),
                static_cast<int>(size.size()), p, end) != 0)
            return -1;
        lws_client_http_body_pending(wsi, 1);
        lws_callback_on_writable(wsi);
        return 0;
    }

    int write_body(lws* wsi)
    {
        if (request_.body.empty())
            return 0;
        std::vector<unsigned char> buffer(LWS_PRE + request_.body.size());
        std::memcpy(buffer.data() + LWS_PRE, request_.body.data(),
                    request_.body.size());
        lws_client_http_body_pending(wsi, 0);
        const int written =
            lws_write(wsi, buffer.data() + LWS_PRE, request_.body.size(),
                      LWS_WRITE_HTTP_FINAL);
        request_.body.clear();
        return written < 0 ? -1 : 0;
    }

    void read_retry_after(lws* wsi)
    {
        char value[32];
        const int size =
            lws_hdr_custom_copy(wsi, value, sizeof value, "retry-after:", 12);
        if (size > 0)
            response_.retry_after.assign(value, static_cast<std::size_t>(size));
    }

    void read_response_header(lws* wsi)
    {
        const std::string& name = request_.response_header;
        const auto name_size = static_cast<int>(name.size());
        const int size =
            name.empty() ? 0
                         : lws_hdr_custom_length(wsi, name.c_str(), name_size);
        if (size <= 0)
            return;
        std::vector<char> value(static_cast<std::size_t>(size) + 1);
        if (lws_hdr_custom_copy(wsi, value.data(), size + 1, name.c_str(),
                                name_size) > 0)
            response_.header = value.data();
    }

    int read_some(lws* wsi)
    {
        char buffer[LWS_PRE + read_buffer_size];
        char* p = buffer + LWS_PRE;
        int length = read_buffer_size;
        return lws_http_client_read(wsi, &p, &length) < 0 ? -1 : 0;
    }

    int on_body(const char* data, std::size_t length)
    {
        if (!done_)
            return -1;
        expect_progress_within(request_.progress_timeout);
        if (request_.on_progress)
            request_.on_progress();
        if (on_chunk_)
        {
            const auto keep_alive = self_reference_;
            on_chunk_({data, length});
            return done_ ? 0 : -1;
        }
        if (response_.body.size() + length > request_.body_limit)
        {
            finish(fail(errc::store_protocol,
                        "the response body exceeds the limit"));
            return -1;
        }
        response_.body.append(data, length);
        return 0;
    }

    /// Replaces the limit on the time without progress; 0: no limit.
    void expect_progress_within(duration limit)
    {
        loop_->timers().cancel(progress_timer_);
        progress_timer_ = 0;
        if (limit > duration(0))
            progress_timer_ =
                loop_->timers().schedule(limit, [this] { time_out(); });
    }

    void time_out()
    {
        finish(
            fail(errc::store_timeout, request_.method + " " + request_.path));
        close();
    }

    void report_connect_failure()
    {
        cancel_timers();
        auto keep_alive = shared_from_this();
        loop_->timers().schedule(
            duration(0),
            [keep_alive]
            {
                keep_alive->finish(
                    fail(errc::store_unreachable, keep_alive->host_));
                keep_alive->release(nullptr);
            });
    }

    void finish(result<http_response> outcome)
    {
        cancel_timers();
        if (!done_)
            return;
        const done_handler done = std::move(done_);
        done_ = {};
        done(std::move(outcome));
    }

    void cancel_timers()
    {
        loop_->timers().cancel(timer_);
        loop_->timers().cancel(progress_timer_);
        timer_ = 0;
        progress_timer_ = 0;
    }

    void close()
    {
        if (wsi_ != nullptr)
            lws_set_timeout(wsi_, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }

    /// Clears the connection's pointer to this exchange and drops the
    /// reference to itself, which may destroy it.
    void release(lws* wsi)
    {
        if (wsi != nullptr)
            lws_set_opaque_user_data(wsi, nullptr);
        wsi_ = nullptr;
        cancel_timers();
        const auto reference = std::move(self_reference_);
        self_reference_.reset();
    }

    event_loop* loop_;
    http_request request_;
    done_handler done_;
    chunk_handler on_chunk_;
    http_response response_;
    std::string host_;
    lws* wsi_ = nullptr;
    timer_id timer_ = 0;          ///< Limits the whole exchange.
    timer_id progress_timer_ = 0; ///< Limits the time without progress.
    bool sent_ = false;
    std::shared_ptr<exchange> self_reference_;
};

/// Virtual host with the certificates and key of a client.
class http_client::tls_vhost
{
public:
    tls_vhost(event_loop& loop, const options& opts)
    {
        if (verifies_ip_address(opts))
            expected_address_ = opts.host;
        lws_context_creation_info info{};
        info.port = CONTEXT_PORT_NO_LISTEN;
        info.protocols = protocols_;
        info.vhost_name = "tls-client";
        info.user = this;
        info.options = LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
        info.client_ssl_ca_filepath = path(opts.ca_file);
        info.client_ssl_cert_filepath = path(opts.certificate_file);
        info.client_ssl_private_key_filepath = path(opts.key_file);
        vhost_ = lws_create_vhost(loop.native(), &info);
    }

    ~tls_vhost()
    {
        if (vhost_ != nullptr)
            lws_vhost_destroy(vhost_);
    }

    tls_vhost(const tls_vhost&) = delete;
    tls_vhost& operator=(const tls_vhost&) = delete;

    lws_vhost* native() const { return vhost_; }

private:
    static const char* path(const std::string& file)
    {
        return file.empty() ? nullptr : file.c_str();
    }

    static int callback(lws* wsi,
                        lws_callback_reasons reason,
                        void* user,
                        void* in,
                        std::size_t length)
    {
        if (reason == LWS_CALLBACK_OPENSSL_LOAD_EXTRA_CLIENT_VERIFY_CERTS)
            return set_expected_address(wsi, static_cast<SSL_CTX*>(user));
        return http_client_callback(wsi, reason, user, in, length);
    }

    /// Makes OpenSSL verify the IP address, since libwebsockets only verifies
    /// host names.
    static int set_expected_address(lws* wsi, SSL_CTX* context)
    {
        lws_vhost* vhost = wsi != nullptr ? lws_get_vhost(wsi) : nullptr;
        auto* self = vhost != nullptr
                         ? static_cast<tls_vhost*>(lws_get_vhost_user(vhost))
                         : nullptr;
        if (self == nullptr || self->expected_address_.empty())
            return 0;
        return X509_VERIFY_PARAM_set1_ip_asc(SSL_CTX_get0_param(context),
                                             self->expected_address_.c_str()) ==
                       1
                   ? 0
                   : -1;
    }

    /// IP address expected in the certificate; empty: none.
    std::string expected_address_;
    lws_vhost* vhost_ = nullptr;
    const lws_protocols protocols_[2] = {
        {http_client_protocol_name, callback, 0, 16384, 0, nullptr, 0},
        {nullptr, nullptr, 0, 0, 0, nullptr, 0}};
};

http_client::http_client(event_loop& loop, options opts)
    : loop_(&loop), options_(std::move(opts))
{
    if (options_.tls)
        (void)reload();
}

http_client::~http_client() = default;

result<void> http_client::reload()
{
    auto usable = check_tls_files(options_);
    if (!usable)
        return usable;
    auto new_vhost = std::make_unique<tls_vhost>(*loop_, options_);
    if (new_vhost->native() == nullptr)
        return fail(errc::tls_failed, "could not create a TLS context");
    tls_ = std::move(new_vhost);
    return ok();
}

http_client::exchange_ptr http_client::start(http_request request,
                                             done_handler done,
                                             chunk_handler on_chunk)
{
    auto e = std::make_shared<exchange>(*loop_, std::move(request),
                                        std::move(done), std::move(on_chunk));
    if (options_.tls && !tls_)
        e->report_error({errc::tls_failed, options_.ca_file});
    else
        e->connect(options_,
                   tls_ ? tls_->native()
                        : lws_get_vhost_by_name(loop_->native(), "loop"));
    return e;
}

void http_client::abandon(const exchange_ptr& e)
{
    if (e)
        e->abandon();
}

int http_client_callback(
    lws* wsi, lws_callback_reasons reason, void*, void* in, std::size_t length)
{
    auto* e = static_cast<http_client::exchange*>(
        wsi != nullptr ? lws_get_opaque_user_data(wsi) : nullptr);
    return e == nullptr ? 0 : e->on_event(wsi, reason, in, length);
}

} // namespace briarfield
