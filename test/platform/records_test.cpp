#include "records.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace
{

using namespace briarfield;
using namespace briarfield::platform;
using json = nlohmann::json;

json heartbeat_example()
{
    return json::parse(
        R"({"Service":"huvo11a","Address":"10.128.0.9:8080",)"
        R"("Zone":"bagmati-a","Version":"v1","MaxConcurrency":2,)"
        R"("State":"ready","WarmupLeftMs":0,"Sequence":4})");
}

json route_example()
{
    return json::parse(
        R"({"Name":"r-1","Host":"198.18.0.1","PathPrefix":"/8443/",)"
        R"("Type":"idempotent","TimeoutMs":1500,"AimMs":100,"Priority":2,)"
        R"("TrafficSplit":[{"Service":"a","Weight":90},)"
        R"({"Service":"b","Weight":10}],"Attempts":2})");
}

class records_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(records_test);
    CPPUNIT_TEST(heartbeat_is_read);
    CPPUNIT_TEST(start_time_is_read);
    CPPUNIT_TEST(malformed_heartbeats_are_rejected);
    CPPUNIT_TEST(unknown_fields_are_ignored);
    CPPUNIT_TEST(deeply_nested_bodies_are_rejected);
    CPPUNIT_TEST(numbers_out_of_range_are_rejected);
    CPPUNIT_TEST(routes_are_read);
    CPPUNIT_TEST(unreadable_priority_is_the_lowest);
    CPPUNIT_TEST(only_malformed_routes_are_omitted);
    CPPUNIT_TEST(malformed_configurations_are_rejected);
    CPPUNIT_TEST(warmup_limits_are_read);
    CPPUNIT_TEST_SUITE_END();

    static route_set routes_of(const json& routes, std::size_t& unreadable)
    {
        const json body = {{"Version", 7}, {"Routes", routes}};
        const auto read = read_configuration(body.dump(), unreadable);
        CPPUNIT_ASSERT(read);
        return read.value();
    }

    /// A service without a positive WarmupPerS has no limit, and a malformed
    /// one does not invalidate the others. Rounding must not raise a limit.
    void warmup_limits_are_read()
    {
        const json body = {
            {"Version", 7},
            {"Routes", json::array()},
            {"Services",
             {{{"Name", "a"}, {"WarmupS", 2.0}, {"WarmupPerS", 0.1}},
              {{"Name", "b"}, {"WarmupS", 2.0}, {"WarmupPerS", 0.0}},
              {{"Name", "c"}, {"WarmupS", 2.0}},
              {{"Name", "d"}, {"WarmupPerS", "many"}},
              {{"WarmupPerS", 3.0}},
              7}}};
        std::size_t unreadable = 0;
        const auto read = read_configuration(body.dump(), unreadable);
        CPPUNIT_ASSERT(read);
        const auto& limits = read.value().warmup_limits;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, limits.size());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), limits[0].service);
        CPPUNIT_ASSERT(limits[0].per_second <= 0.1);
        CPPUNIT_ASSERT(limits[0].per_second > 0.0999);
        CPPUNIT_ASSERT(limits[0].warmup == std::chrono::seconds(2));
    }

    void heartbeat_is_read()
    {
        const auto heartbeat =
            read_heartbeat(heartbeat_example().dump(), "i-1");
        CPPUNIT_ASSERT(heartbeat);
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), heartbeat.value().id);
        CPPUNIT_ASSERT_EQUAL(std::string("huvo11a"), heartbeat.value().service);
        CPPUNIT_ASSERT_EQUAL(2U, heartbeat.value().slots);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), heartbeat.value().sequence);
        CPPUNIT_ASSERT(!heartbeat.value().draining);
    }

    void start_time_is_read()
    {
        json body = heartbeat_example();
        body["born"] = 1771542446241;
        body["State"] = "draining";
        const auto heartbeat = read_heartbeat(body.dump(), "i-1");
        CPPUNIT_ASSERT(heartbeat && heartbeat.value().draining);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1771542446241),
                             heartbeat.value().born_ms);
    }

    void malformed_heartbeats_are_rejected()
    {
        for (const char* field :
             {"Service", "Address", "Zone", "MaxConcurrency", "State",
              "WarmupLeftMs", "Sequence"})
        {
            json missing = heartbeat_example();
            missing.erase(field);
            CPPUNIT_ASSERT_MESSAGE(field,
                                   !read_heartbeat(missing.dump(), "i-1"));
            for (const json& malformed : {json(nullptr), json(-1), json(1.5),
                                          json::array(), json(true)})
            {
                json changed = heartbeat_example();
                changed[field] = malformed;
                CPPUNIT_ASSERT_MESSAGE(field,
                                       !read_heartbeat(changed.dump(), "i-1"));
            }
        }
        for (const char* address : {"", "10.128.0.9", "10.128.0.9:0",
                                    "10.128.0.9:70000", "nowhere:8080"})
        {
            json changed = heartbeat_example();
            changed["Address"] = address;
            CPPUNIT_ASSERT_MESSAGE(address,
                                   !read_heartbeat(changed.dump(), "i-1"));
        }
        json state = heartbeat_example();
        state["State"] = "resting";
        CPPUNIT_ASSERT(!read_heartbeat(state.dump(), "i-1"));
        for (const char* body : {"", "[]", "\"ready\"", "{", "\xff\xfe"})
            CPPUNIT_ASSERT_MESSAGE(body, !read_heartbeat(body, "i-1"));
    }

    void unknown_fields_are_ignored()
    {
        json body = heartbeat_example();
        body["Mood"] = {{"today", "good"}};
        CPPUNIT_ASSERT(read_heartbeat(body.dump(), "i-1"));
    }

    /// A recursive reader would exceed the stack.
    void deeply_nested_bodies_are_rejected()
    {
        constexpr std::size_t depth = 1000000;
        const std::string nested =
            std::string(depth, '[') + std::string(depth, ']');
        const std::string heartbeat = heartbeat_example().dump();
        const std::string with_nested_field =
            heartbeat.substr(0, heartbeat.size() - 1) + ",\"Mood\":" + nested +
            "}";
        CPPUNIT_ASSERT(!read_heartbeat(nested, "i-1"));
        CPPUNIT_ASSERT(!read_heartbeat(with_nested_field, "i-1"));
        std::size_t unreadable = 0;
        CPPUNIT_ASSERT(!read_configuration(nested, unreadable));
        CPPUNIT_ASSERT(!read_configuration(
            "{\"Version\":1,\"Routes\":[" + nested + "]}", unreadable));
    }

    void numbers_out_of_range_are_rejected()
    {
        for (const char* field : {"MaxConcurrency", "WarmupLeftMs"})
            for (const char* number :
                 {"1e400", "18446744073709551616", "4294967296", "-1", "1e3"})
            {
                std::string body = heartbeat_example().dump();
                const std::string key = "\"" + std::string(field) + "\":";
                const std::size_t at = body.find(key) + key.size();
                body.replace(at, body.find_first_of(",}", at) - at, number);
                CPPUNIT_ASSERT_MESSAGE(body, !read_heartbeat(body, "i-1"));
            }
    }

    void routes_are_read()
    {
        json plain = route_example();
        plain.erase("TrafficSplit");
        plain["Host"] = "198.18.0.2";
        plain["Service"] = "c";
        std::size_t unreadable = 0;
        const route_set set =
            routes_of(json::array({route_example(), plain}), unreadable);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), unreadable);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), set.version);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), set.routes.size());
        CPPUNIT_ASSERT_EQUAL(std::string("198.18.0.1:8443"),
                             set.routes[0].address.to_string());
        CPPUNIT_ASSERT_EQUAL(90U, set.routes[0].shares[0].weight);
        CPPUNIT_ASSERT_EQUAL(std::string("c"), set.routes[1].shares[0].service);
    }

    /// A priority of another type must not make its route unreadable, nor raise
    /// it above others.
    void unreadable_priority_is_the_lowest()
    {
        json absent = route_example();
        absent.erase("Priority");
        json routes = json::array({route_example(), absent});
        for (const json& value : {json("0"), json(-1), json(0.5), json(255)})
        {
            routes.push_back(route_example());
            routes.back()["Priority"] = value;
        }
        std::size_t unreadable = 0;
        const route_set set = routes_of(routes, unreadable);
        CPPUNIT_ASSERT_EQUAL(routes.size(), set.routes.size());
        CPPUNIT_ASSERT_EQUAL(2U, unsigned{set.routes[0].priority});
        for (std::size_t i = 1; i < set.routes.size(); ++i)
            CPPUNIT_ASSERT(set.routes[i].priority == lowest_priority);
    }

    void only_malformed_routes_are_omitted()
    {
        const std::pair<const char*, json> malformed[] = {
            {"Host", 5},
            {"Host", "here"},
            {"PathPrefix", "8443"},
            {"PathPrefix", "/http/"},
            {"PathPrefix", "/70000/"},
            {"PathPrefix", ""},
            {"TrafficSplit", "a"},
            {"TrafficSplit", json::array({json::object()})},
            {"TrafficSplit",
             json::array({{{"Service", "a"}, {"Weight", -1}}})}};
        for (const auto& [field, value] : malformed)
        {
            json route = route_example();
            route[field] = value;
            std::size_t unreadable = 0;
            const route_set set =
                routes_of(json::array({route, route_example()}), unreadable);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(field, std::size_t(1), unreadable);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(field, std::size_t(1),
                                         set.routes.size());
        }
    }

    void malformed_configurations_are_rejected()
    {
        std::size_t unreadable = 0;
        for (const char* body :
             {"", "7", "[]", "{}", R"({"Version":1})",
              R"({"Version":"1","Routes":[]})", R"({"Version":1,"Routes":{}})"})
            CPPUNIT_ASSERT_MESSAGE(body, !read_configuration(body, unreadable));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(records_test);

} // namespace
