#include "support/store_setup.hpp"

#include "briarfield/control/configuration.hpp"
#include "briarfield/control/object_json.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace briarfield;
using namespace briarfield::test;
using json = nlohmann::json;

/// An edit of a valid Service and the expected error.
struct invalid_row
{
    const char* pointer; ///< JSON pointer into the object.
    json value;          ///< If null, the field is removed.
    const char* path;    ///< Field path at the start of the error's detail.
    errc code = errc::object_invalid;
};

json valid_service()
{
    stored_object o = service_object("himal", "datum-live");
    o.spec["pool"] = "rtk";
    o.spec["urgency"] = "critical";
    o.spec["share"] = 2;
    o.spec["bucketCount"] = 512;
    return object_to_json(o);
}

json valid_pool()
{
    return {{"kind", "BackendPool"},
            {"metadata", {{"namespace", "himal"}, {"name", "rtk"}}},
            {"spec",
             {{"selectors",
               {{{"instances", {"gnss-1"}},
                 {"instancePrefixes", {"rtk-"}},
                 {"zones", {"a", "b"}}},
                {{"zones", {"c"}}}}}}}};
}

result<void> check(const json& item)
{
    auto object = object_from_json(item);
    if (!object)
        return object.error();
    return validate_object(object.value());
}

class resources_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(resources_test);
    CPPUNIT_TEST(valid_objects_are_parsed);
    CPPUNIT_TEST(error_names_the_invalid_field);
    CPPUNIT_TEST(pool_admits_by_name_and_zone);
    CPPUNIT_TEST(schema_has_the_fields_of_the_parser);
    CPPUNIT_TEST(address_conflict_is_won_by_the_first_created_service);
    CPPUNIT_TEST(held_address_is_kept_against_an_older_service);
    CPPUNIT_TEST_SUITE_END();

