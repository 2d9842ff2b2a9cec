#include "briarfield/load/weight_policy.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace
{

using namespace briarfield;
using namespace std::chrono_literals;

target_load target(instance_id id, double capacity, double load)
{
    target_load t;
    t.instance = id;
    t.capacity = capacity;
    t.load = load;
    t.serving_for = 60s;
    return t;
}

class weight_policy_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(weight_policy_test);
    CPPUNIT_TEST(weights_follow_capacity);
    CPPUNIT_TEST(noise_does_not_change_weights);
    CPPUNIT_TEST(idle_service_keeps_its_weights);
    CPPUNIT_TEST(rate_of_change_is_bounded);
    CPPUNIT_TEST(pinned_flows_lower_weight);
    CPPUNIT_TEST(nonserving_target_drops_to_zero_immediately);
    CPPUNIT_TEST(new_server_ramps_up);
    CPPUNIT_TEST(capacity_step_converges_without_overshoot);
    CPPUNIT_TEST_SUITE_END();

public:
    void weights_follow_capacity()
    {
        const auto w = update({target(1, 100, 50), target(2, 800, 400)});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(8.0, w[1] / w[0], 1e-9);
    }

    void noise_does_not_change_weights()
    {
        const auto before = update({target(1, 100, 50), target(2, 100, 50)});
        for (int i = 0; i < 100; ++i)
        {
            const double noise = i % 2 == 0 ? 1.01 : 0.99;
            const auto w = update({target(1, 100 * noise, 50 * noise),
                                   target(2, 100 / noise, 50 / noise)});
            CPPUNIT_ASSERT(w == before);
        }
    }

    void idle_service_keeps_its_weights()
    {
        const auto before = update({target(1, 900, 1), target(2, 500, 1)});
        const auto noisy = update({target(1, 500, 1), target(2, 900, 1)});
        CPPUNIT_ASSERT(noisy == before);
        // A server that fails all requests still loses its weight.
        for (int i = 0; i < 60; ++i)
            update({target(1, 10, 1), target(2, 900, 1)});
        const auto failing = update({target(1, 10, 1), target(2, 900, 1)});
        CPPUNIT_ASSERT(failing[0] < 0.05);
    }

    void rate_of_change_is_bounded()
    {
        const auto before = update({target(1, 100, 50), target(2, 100, 50)});
        const auto after = update({target(1, 100, 50), target(2, 900, 450)});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.05, after[1] - before[1], 1e-9);
    }

    void pinned_flows_lower_weight()
    {
        const auto w = update({target(1, 100, 90), target(2, 100, 30)});
        CPPUNIT_ASSERT(w[1] > w[0]);
    }

    void nonserving_target_drops_to_zero_immediately()
    {
        update({target(1, 100, 50), target(2, 100, 50)});
        target_load leaving = target(2, 100, 50);
        leaving.serving = false;
        const auto w = update({target(1, 100, 50), leaving});
        CPPUNIT_ASSERT_EQUAL(0.0, w[1]);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, w[0], 1e-9);
    }

    void new_server_ramps_up()
    {
        update({target(1, 100, 50)});
        target_load new_server = target(2, 0, 0);
        new_server.serving_for = 1s;
        const auto w = update({target(1, 100, 50), new_server});
        CPPUNIT_ASSERT(w[1] > 0);
        CPPUNIT_ASSERT(w[1] < 0.1);
    }

    /// Flows last a minute, so the load follows the weights with that delay.
    void capacity_step_converges_without_overshoot()
    {
        const bool holds = rc::check(
            "utilisation passes the mean by no more than a tenth",
            [this]
            {
                clock_.advance(1h);
                const double ratio = *rc::gen::inRange(1, 9);
                weight_policy policy({});
                double load[2] = {70, 70 * ratio};
                policy.update(clock_.now(), {target(1, 100, load[0]),
                                             target(2, 100 * ratio, load[1])});
                // The second server's capacity halves.
                const double capacity[2] = {100, 50 * ratio};
                const double total = load[0] + load[1];
                const double mean = total / (capacity[0] + capacity[1]);
                for (int second = 0; second < 300; ++second)
                {
                    clock_.advance(1s);
                    const auto w = policy.update(
                        clock_.now(), {target(1, capacity[0], load[0]),
                                       target(2, capacity[1], load[1])});
                    for (int i = 0; i < 2; ++i)
                        load[i] += (w[i] * total - load[i]) / 60;
                    const double utilisation = load[0] / capacity[0];
                    RC_ASSERT(utilisation < 1.1 * mean);
                }
                const double utilisation = load[1] / capacity[1];
                RC_ASSERT(std::abs(utilisation / mean - 1) < 0.1);
            });
        CPPUNIT_ASSERT(holds);
    }

private:
    std::vector<double> update(const std::vector<target_load>& targets)
    {
        clock_.advance(1s);
        return policy_.update(clock_.now(), targets);
    }

    manual_clock clock_;
    weight_policy policy_{weight_policy::options{}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(weight_policy_test);

} // namespace
