#include "briarfield/control/object_json.hpp"

#include <algorithm>
#include <charconv>

namespace briarfield
{

namespace
{

using json = nlohmann::json;

constexpr std::string_view kind_names[] = {"Team", "Service", "BackendPool",
                                           "Lease"};
constexpr std::string_view kind_plurals[] = {"teams", "services",
                                             "backendpools", "leases"};
constexpr std::string_view object_fields[] = {"apiVersion", "kind", "metadata",
                                              "spec", "status"};

template <std::size_t Count>
std::optional<object_kind> find_name(const std::string_view (&names)[Count],
                                     std::string_view wanted) noexcept
{
    static_assert(Count == static_cast<std::size_t>(object_kind::count_));
    const auto* const found =
        std::find(std::begin(names), std::end(names), wanted);
    if (found == std::end(names))
        return std::nullopt;
    return static_cast<object_kind>(found - std::begin(names));
}

auto invalid(const std::string& path, const std::string& why)
{
    return fail(errc::object_invalid, path + ": " + why);
}

/// Member \a name of \a from as text; empty if absent or not a string.
std::string text_of(const json& from, const char* name)
{
    const auto found = from.find(name);
    return found != from.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
}

result<std::uint64_t> version_of(const json& meta)
{
    const std::string text = text_of(meta, "resourceVersion");
    std::uint64_t version = 0;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, version);
    if (!text.empty() && (parsed.ec != std::errc() || parsed.ptr != end))
        return invalid("metadata.resourceVersion", "expected a version");
    return version;
}

result<void> check_top_level(const json& item)
{
    if (!item.is_object())
        return invalid("object", "expected a JSON object");
    for (const auto& [name, value] : item.items())
    {
        if (std::find(std::begin(object_fields), std::end(object_fields),
                      name) == std::end(object_fields))
            return fail(errc::object_unknown_field, name);
        if (name != "kind" && name != "apiVersion" && !value.is_object())
            return invalid(name, "expected a JSON object");
    }
    const auto version = item.find("apiVersion");
    if (version != item.end() && *version != object_api_version)
        return invalid("apiVersion",
                       "expected " + std::string(object_api_version));
    return ok();
}

} // namespace

std::string_view object_kind_name(object_kind kind) noexcept
{
    return kind_names[static_cast<std::size_t>(kind)];
}

std::string_view object_kind_plural(object_kind kind) noexcept
{
    return kind_plurals[static_cast<std::size_t>(kind)];
}

std::optional<object_kind> object_kind_of_name(std::string_view name) noexcept
{
    return find_name(kind_names, name);
}

std::optional<object_kind>
object_kind_of_plural(std::string_view plural) noexcept
{
    return find_name(kind_plurals, plural);
}

std::string object_key::to_string() const
{
    std::string text(object_kind_name(kind));
    text += ' ';
    if (!team.empty())
        text += team + "/";
    return text + name;
}

json object_to_json(const stored_object& object)
{
    json meta = {{"name", object.key.name}};
    if (!object.key.team.empty())
        meta["namespace"] = object.key.team;
    if (!object.uid.empty())
        meta["uid"] = object.uid;
    if (!object.created.empty())
        meta["creationTimestamp"] = object.created;
    if (object.version != 0)
        meta["resourceVersion"] = std::to_string(object.version);
    if (object.generation != 0)
        meta["generation"] = object.generation;
    json out = {{"apiVersion", object_api_version},
                {"kind", object_kind_name(object.key.kind)},
                {"metadata", std::move(meta)},
                {"spec", object.spec}};
    if (!object.status.empty())
        out["status"] = object.status;
    return out;
}

result<stored_object> object_from_json(const json& item)
{
    auto checked = check_top_level(item);
    if (!checked)
        return fail(checked.error().code, checked.error().detail);
    const auto kind = object_kind_of_name(text_of(item, "kind"));
    if (!kind)
        return invalid("kind", "expected Team, Service, BackendPool or Lease");
    const json meta = item.value("metadata", json::object());
    stored_object object;
    object.key = {*kind, text_of(meta, "namespace"), text_of(meta, "name")};
    if (object.key.name.empty())
        return invalid("metadata.name", "is required");
    auto version = version_of(meta);
    if (!version)
        return fail(version.error().code, version.error().detail);
    object.version = version.value();
    object.uid = text_of(meta, "uid");
    object.created = text_of(meta, "creationTimestamp");
    const auto generation = meta.find("generation");
    if (generation != meta.end() && generation->is_number_unsigned())
        object.generation = generation->get<std::uint64_t>();
    object.spec = item.value("spec", json::object());
    object.status = item.value("status", json::object());
    return object;
}

} // namespace briarfield