public:
    void valid_objects_are_parsed()
    {
        const auto parsed =
            parse_service(object_from_json(valid_service()).value());
        CPPUNIT_ASSERT_MESSAGE(parsed ? "" : parsed.error().message(), parsed);
        const service_spec& s = parsed.value();
        CPPUNIT_ASSERT_EQUAL(std::string("rtk"), s.pool);
        CPPUNIT_ASSERT(s.urgency_class == urgency::critical);
        CPPUNIT_ASSERT_EQUAL(2.0, s.share);
        CPPUNIT_ASSERT_EQUAL(512U, s.bucket_count);
        CPPUNIT_ASSERT(check(valid_pool()));
        CPPUNIT_ASSERT(check({{"kind", "Team"},
                              {"metadata", {{"name", "himal"}}},
                              {"spec", {{"description", "surveyors"}}}}));
    }

    void error_names_the_invalid_field()
    {
        const invalid_row rows[] = {
            {"/kind", "Pod", "kind"},
            {"/apiVersion", "v1", "apiVersion"},
            {"/metadata/name", "Datum Live", "metadata.name"},
            {"/metadata/name", nullptr, "metadata.name"},
            {"/metadata/namespace", "", "metadata.namespace"},
            {"/metadata/resourceVersion", "x", "metadata.resourceVersion"},
            {"/extra", 1, "extra", errc::object_unknown_field},
            {"/spec/extra", 1, "spec.extra", errc::object_unknown_field},
            {"/spec/addresses/0/extra", 1, "spec.addresses[0].extra",
             errc::object_unknown_field},
            {"/spec", 1, "spec"},
            {"/spec/addresses", nullptr, "spec.addresses"},
            {"/spec/addresses", json::array(), "spec.addresses"},
            {"/spec/addresses/0", "x", "spec.addresses[0]"},
            {"/spec/addresses/0/address", "300.1.1.1",
             "spec.addresses[0].address"},
            {"/spec/addresses/0/address", 7, "spec.addresses[0].address"},
            {"/spec/addresses/0/port", 0, "spec.addresses[0].port"},
            {"/spec/addresses/0/port", 65536, "spec.addresses[0].port"},
            {"/spec/addresses/0/port", -1, "spec.addresses[0].port"},
            {"/spec/addresses/0/port", nullptr, "spec.addresses[0].port"},
            {"/spec/addresses/0/protocol", "sctp",
             "spec.addresses[0].protocol"},
            {"/spec/pool", "No Pool", "spec.pool"},
            {"/spec/urgency", "high", "spec.urgency"},
            {"/spec/share", 0, "spec.share"},
            {"/spec/share", "1", "spec.share"},
            {"/spec/bucketCount", 300, "spec.bucketCount"},
            {"/spec/bucketCount", 8, "spec.bucketCount"},
            {"/spec/bucketCount", 1 << 20, "spec.bucketCount"},
        };
        for (const invalid_row& row : rows)
        {
            json item = valid_service();
            const json::json_pointer pointer(row.pointer);
            if (row.value.is_null())
                item[pointer.parent_pointer()].erase(pointer.back());
            else
                item[pointer] = row.value;
            const auto outcome = check(item);
            CPPUNIT_ASSERT_MESSAGE(row.pointer, !outcome);
            CPPUNIT_ASSERT_MESSAGE(outcome.error().message(),
                                   outcome.error().code == row.code);
            CPPUNIT_ASSERT_MESSAGE(outcome.error().message(),
                                   outcome.error().detail.rfind(row.path, 0) ==
                                       0);
        }
    }

    void pool_admits_by_name_and_zone()
    {
        const auto pool =
            parse_backend_pool(object_from_json(valid_pool()).value()).value();
        CPPUNIT_ASSERT(pool_admits(pool, "gnss-1", "a"));
        CPPUNIT_ASSERT(pool_admits(pool, "rtk-17", "b"));
        CPPUNIT_ASSERT(!pool_admits(pool, "gnss-2", "a"));
        CPPUNIT_ASSERT(!pool_admits(pool, "gnss-1", "d"));
        CPPUNIT_ASSERT(pool_admits(pool, "any", "c"));
    }

    void schema_has_the_fields_of_the_parser()
    {
        const json service = object_schema(object_kind::service);
        const json fields = service["properties"]["spec"]["properties"];
        const json spec = valid_service()["spec"];
        CPPUNIT_ASSERT_EQUAL(spec.size(), fields.size());
        for (const auto& [name, value] : spec.items())
            CPPUNIT_ASSERT_MESSAGE(name, fields.contains(name));
        const json pool = object_schema(object_kind::backend_pool);
        const json selector = pool["properties"]["spec"]["properties"]
                                  ["selectors"]["items"]["properties"];
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, selector.size());
    }

    void address_conflict_is_won_by_the_first_created_service()
    {
        stored_object first = service_object("wadi", "z");
        first.created = "2026-01-01T00:00:00Z";
        stored_object second = service_object("himal", "a");
        second.created = "2026-01-01T00:00:01Z";
        for (const bool swapped : {false, true})
        {
            std::map<object_key, error> problems;
            auto claims = claims_of(
                {swapped ? &second : &first, swapped ? &first : &second});
            resolve_address_claims(claims, problems);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, problems.size());
            CPPUNIT_ASSERT(problems.at(second.key).code ==
                           errc::object_address_conflict);
            CPPUNIT_ASSERT(
                problems.at(second.key).detail.find("Service wadi/z") !=
                std::string::npos);
        }
    }

    void held_address_is_kept_against_an_older_service()
    {
        stored_object older = service_object("himal", "a");
        older.created = "2026-01-01T00:00:00Z";
        stored_object holder = service_object("wadi", "z");
        holder.created = "2026-02-01T00:00:00Z";
        const auto held = parse_service(holder).value().addresses;
        holder.status["claims"] = address_claims(held, json::object(), 40);
        std::map<object_key, error> problems;
        auto claims = claims_of({&older, &holder});
        resolve_address_claims(claims, problems);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, problems.count(older.key));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, problems.count(holder.key));
        CPPUNIT_ASSERT(address_claims(held, holder.status, 90) ==
                       holder.status["claims"]);
    }

private:
    static std::vector<service_claim>
    claims_of(std::initializer_list<const stored_object*> objects)
    {
        std::vector<service_claim> out;
        for (const stored_object* o : objects)
            out.push_back({o, parse_service(*o).value()});
        return out;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(resources_test);

} // namespace
