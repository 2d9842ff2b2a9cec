#include "briarfield/route/bucket_map.hpp"

#include <string>
#include <xxhash.h>

namespace briarfield
{

service_id make_service_id(std::string_view team, std::string_view name)
{
    std::string text(team);
    text += '/';
    text += name;
    return XXH3_64bits(text.data(), text.size());
}

instance_id make_instance_id(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size());
}

} // namespace briarfield
