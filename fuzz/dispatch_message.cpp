#include "briarfield/control/dispatch_messages.hpp"
#include "fuzz_input.hpp"

#include <string_view>

using namespace briarfield;

/// Decodes any bytes. The encoding of a decoded message must decode again.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const auto message =
        decode_dispatch_message({reinterpret_cast<const char*>(data), size});
    if (message)
        require(
            decode_dispatch_message(encode_dispatch_message(message.value()))
                .has_value());
    return 0;
}
