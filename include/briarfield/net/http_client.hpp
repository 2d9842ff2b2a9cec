#ifndef BRIARFIELD_NET_HTTP_CLIENT_HPP
#define BRIARFIELD_NET_HTTP_CLIENT_HPP

#include "briarfield/core/clock.hpp"
#include "briarfield/core/error.hpp"
#include "briarfield/net/event_loop.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace briarfield
{

/// \brief An outgoing HTTP request.
struct http_request
{
    std::string method = "GET";
    std::string path = "/";
    /// Names in lower case, and values.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    duration timeout = std::chrono::seconds(5); ///< For the whole exchange.
    /// Until the first part of the response body; 0: only \ref timeout.
    duration response_timeout{};
    /// Between two parts of the response body; 0: only \ref timeout.
    duration progress_timeout{};
    /// Called for each part of the response body; may be empty.
    std::function<void()> on_progress;
    /// Header to copy to http_response::header, in lower case with a trailing
    /// colon; empty: none.
    std::string response_header;
    std::size_t body_limit = 1U << 22U; ///< Bytes of the response.
};

/// \brief A complete HTTP response.
struct http_response
{
    int status = 0;
    std::string body;        ///< Empty if passed to a chunk_handler.
    std::string retry_after; ///< Retry-After header, if present.
    std::string header;      ///< http_request::response_header, if present.
};

/// \brief HTTP/1.1 client on an event loop; opens a connection per request.
class http_client
{
public:
    /// \brief Server address and TLS options.
    struct options
    {
        std::string host; ///< An IP address.
        std::uint16_t port = 0;
        bool tls = false;
        std::string ca_file;          ///< PEM; empty: the system's authorities.
        std::string certificate_file; ///< PEM; empty: no client certificate.
        std::string key_file;         ///< PEM.
        /// Name expected in the server's certificate; empty: the IP address.
        std::string server_name;
    };

    /// \brief Called once with the response or an error.
    ///
    /// Errors: errc::store_unreachable if the connection failed before the
    /// request was sent, errc::store_outcome_unknown if it failed afterwards,
    /// errc::store_timeout if a time limit of the request has passed,
    /// errc::store_protocol if the body exceeds
    /// http_request::body_limit, errc::tls_failed if the TLS files cannot be
    /// used.
    using done_handler = std::function<void(result<http_response>)>;

    /// \brief Called with each part of a streamed response body.
    using chunk_handler = std::function<void(std::string_view)>;

    /// \brief A request in progress. Stays alive until it has completed, also
    /// when the handle is destroyed; see \ref abandon.
    class exchange;
    using exchange_ptr = std::shared_ptr<exchange>;

    http_client(event_loop& loop, options opts);
    ~http_client();

    /// \brief Starts a request; \a done is called later, never by this call.
    ///
    /// If \a on_chunk is set, it receives the response body in parts as they
    /// arrive.
    /// \returns a handle for \ref abandon.
    exchange_ptr
    start(http_request request, done_handler done, chunk_handler on_chunk = {});

    /// \brief Cancels an exchange; its handlers are not called after this.
    ///
    /// Does nothing if \a e is null.
    static void abandon(const exchange_ptr& e);

    /// \brief Reloads the TLS files; requests in progress are aborted.
    ///
    /// If the files cannot be used, the previous ones stay in use. Errors:
    /// errc::tls_failed.
    result<void> reload();

private:
    class tls_vhost;

    event_loop* loop_;
    options options_;
    std::unique_ptr<tls_vhost> tls_;
};

} // namespace briarfield

#endif
