#include "../platform/checkpoint_record.hpp"
#include "../platform/json_split.hpp"
#include "../platform/records.hpp"

#include <string_view>

using namespace briarfield;

/// Reads any bytes as a configuration, as a heartbeat, as a list of objects and
/// as a checkpoint. The packets of a checkpoint must not be empty or exceed
/// their capacity.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const std::string_view body(reinterpret_cast<const char*>(data), size);
    std::size_t unreadable = 0;
    (void)platform::read_configuration(body, unreadable);
    (void)platform::read_heartbeat(body, "i-1");
    (void)platform::split_array(
        platform::find_member(body, "items").value_or(body));
    const auto spec = nlohmann::json::parse(body, nullptr, false);
    for (const short_packet& packet : platform::read_checkpoint(spec))
        if (packet.empty() || packet.span().size() > short_packet::capacity)
            __builtin_trap();
    return 0;
}
