#include "fuzz_input.hpp"

#include "briarfield/route/balancer_core.hpp"
#include "briarfield/route/map_builder.hpp"

using namespace briarfield;

namespace
{

std::shared_ptr<const service_table> make_table()
{
    build_input in;
    in.service = 1;
    in.version = map_version{}.next(1);
    build_target target;
    target.instance = 1;
    target.agent = endpoint::parse("192.0.2.1:9").value();
    in.targets = {target};
    auto entry = std::make_shared<service_entry>();
    entry->service = 1;
    entry->map = std::make_shared<const bucket_map>(build_bucket_map({}, in));
    auto table = std::make_shared<service_table>();
    const endpoint service_address =
        endpoint::parse("198.51.100.10:2101").value();
    table->insert({service_address, transport::tcp}, entry);
    table->insert({service_address, transport::udp}, entry);
    return table;
}

} // namespace

/// Passes any packet to a balancer: exactly one counter must increase, and the
/// forwarded datagram must decode.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    static const std::uint8_t secret[16] = {1};
    static const auto table = make_table();
    balancer_core core({}, flow_hasher({secret, sizeof secret}), fuzz_keys());
    core.set_table(table);
    fuzz_packet input(data, size);
    const balancer_verdict verdict = core.decide(input.bytes());
    std::uint64_t events = 0;
    for (std::size_t i = 0; i < counter_set<balancer_event>::size(); ++i)
        events += core.counters().value(static_cast<balancer_event>(i));
    require(events == 1);
    if (verdict.datagram.empty())
        return 0;
    overlay_header header;
    byte_span packet;
    require(decode_overlay(verdict.datagram, fuzz_keys(), header, packet) ==
            errc::ok);
    require(packet.size() <= size);
    return 0;
}
