#include "fuzz_input.hpp"

#include "briarfield/packet/ip_packet.hpp"

using namespace briarfield;

/// Parses any bytes and builds the reset or ICMP error for a valid packet. The
/// reply must parse, or be of an unsupported kind.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    fuzz_packet input(data, size);
    ip_packet_view view;
    if (parse_ip_packet(input.bytes(), view) != errc::ok)
        return 0;
    require(view.total_length <= size);
    require(view.payload_offset <= view.total_length);
    const std::vector<std::uint8_t> reply =
        view.key.protocol == transport::tcp
            ? build_tcp_reset(input.bytes(), view)
            : build_icmp_error(input.bytes(), view, icmp_reason::packet_too_big,
                               1280);
    ip_packet_view reply_view;
    if (!reply.empty())
    {
        fuzz_packet reply_packet(reply.data(), reply.size());
        const errc outcome = parse_ip_packet(reply_packet.bytes(), reply_view);
        require(outcome == errc::ok || outcome == errc::packet_unsupported);
    }
    return 0;
}
