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
    CPPUNIT_TEST(versions_only_move_forward);
    CPPUNIT_TEST(removed_routes_are_remembered);
    CPPUNIT_TEST(weights_split_flows);
    CPPUNIT_TEST(no_weight_takes_no_flow);
    CPPUNIT_TEST_SUITE_END();

    const endpoint here_ = host_endpoint(1, 80);
    const endpoint there_ = host_endpoint(2, 80);
    route_table t_;

    static route_set set_of(std::uint64_t version,
                            const std::vector<endpoint>& addresses)
    {
        route_set s;
        s.version = version;
        for (const endpoint& a : addresses)
            s.routes.push_back({a, {{"a", 1}}});
        return s;
    }

    void versions_only_move_forward()
    {
        CPPUNIT_ASSERT(t_.take(set_of(5, {here_})));
        CPPUNIT_ASSERT(!t_.take(set_of(5, {there_})));
        CPPUNIT_ASSERT(!t_.take(set_of(4, {there_})));
        CPPUNIT_ASSERT(t_.find(here_) != nullptr);
        CPPUNIT_ASSERT(t_.find(there_) == nullptr);
    }

    void removed_routes_are_remembered()
    {
        t_.take(set_of(1, {here_}));
        t_.take(set_of(2, {there_}));
        CPPUNIT_ASSERT(t_.status(here_) == route_status::removed);
        CPPUNIT_ASSERT(t_.status(there_) == route_status::in_force);
        CPPUNIT_ASSERT(t_.status(host_endpoint(3, 80)) ==
                       route_status::unknown);
        t_.take(set_of(3, {here_}));
        CPPUNIT_ASSERT(t_.status(here_) == route_status::in_force);
    }

    void weights_split_flows()
    {
        route_set s;
        s.version = 1;
        s.routes = {{here_, {{"a", 90}, {"b", 10}, {"c", 0}}}};
        t_.take(s);
        std::map<service_tag, int> taken;
        for (std::uint64_t h = 0; h < 1000; ++h)
            ++taken[t_.find(here_)->pick(h)->service];
        CPPUNIT_ASSERT_EQUAL(900, taken[make_service_tag("a")]);
        CPPUNIT_ASSERT_EQUAL(100, taken[make_service_tag("b")]);
        CPPUNIT_ASSERT_EQUAL(0, taken[make_service_tag("c")]);
    }

    void no_weight_takes_no_flow()
    {
        route_set s;
        s.version = 1;
        s.routes = {{here_, {{"a", 0}}}};
        t_.take(s);
        CPPUNIT_ASSERT(t_.find(here_)->pick(7) == nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(route_table_test);

} // namespace
