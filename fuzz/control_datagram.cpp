#include "fuzz_input.hpp"

#include "briarfield/control/announcement.hpp"

using namespace briarfield;

/// Decodes any bytes. The encoding of a decoded datagram must decode again.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    static const message_authenticator keys("secret");
    (void)keys.open(bytes);
    const auto decoded = decode_control_datagram(bytes);
    if (!decoded)
        return 0;
    const std::string encoded = encode_control_datagram(decoded.value());
    require(decode_control_datagram(encoded).has_value());
    return 0;
}
