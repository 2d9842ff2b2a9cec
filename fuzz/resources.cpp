#include "fuzz_input.hpp"

#include "briarfield/control/resources.hpp"

using namespace briarfield;

/// Parses any JSON as the spec of a Service; an error must have a detail.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    stored_object object;
    object.key = {object_kind::service, "himal", "datum-live"};
    object.spec = nlohmann::json::parse(data, data + size, nullptr, false);
    if (object.spec.is_discarded())
        return 0;
    const auto parsed = parse_service(object);
    require(parsed.has_value() || !parsed.error().detail.empty());
    return 0;
}
