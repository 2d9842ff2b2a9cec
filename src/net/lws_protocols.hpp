#ifndef BRIARFIELD_SRC_NET_LWS_PROTOCOLS_HPP
#define BRIARFIELD_SRC_NET_LWS_PROTOCOLS_HPP

#include <cstddef>
#include <libwebsockets.h>

namespace briarfield
{

/// libwebsockets protocol name for adopted file descriptors.
constexpr const char* raw_file_protocol_name = "raw-file";

/// libwebsockets protocol name for HTTP clients.
constexpr const char* http_client_protocol_name = "http-client";

/// Handles the events of adopted file descriptors.
int raw_file_callback(lws* wsi,
                      lws_callback_reasons reason,
                      void* user,
                      void* in,
                      std::size_t length);

/// Handles the events of HTTP client connections.
int http_client_callback(lws* wsi,
                         lws_callback_reasons reason,
                         void* user,
                         void* in,
                         std::size_t length);

/// Protocols of the event loop's virtual host, terminated by an empty row.
const lws_protocols* loop_protocols();

} // namespace briarfield

#endif
