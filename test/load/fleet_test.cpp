#include "../../bench/fleet_model.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace briarfield;
using namespace briarfield::bench;

/// Maximum ratio of a server's utilisation to the mean after convergence.
constexpr double max_imbalance = 1.10;

constexpr double convergence_s = 30;
constexpr double window_s = 120;

class fleet_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_test);
    CPPUNIT_TEST(fleet_converges_to_balance);
    CPPUNIT_TEST(frozen_endpoints_have_no_effect);
    CPPUNIT_TEST(fast_failing_server_attracts_no_flows);
    CPPUNIT_TEST_SUITE_END();

public:
    void fleet_converges_to_balance()
    {
        const std::vector<std::vector<unsigned>> table = {
            std::vector<unsigned>(7, 2),
            std::vector<unsigned>(7, 7),
            {2, 2, 4, 6, 8, 12, 16},
            {7, 7, 14, 21, 28, 42, 56},
        };
        for (const auto& slots : table)
        {
            fleet_options options;
            options.slots = slots;
            assert_converges(options);
        }
    }

    void frozen_endpoints_have_no_effect()
    {
        fleet_options options;
        options.slots = std::vector<unsigned>(7, 2);
        fleet_model fleet(options);
        fleet.run(options.fill_time_s);
        fleet.freeze_endpoint(0, 0.0); // Always reports no load.
        fleet.freeze_endpoint(1, 1.0); // Always reports full load.
        fleet.run(convergence_s);
        fleet.start_window();
        fleet.run(window_s);
        CPPUNIT_ASSERT(fleet.window_imbalance().max_ratio <= max_imbalance);
    }

    void fast_failing_server_attracts_no_flows()
    {
        fleet_options options;
        options.slots = std::vector<unsigned>(7, 2);
        fleet_model fleet(options);
        fleet.run(options.fill_time_s + convergence_s);
        fleet.fail_fast(0, true);
        fleet.run(convergence_s);
        fleet.start_window();
        fleet.run(60);
        CPPUNIT_ASSERT(fleet.opened_fraction(0) < 1.0 / 7);
        fleet.fail_fast(0, false);
        fleet.run(60);
        fleet.start_window();
        fleet.run(60);
        // It gets flows again.
        CPPUNIT_ASSERT(fleet.opened_fraction(0) > 0.5 / 7);
    }

private:
    static void assert_converges(const fleet_options& options)
    {
        fleet_model fleet(options);
        fleet.run(options.fill_time_s + convergence_s);
        fleet.start_window();
        fleet.run(window_s);
        CPPUNIT_ASSERT(fleet.window_imbalance().max_ratio <= max_imbalance);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_test);

} // namespace
