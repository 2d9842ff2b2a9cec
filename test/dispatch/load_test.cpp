#include "support/load_model.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace briarfield;
using namespace briarfield::test;

/// Plays load on the decisions of balancers and agents, and checks what callers
/// get.
class load_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(load_test);
    CPPUNIT_TEST(calm_load_is_served_in_aim);
    CPPUNIT_TEST(servers_that_fail_fast_get_few_flows);
    CPPUNIT_TEST(recovered_server_gets_flows_again);
    CPPUNIT_TEST(service_whose_servers_all_fail_is_tried);
    CPPUNIT_TEST_SUITE_END();

    void calm_load_is_served_in_aim()
    {
        load_model model{load_options()};
        model.run(10);
        const load_outcome& got = model.outcome();
        CPPUNIT_ASSERT(got.asked > 2000);
        CPPUNIT_ASSERT(got.late + got.rejected + got.failed < got.asked / 100);
    }

    /// One of 12 servers accepts flows and ends each at its first request. It
    /// has the fewest requests, so that load alone would send it most flows.
    void servers_that_fail_fast_get_few_flows()
    {
        load_model model{load_options()};
        model.run(5);
        model.start_window();
        model.set_failing(3, true);
        const std::size_t before = model.openings(3);
        model.run(5);
        // Flows that were open before fail with the next request.
        CPPUNIT_ASSERT(model.outcome().failed < model.outcome().asked / 20);
        CPPUNIT_ASSERT(model.openings(3) - before < 10);
    }

    void recovered_server_gets_flows_again()
    {
        load_model model{load_options()};
        model.run(5);
        model.set_failing(3, true);
        model.run(1);
        model.set_failing(3, false);
        const std::size_t before = model.openings(3);
        model.run(5);
        CPPUNIT_ASSERT(model.openings(3) - before > 20);
    }

    void service_whose_servers_all_fail_is_tried()
    {
        load_options options;
        options.servers = 3;
        options.flows_per_s = 20;
        load_model model{options};
        model.run(2);
        for (std::size_t i = 0; i < options.servers; ++i)
            model.set_failing(i, true);
        model.run(1);
        const std::size_t before =
            model.openings(0) + model.openings(1) + model.openings(2);
        model.run(1);
        CPPUNIT_ASSERT(model.openings(0) + model.openings(1) +
                           model.openings(2) >
                       before + 5);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_test);

} // namespace
