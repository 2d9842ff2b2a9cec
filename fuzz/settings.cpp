#include "app/settings.hpp"
#include "app/key_file.hpp"

#include "fuzz_input.hpp"

using namespace briarfield;

/// Parses any text as a key and as settings. Valid settings must print to text
/// that parses to the same settings.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    (void)app::parse_key_file(text, "key");
    (void)app::parse_settings(text, "f.ini", app::daemon_role::balancer);
    const auto report =
        app::parse_settings(text, "f.ini", app::daemon_role::any);
    if (!report.errors.empty())
        return 0;
    const std::string printed = app::effective_settings(report.values);
    const auto reparsed =
        app::parse_settings(printed, "f.ini", app::daemon_role::any);
    require(reparsed.errors.empty());
    require(app::effective_settings(reparsed.values) == printed);
    return 0;
}
