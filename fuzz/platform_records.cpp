#include "../platform/checkpoint_record.hpp"
#include "../platform/evacuation_list.hpp"
#include "../platform/json_split.hpp"
#include "../platform/records.hpp"

#include <string_view>

using namespace briarfield;

/// Reads any bytes as a configuration, as a heartbeat, as evacuations, as a
/// list of objects and as a checkpoint. Names of zones must not be empty, and
/// the packets of a checkpoint must not be empty or exceed their capacity.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const std::string_view body(reinterpret_cast<const char*>(data), size);
    std::size_t unreadable = 0;
    (void)platform::read_configuration(body, unreadable);
    (void)platform::read_heartbeat(body, "i-1");
    http_response response;
    response.status = 200;
    response.body = body;
    const auto page = platform::read_evacuation_page(response, unreadable);
    if (page)
        for (const std::string& zone : page.value().evacuations.zones)
            if (zone.empty())
                __builtin_trap();
    (void)platform::read_evacuation_events(response, unreadable);
    (void)platform::split_array(
        platform::find_member(body, "items").value_or(body));
    const auto spec = nlohmann::json::parse(body, nullptr, false);
    for (const short_packet& packet : platform::read_checkpoint(spec))
        if (packet.empty() || packet.span().size() > short_packet::capacity)
            __builtin_trap();
    return 0;
}
