#include "briarfield/dispatch/route_table.hpp"

#include "support/dispatch_world.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <map>

namespace
{

using namespace briarfield;
using namespace briarfield::test;

class route_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(route_table_test);
    CPPUNIT_TEST(older_versions_are_ignored);
    CPPUNIT_TEST(removed_routes_are_recorded);
    CPPUNIT_TEST(weights_split_flows);
    CPPUNIT_TEST(route_without_weight_takes_no_flow);
    CPPUNIT_TEST_SUITE_END();

    const endpoint first_ = host_endpoint(1, 80);
    const endpoint second_ = host_endpoint(2, 80);
    route_table table_;

    static route_set set_of(std::uint64_t version,
                            const std::vector<endpoint>& addresses)
    {
        route_set s;
        s.version = version;
        for (const endpoint& a : addresses)
            s.routes.push_back({a, {{"a", 1}}});
        return s;
    }

    void older_versions_are_ignored()
    {
        CPPUNIT_ASSERT(table_.apply(set_of(5, {first_})));
        CPPUNIT_ASSERT(!table_.apply(set_of(5, {second_})));
        CPPUNIT_ASSERT(!table_.apply(set_of(4, {second_})));
        CPPUNIT_ASSERT(table_.find(first_) != nullptr);
        CPPUNIT_ASSERT(table_.find(second_) == nullptr);
    }

    void removed_routes_are_recorded()
    {
        table_.apply(set_of(1, {first_}));
        table_.apply(set_of(2, {second_}));
        CPPUNIT_ASSERT(table_.status(first_) == route_status::removed);
        CPPUNIT_ASSERT(table_.status(second_) == route_status::in_force);
        CPPUNIT_ASSERT(table_.status(host_endpoint(3, 80)) ==
                       route_status::unknown);
        table_.apply(set_of(3, {first_}));
        CPPUNIT_ASSERT(table_.status(first_) == route_status::in_force);
    }

    void weights_split_flows()
    {
        route_set s;
        s.version = 1;
        s.routes = {{first_, {{"a", 90}, {"b", 10}, {"c", 0}}}};
        table_.apply(s);
        std::map<service_tag, int> flows;
        for (std::uint64_t hash = 0; hash < 1000; ++hash)
            ++flows[table_.find(first_)->pick(hash)->service];
        CPPUNIT_ASSERT_EQUAL(900, flows[make_service_tag("a")]);
        CPPUNIT_ASSERT_EQUAL(100, flows[make_service_tag("b")]);
        CPPUNIT_ASSERT_EQUAL(0, flows[make_service_tag("c")]);
    }

    void route_without_weight_takes_no_flow()
    {
        route_set s;
        s.version = 1;
        s.routes = {{first_, {{"a", 0}}}};
        table_.apply(s);
        CPPUNIT_ASSERT(table_.find(first_)->pick(7) == nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(route_table_test);

} // namespace
