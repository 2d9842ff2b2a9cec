#include "../platform/packet_header.hpp"
#include "fuzz_input.hpp"

#include "briarfield/dispatch/relay_frame.hpp"

#include <vector>

using namespace briarfield;

/// Decodes any bytes as a caller's packet. Setting and clearing the marks of an
/// accepted packet must leave it unchanged.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    static const packet_codec codec = platform::make_packet_codec();
    std::vector<std::uint8_t> bytes(relay_frame_overhead);
    bytes.insert(bytes.end(), data, data + size);
    const byte_span packet =
        byte_span(bytes.data(), bytes.size()).drop_front(relay_frame_overhead);
    (void)codec.decode_server(packet);
    const auto p = codec.decode_caller(packet);
    if (!p)
        return 0;
    require(p.value().payload_size + platform::packet_header_size == size);
    codec.clear_marks(packet);
    const std::vector<std::uint8_t> clean(packet.begin(), packet.end());
    codec.put_tag(packet, 0x01020304);
    require(codec.tag(packet) == 0x01020304);
    codec.clear_marks(packet);
    require(std::vector<std::uint8_t>(packet.begin(), packet.end()) == clean);
    const auto frame = read_relay_frame(
        write_forward_frame(packet, {forward_mode::search, 7}));
    require(frame.has_value() && frame.value().body.size() == size);
    return 0;
}
