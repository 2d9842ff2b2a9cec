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
    CPPUNIT_TEST(burst_is_served_in_aim_as_far_as_slots_allow);
    CPPUNIT_TEST(burst_on_few_small_servers_is_served_in_aim);
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

    /// Callers with one request each come at 1.2 times the rate that the slots
    /// can serve. That share of them is to be answered in time; the others are
    /// told at once, so that few are answered late.
    static void play_burst(load_options options)
    {
        constexpr double overload = 1.2;
        const double capacity = static_cast<double>(options.servers) *
                                options.slots / options.service_s;
        options.requests_per_flow = 1;
        options.flows_per_s = 0.6 * capacity;
        load_model model{options};
        model.run(3);
        model.start_window();
        model.set_flows_per_s(overload * capacity);
        model.run(3);
        model.set_flows_per_s(0.6 * capacity);
        model.run(1);
        const load_outcome& got = model.outcome();
        const auto share = [&got](std::size_t n)
        { return static_cast<double>(n) / static_cast<double>(got.asked); };
        CPPUNIT_ASSERT(share(got.in_aim) >= 1 / overload);
        CPPUNIT_ASSERT(share(got.late) <= 0.05);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, got.failed);
    }

    void burst_is_served_in_aim_as_far_as_slots_allow()
    {
        load_options options;
        options.balancers = 18;
        options.servers = 38;
        play_burst(options);
    }

    void burst_on_few_small_servers_is_served_in_aim()
    {
        load_options options;
        options.servers = 7;
        options.slots = 2;
        options.queue_limit = 8;
        options.service_s = 0.015;
        options.aim_s = 0.1;
        options.link_s = 0.0007;
        play_burst(options);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_test);

} // namespace
