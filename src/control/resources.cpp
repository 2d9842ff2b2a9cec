#include "briarfield/control/resources.hpp"

#include "spec_reader.hpp"

#include <algorithm>
#include <iterator>

namespace briarfield
{

namespace
{

using json = nlohmann::json;

constexpr std::string_view urgency_names[] = {"background", "standard",
                                              "interactive", "critical"};
static_assert(std::size(urgency_names) ==
              static_cast<std::size_t>(urgency::count_));

constexpr std::size_t name_limit = 63; // Characters, as in a DNS label.
constexpr std::size_t address_limit = 64;
constexpr std::size_t selector_limit = 64;
constexpr double min_share = 0.01;
constexpr double max_share = 1000;
constexpr std::uint32_t min_buckets = 16;
constexpr std::uint32_t max_buckets = 65536;

bool is_label(std::string_view name)
{
    const auto allowed = [](char c)
    { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'; };
    return !name.empty() && name.size() <= name_limit &&
           std::all_of(name.begin(), name.end(), allowed) &&
           name.front() != '-' && name.back() != '-';
}

result<void> check_label(const std::string& name, const char* path)
{
    if (is_label(name))
        return ok();
    return fail(errc::object_invalid,
                std::string(path) +
                    ": expected 1 to 63 of a-z, 0-9 and '-', found '" + name +
                    "'");
}

result<void> check_key(const object_key& key)
{
    auto name = check_label(key.name, "metadata.name");
    if (!name)
        return name;
    if (key.kind != object_kind::team)
        return check_label(key.team, "metadata.namespace");
    if (!key.team.empty())
        return fail(errc::object_invalid,
                    "metadata.namespace: must be empty for a Team");
    return ok();
}

result<service_address> read_address(const json& item, const std::string& path)
{
    spec_reader reader(item, path);
    for (const char* name : {"address", "port", "protocol"})
        reader.require(name);
    service_address out;
    const auto address = ip_address::parse(reader.text("address", ""));
    if (address)
        out.destination.address = address.value();
    else
        reader.reject("address", "expected an IP address");
    out.destination.port = static_cast<std::uint16_t>(
        reader.unsigned_integer("port", 0, 1, 65535));
    const std::string protocol = reader.text("protocol", "tcp");
    if (protocol != "tcp" && protocol != "udp")
        reader.reject("protocol", "expected tcp or udp");
    out.protocol = protocol == "udp" ? transport::udp : transport::tcp;
    auto read = reader.finish();
    if (!read)
        return read.error();
    return out;
}

void read_addresses(spec_reader& reader, service_spec& spec)
{
    const auto items = reader.items("addresses");
    if (items.empty() || items.size() > address_limit)
        reader.reject("addresses", "expected 1 to 64 addresses");
    for (std::size_t i = 0; i < items.size(); ++i)
    {
        const std::string name = "addresses[" + std::to_string(i) + "]";
        auto address = read_address(items[i], reader.path_of(name));
        if (!address)
            return reader.record_error(address.error());
        if (std::find(spec.addresses.begin(), spec.addresses.end(),
                      address.value()) != spec.addresses.end())
            return reader.reject(name, "is listed twice");
        spec.addresses.push_back(address.value());
    }
}

urgency read_urgency(spec_reader& reader)
{
    const std::string name = reader.text("urgency", "standard");
    const auto* const found =
        std::find(std::begin(urgency_names), std::end(urgency_names), name);
    if (found != std::end(urgency_names))
        return static_cast<urgency>(found - std::begin(urgency_names));
    reader.reject("urgency",
                  "expected background, standard, interactive or critical");
    return urgency::standard;
}

std::uint32_t read_bucket_count(spec_reader& reader)
{
    const auto count = static_cast<std::uint32_t>(
        reader.unsigned_integer("bucketCount", 256, min_buckets, max_buckets));
    if ((count & (count - 1)) != 0)
        reader.reject("bucketCount", "expected a power of two");
    return count;
}

result<server_selector> read_selector(const json& item, const std::string& path)
{
    spec_reader reader(item, path);
    server_selector out;
    out.instances = reader.texts("instances");
    out.instance_prefixes = reader.texts("instancePrefixes");
    out.zones = reader.texts("zones");
    if (out.instances.empty() && out.instance_prefixes.empty() &&
        out.zones.empty())
        reader.reject("", "expected instances, instancePrefixes or zones");
    auto read = reader.finish();
    if (!read)
        return read.error();
    return out;
}

bool contains(const std::vector<std::string>& list, std::string_view wanted)
{
    return std::find(list.begin(), list.end(), wanted) != list.end();
}

bool selector_admits(const server_selector& s,
                     std::string_view instance,
                     std::string_view zone)
{
    if (!s.zones.empty() && !contains(s.zones, zone))
        return false;
    if (s.instances.empty() && s.instance_prefixes.empty())
        return true;
    const auto starts_with = [instance](const std::string& prefix)
    { return instance.substr(0, prefix.size()) == prefix; };
    return contains(s.instances, instance) ||
           std::any_of(s.instance_prefixes.begin(), s.instance_prefixes.end(),
                       starts_with);
}

} // namespace

std::string_view urgency_name(urgency u) noexcept
{
    return urgency_names[static_cast<std::size_t>(u)];
}

bool pool_admits(const backend_pool_spec& pool,
                 std::string_view instance,
                 std::string_view zone)
{
    return std::any_of(pool.selectors.begin(), pool.selectors.end(),
                       [&](const server_selector& s)
                       { return selector_admits(s, instance, zone); });
}

result<team_spec> parse_team(const stored_object& object)
{
    auto key = check_key(object.key);
    if (!key)
        return key.error();
    spec_reader reader(object.spec, "spec");
    team_spec spec{object.key.name, reader.text("description", "")};
    auto read = reader.finish();
    if (!read)
        return read.error();
    return spec;
}

result<service_spec> parse_service(const stored_object& object)
{
    auto key = check_key(object.key);
    if (!key)
        return key.error();
    spec_reader reader(object.spec, "spec");
    service_spec spec;
    spec.team = object.key.team;
    spec.name = object.key.name;
    read_addresses(reader, spec);
    spec.pool = reader.text("pool", "");
    if (!spec.pool.empty() && !is_label(spec.pool))
        reader.reject("pool", "expected the name of a BackendPool");
    spec.urgency_class = read_urgency(reader);
    spec.share = reader.number("share", 1.0, min_share, max_share);
    spec.bucket_count = read_bucket_count(reader);
    auto read = reader.finish();
    if (!read)
        return read.error();
    return spec;
}

result<backend_pool_spec> parse_backend_pool(const stored_object& object)
{
    auto key = check_key(object.key);
    if (!key)
        return key.error();
    spec_reader reader(object.spec, "spec");
    backend_pool_spec spec;
    spec.team = object.key.team;
    spec.name = object.key.name;
    const auto items = reader.items("selectors");
    if (items.empty() || items.size() > selector_limit)
        reader.reject("selectors", "expected 1 to 64 selectors");
    for (std::size_t i = 0; i < items.size(); ++i)
    {
        auto selector = read_selector(
            items[i], reader.path_of("selectors[" + std::to_string(i) + "]"));
        if (selector)
            spec.selectors.push_back(std::move(selector.value()));
        else
            reader.record_error(selector.error());
    }
    auto read = reader.finish();
    if (!read)
        return read.error();
    return spec;
}

result<void> validate_object(const stored_object& object)
{
    const auto outcome = [](const auto& parsed) -> result<void>
    {
        if (parsed)
            return ok();
        return parsed.error();
    };
    switch (object.key.kind)
    {
    case object_kind::team:
        return outcome(parse_team(object));
    case object_kind::service:
        return outcome(parse_service(object));
    case object_kind::backend_pool:
        return outcome(parse_backend_pool(object));
    default:
        return fail(errc::object_invalid,
                    "kind: operators cannot write a " +
                        std::string(object_kind_name(object.key.kind)));
    }
}

namespace
{

json text_schema()
{
    return {{"type", "string"}};
}

json texts_schema()
{
    return {{"type", "array"}, {"items", text_schema()}};
}

json closed_object(json properties, json required = json::array())
{
    return {{"type", "object"},
            {"additionalProperties", false},
            {"properties", std::move(properties)},
            {"required", std::move(required)}};
}

json address_schema()
{
    return closed_object(
        {{"address", text_schema()},
         {"port", {{"type", "integer"}, {"minimum", 1}, {"maximum", 65535}}},
         {"protocol", {{"enum", {"tcp", "udp"}}}}},
        {"address", "port", "protocol"});
}

json service_schema()
{
    return closed_object(
        {{"addresses",
          {{"type", "array"},
           {"minItems", 1},
           {"maxItems", address_limit},
           {"items", address_schema()}}},
         {"pool", text_schema()},
         {"urgency", {{"enum", urgency_names}, {"default", "standard"}}},
         {"share",
          {{"type", "number"},
           {"minimum", min_share},
           {"maximum", max_share},
           {"default", 1.0}}},
         {"bucketCount",
          {{"type", "integer"},
           {"minimum", min_buckets},
           {"maximum", max_buckets},
           {"default", 256},
           {"description", "a power of two; cannot be changed"}}}},
        {"addresses"});
}

json pool_schema()
{
    return closed_object(
        {{"selectors",
          {{"type", "array"},
           {"minItems", 1},
           {"maxItems", selector_limit},
           {"items", closed_object({{"instances", texts_schema()},
                                    {"instancePrefixes", texts_schema()},
                                    {"zones", texts_schema()}})}}}},
        {"selectors"});
}

json spec_schema(object_kind kind)
{
    switch (kind)
    {
    case object_kind::team:
        return closed_object({{"description", text_schema()}});
    case object_kind::service:
        return service_schema();
    case object_kind::backend_pool:
        return pool_schema();
    default:
        return {{"type", "object"}};
    }
}

} // namespace

json object_schema(object_kind kind)
{
    json meta = {
        {"type", "object"},
        {"properties", {{"name", text_schema()}, {"namespace", text_schema()}}},
        {"required", {"name", "namespace"}}};
    if (kind == object_kind::team)
        meta["required"] = {"name"};
    json schema =
        closed_object({{"apiVersion", {{"const", "briarfield.dev/v1"}}},
                       {"kind", {{"const", object_kind_name(kind)}}},
                       {"metadata", std::move(meta)},
                       {"spec", spec_schema(kind)},
                       {"status", {{"type", "object"}, {"readOnly", true}}}},
                      {"apiVersion", "kind", "metadata", "spec"});
    schema["$schema"] = "https://json-schema.org/draft/2020-12/schema";
    return schema;
}

} // namespace briarfield
