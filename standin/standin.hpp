#ifndef BRIARFIELD_STANDIN_STANDIN_HPP
#define BRIARFIELD_STANDIN_STANDIN_HPP

#include "briarfield/core/endpoint.hpp"
#include "briarfield/packet/ip_packet.hpp"

#include <string>
#include <vector>

namespace briarfield::standin
{

/// The platform's object API, which starts with the objects of a JSON file.
struct platform_options
{
    endpoint listen;
    std::string objects_file; ///< A JSON list of objects.
};

int run_platform(const platform_options& options);

/// A backend server that answers TCP and UDP requests carried by GUE.
struct server_options
{
    endpoint listen;
    std::string name;
};

int run_server(const server_options& options);

/// Addresses of a balancer that the fabric uses.
struct fabric_member
{
    endpoint fabric; ///< Destination of packets.
    endpoint http;   ///< Serves /readyz.
};

/// Destination and protocol of the flows that callers open.
struct caller_target
{
    endpoint destination;
    transport protocol = transport::tcp;
};

/// Callers, and the fabric that distributes their packets randomly over the
/// ready balancers.
struct traffic_options
{
    endpoint listen; ///< Receives packets for callers.
    std::vector<fabric_member> members;
    std::vector<caller_target> targets;
    unsigned flows = 100;
    unsigned seconds = 10;
    unsigned interval_ms = 500;    ///< Time between two requests of a flow.
    unsigned opens_per_second = 0; ///< Short flows opened during the whole run.
    std::uint64_t seed = 1;
};

int run_traffic(const traffic_options& options);

} // namespace briarfield::standin

#endif
