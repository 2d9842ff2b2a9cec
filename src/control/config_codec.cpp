#include "config_codec.hpp"

#include "briarfield/control/object_json.hpp"

namespace briarfield::config_codec
{

namespace
{

using json = nlohmann::json;

/// Maximum size of a message that is decoded, in bytes.
constexpr std::size_t message_limit = std::size_t{1} << 23U;

std::string pack(const json& value)
{
    const std::vector<std::uint8_t> bytes = json::to_cbor(value);
    return {bytes.begin(), bytes.end()};
}

json unpack(std::string_view bytes)
{
    if (bytes.size() > message_limit)
        return json(json::value_t::discarded);
    return json::from_cbor(bytes.begin(), bytes.end(), true, false);
}

/// The object with only those status members that peers need.
json strip_status(const stored_object& object)
{
    stored_object out = object;
    out.status = json::object();
    for (const char* name : {"claims", "bucketCount"})
        if (object.status.is_object() && object.status.contains(name))
            out.status[name] = object.status[name];
    return object_to_json(out);
}

json item_json(const item& object)
{
    json out = {{"v", object.changed_version}, {"d", object.deleted}};
    stored_object latest = object.latest;
    if (object.deleted)
        latest.spec = json::object();
    out["o"] = strip_status(latest);
    if (object.accepted && object.accepted->version != object.latest.version)
        out["a"] = strip_status(*object.accepted);
    return out;
}

/// Thrown by the decoding functions of this file; read_rows() converts it to
/// an error.
struct malformed : std::exception
{
};

stored_object read_object(const json& from)
{
    auto object = object_from_json(from);
    if (!object)
        throw malformed();
    return std::move(object.value());
}

object_kind read_kind(const json& from)
{
    const auto number = from.get<std::uint64_t>();
    if (number > static_cast<std::uint64_t>(object_kind::backend_pool))
        throw malformed();
    return static_cast<object_kind>(number);
}

item read_item(const json& from, object_kind kind)
{
    item out;
    out.changed_version = from.at("v").get<std::uint64_t>();
    out.deleted = from.at("d").get<bool>();
    out.latest = read_object(from.at("o"));
    if (from.contains("a"))
        out.accepted = read_object(from.at("a"));
    if (out.latest.key.kind != kind || out.latest.version == 0 ||
        (out.accepted && !(out.accepted->key == out.latest.key)))
        throw malformed();
    return out;
}

kind_digest read_digest_row(const json& row)
{
    return {read_kind(row.at(0)), row.at(1).get<std::uint64_t>(),
            row.at(2).get<bool>(), row.at(3).get<std::uint64_t>(),
            row.at(4).get<std::uint64_t>()};
}

kind_delta read_delta_row(const json& row)
{
    kind_delta out;
    out.kind = read_kind(row.at("k"));
    out.from = row.at("f").get<std::uint64_t>();
    out.seen_version = row.at("s").get<std::uint64_t>();
    out.complete = row.at("c").get<bool>();
    out.purged_version = row.at("g").get<std::uint64_t>();
    for (const json& i : row.at("i"))
        out.items.push_back(read_item(i, out.kind));
    return out;
}

template <class Row, class Read>
result<std::vector<Row>> read_rows(std::string_view bytes, Read read)
{
    try
    {
        const json rows = unpack(bytes);
        if (!rows.is_array())
            return fail(errc::message_malformed, "configuration");
        std::vector<Row> out;
        for (const json& row : rows)
            out.push_back(read(row));
        return out;
    }
    catch (const std::exception&)
    {
        return fail(errc::message_malformed, "configuration");
    }
}

} // namespace

std::uint64_t hash(std::string_view text)
{
    std::uint64_t hash_value = 0xcbf29ce484222325ULL;
    for (const char c : text)
        hash_value =
            (hash_value ^ static_cast<std::uint8_t>(c)) * 0x100000001b3ULL;
    return hash_value;
}

std::size_t encoded_size(const item& object)
{
    return pack(item_json(object)).size();
}

std::string encode(const std::vector<kind_digest>& rows)
{
    json out = json::array();
    for (const kind_digest& r : rows)
        out.push_back({static_cast<std::uint64_t>(r.kind), r.seen_version,
                       r.complete, r.purged_version, r.hash});
    return pack(out);
}

std::string encode(const std::vector<kind_delta>& parts)
{
    json out = json::array();
    for (const kind_delta& p : parts)
    {
        json items = json::array();
        for (const item& i : p.items)
            items.push_back(item_json(i));
        out.push_back({{"k", static_cast<std::uint64_t>(p.kind)},
                       {"f", p.from},
                       {"s", p.seen_version},
                       {"c", p.complete},
                       {"g", p.purged_version},
                       {"i", std::move(items)}});
    }
    return pack(out);
}

result<std::vector<kind_digest>> decode_digest(std::string_view bytes)
{
    return read_rows<kind_digest>(bytes, read_digest_row);
}

result<std::vector<kind_delta>> decode_delta(std::string_view bytes)
{
    return read_rows<kind_delta>(bytes, read_delta_row);
}

} // namespace briarfield::config_codec
