#include "../platform/records.hpp"

#include <string_view>

using namespace briarfield;

/// Bodies of heartbeats and of the operator's configuration.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const std::string_view body(reinterpret_cast<const char*>(data), size);
    std::size_t unreadable = 0;
    (void)platform::read_configuration(body, unreadable);
    (void)platform::read_heartbeat(body, "i-1");
    return 0;
}
