#include "lws_protocols.hpp"

namespace briarfield
{

const lws_protocols* loop_protocols()
{
    static const lws_protocols protocols[] = {
        {raw_file_protocol_name, raw_file_callback, 0, 0, 0, nullptr, 0},
        {http_client_protocol_name, http_client_callback, 0, 16384, 0, nullptr,
         0},
        {nullptr, nullptr, 0, 0, 0, nullptr, 0}};
    return protocols;
}

} // namespace briarfield
