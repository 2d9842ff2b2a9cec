#include "fuzz_input.hpp"

#include "briarfield/flow/agent_core.hpp"

using namespace briarfield;

namespace
{

agent_core::options fuzz_options()
{
    agent_core::options options;
    options.service = 1;
    options.local_address = endpoint::parse("192.0.2.1:9").value();
    const endpoint service_address =
        endpoint::parse("198.51.100.10:2101").value();
    options.addresses = {{service_address, transport::tcp},
                         {service_address, transport::udp}};
    options.flow_capacity = 16;
    return options;
}

} // namespace

/// Passes the input to an agent unsigned, as signed datagrams before and after
/// map updates, and as a packet from the server. The number of flows must stay
/// within the capacity.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    static const manual_clock clock;
    agent_core core(fuzz_options(), clock, fuzz_keys());
    core.to_server = [](const_byte_span) {};
    core.to_fabric = [](const_byte_span) {};
    core.to_agent = [](const endpoint&, const_byte_span) {};
    fuzz_packet unsigned_input(data, size);
    core.on_overlay(unsigned_input.bytes());
    fuzz_datagram before_map(data, size);
    core.on_overlay(before_map.bytes());
    core.on_map({2}, bucket_bitmap(std::vector<std::uint8_t>(32, 0x55)));
    fuzz_datagram after_first_map(data, size);
    core.on_overlay(after_first_map.bytes());
    core.on_map({3}, bucket_bitmap(std::vector<std::uint8_t>(32, 0xaa)));
    fuzz_datagram after_second_map(data, size);
    core.on_overlay(after_second_map.bytes());
    fuzz_packet from_server(data, size);
    core.on_server_packet(from_server.bytes());
    core.expire();
    require(core.flows().size() <= fuzz_options().flow_capacity);
    return 0;
}
