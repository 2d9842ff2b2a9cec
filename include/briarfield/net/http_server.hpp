#ifndef BRIARFIELD_NET_HTTP_SERVER_HPP
#define BRIARFIELD_NET_HTTP_SERVER_HPP

#include "briarfield/core/endpoint.hpp"
#include "briarfield/core/error.hpp"
#include "briarfield/net/event_loop.hpp"

#include <functional>
#include <memory>
#include <string>

namespace briarfield
{

/// \brief A received HTTP request.
struct http_server_request
{
    std::string method;
    std::string path;  ///< Without the query.
    std::string query; ///< After '?', still encoded.
    std::string body;
    std::string if_match; ///< If-Match header, if present.
};

/// \brief Sends the response to a request, immediately or later, complete or
/// as a stream.
///
/// Copies refer to the same response. Calls after the connection has closed
/// have no effect.
class http_responder
{
public:
    struct state;

    explicit http_responder(std::shared_ptr<state> s) : state_(std::move(s)) {}

    /// \brief Adds a header; call before \ref reply or \ref begin_stream.
    ///
    /// \param name Lower case, with a trailing colon.
    void set_header(std::string name, std::string value) const;

    /// \brief Sends a complete response.
    void reply(int status,
               std::string body,
               std::string content_type = "application/json") const;

    /// \brief Starts a streamed response, whose length is not known.
    void begin_stream(int status,
                      std::string content_type = "application/json") const;

    /// \brief Sends a part of the body of a streamed response.
    void push(std::string chunk) const;

    /// \brief Ends a streamed response.
    void end_stream() const;

    /// \brief Closes the connection without a response.
    void abort() const;

    /// \brief Whether the client is still connected.
    bool connected() const;

private:
    std::shared_ptr<state> state_;
};

/// \brief HTTP/1.1 server on an event loop.
class http_server
{
public:
    /// \brief Called for each complete request.
    using handler = std::function<void(http_server_request, http_responder)>;

    /// \brief Listens on \a local_address; port 0 selects any free port.
    ///
    /// Errors: errc::address_in_use.
    static result<std::unique_ptr<http_server>>
    create(event_loop& loop, const endpoint& local_address, handler on_request);

    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// \brief Port on which the server listens.
    std::uint16_t port() const;

    class impl;

private:
    explicit http_server(std::unique_ptr<impl> i);

    std::unique_ptr<impl> impl_;
};

} // namespace briarfield

#endif
