#include "fuzz_input.hpp"

using namespace briarfield;

/// Decodes any bytes; then encodes a header and checks that it decodes to the
/// same fields.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    fuzz_packet input(data, size);
    overlay_header header;
    byte_span packet;
    if (decode_overlay(input.bytes(), fuzz_keys(), header, packet) == errc::ok)
        require(packet.size() <= size);
    fuzz_datagram signed_datagram(data, size);
    if (signed_datagram.bytes().empty())
        return 0;
    require(decode_overlay(signed_datagram.bytes(), fuzz_keys(), header,
                           packet) == errc::ok);
    require(packet.size() == signed_datagram.packet().size());
    require(header.chain == signed_datagram.header().chain);
    require(header.hop == signed_datagram.header().hop);
    require(header.bucket == signed_datagram.header().bucket);
    require(header.map_version == signed_datagram.header().map_version);
    return 0;
}
