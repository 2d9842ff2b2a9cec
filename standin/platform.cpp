#include "standin.hpp"

#include "platform_api.hpp"

#include "briarfield/control/object_json.hpp"

#include <csignal>
#include <fstream>
#include <iostream>

namespace briarfield::standin
{

namespace
{

/// Creates the objects of a JSON list in \a database.
result<void> load_objects(const std::string& file, object_database& database)
{
    std::ifstream in(file);
    const auto objects = nlohmann::json::parse(in, nullptr, false);
    if (!objects.is_array())
        return fail(errc::file_unreadable, file);
    for (const auto& item : objects)
    {
        auto object = object_from_json(item);
        if (!object)
            return fail(object.error().code, object.error().detail);
        auto made = database.create(object.value());
        if (!made)
            return fail(made.error().code, made.error().detail);
    }
    return ok();
}

int report(const error& e)
{
    std::cerr << "briarfield-standin: " << e.message() << "\n";
    return 1;
}

} // namespace

int run_platform(const platform_options& options)
{
    const steady_clock clock;
    auto loop = event_loop::create(clock);
    if (!loop)
        return report(loop.error());
    auto api = platform_api::create(*loop.value(), options.listen);
    if (!api)
        return report(api.error());
    if (!options.objects_file.empty())
    {
        auto loaded =
            load_objects(options.objects_file, api.value()->store().database());
        if (!loaded)
            return report(loaded.error());
    }
    (void)loop.value()->watch_signals({SIGTERM, SIGINT},
                                      [&](int) { loop.value()->stop(); });
    loop.value()->run();
    return 0;
}

} // namespace briarfield::standin
