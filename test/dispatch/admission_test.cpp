#include "briarfield/dispatch/admission_policy.hpp"

#include "briarfield/core/random.hpp"
#include "briarfield/dispatch/admission_costs.hpp"
#include "briarfield/dispatch/route_time_gauge.hpp"
#include "support/dispatch_world.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace briarfield;
using namespace briarfield::test;
using namespace std::chrono_literals;

constexpr double aim_fraction = admission_limits().aim_fraction;

/// Tests which openings are rejected when all servers are overloaded.
class admission_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(admission_test);
    CPPUNIT_TEST(equal_priorities_are_decided_by_aim_alone);
    CPPUNIT_TEST(expensive_opening_is_rejected_earlier);
    CPPUNIT_TEST(opening_that_may_have_run_is_never_rejected);
    CPPUNIT_TEST(expensive_route_keeps_its_guaranteed_share);
    CPPUNIT_TEST(priority_decides_while_work_is_unknown);
    CPPUNIT_TEST(short_work_is_cheaper_than_long_work);
    CPPUNIT_TEST(outdated_work_is_forgotten);
    CPPUNIT_TEST(unknown_time_is_ignored);
    CPPUNIT_TEST(route_times_are_rarely_reported);
    CPPUNIT_TEST_SUITE_END();

    manual_clock clock_;
    route_table routes_;
    route_work work_{clock_};
    admission_costs costs_{clock_, routes_, work_};
    const admission_policy policy_ = admit_by_priority(admission_limits());

public:
    void setUp() override { clock_.advance(1h); }

private:
    static admission_request overloaded(double cost, duration expected)
    {
        admission_request r;
        r.overloaded = true;
        r.may_reject = true;
        r.priorities_differ = true;
        r.cost = cost;
        r.aim = 300ms;
        r.expected = expected;
        r.flow_hash = ~0ULL; // Not in the guaranteed share.
        return r;
    }

    /// Deployments without priorities must be served as before.
    void equal_priorities_are_decided_by_aim_alone()
    {
        const admission_policy before = admit_by_aim(aim_fraction);
        random_source random(3);
        std::size_t of_each[3] = {};
        for (int i = 0; i < 3000; ++i)
        {
            admission_request r = overloaded(
                random.unit(), std::chrono::milliseconds(random.below(400)));
            r.overloaded = random.below(4) > 0;
            r.may_reject = random.below(4) > 0;
            r.priorities_differ = false;
            r.aim = random.below(4) > 0 ? 300ms : 0ms;
            r.flow_hash = random.next();
            CPPUNIT_ASSERT(before(r) == policy_(r));
            ++of_each[static_cast<std::size_t>(before(r))];
        }
        for (const std::size_t count : of_each)
            CPPUNIT_ASSERT(count > 300);
    }

    void expensive_opening_is_rejected_earlier()
    {
        CPPUNIT_ASSERT(policy_(overloaded(0, 190ms)) == admission::force);
        CPPUNIT_ASSERT(policy_(overloaded(0, 210ms)) == admission::reject);
        CPPUNIT_ASSERT(policy_(overloaded(1, 60ms)) == admission::reject);
        CPPUNIT_ASSERT(policy_(overloaded(1, 40ms)) == admission::force);
    }

    void opening_that_may_have_run_is_never_rejected()
    {
        admission_request r = overloaded(1, 1s);
        r.may_reject = false;
        CPPUNIT_ASSERT(policy_(r) == admission::force);
    }

    /// Otherwise a steady overload would leave the route without service.
    void expensive_route_keeps_its_guaranteed_share()
    {
        random_source random(5);
        double forced = 0;
        for (int i = 0; i < 8000; ++i)
        {
            admission_request r = overloaded(1, 100ms);
            r.flow_hash = random.next();
            forced += policy_(r) == admission::force ? 1 : 0;
        }
        CPPUNIT_ASSERT(forced > 900 && forced < 1100);
    }

    static endpoint address(std::size_t i)
    {
        return host_endpoint(250, static_cast<std::uint16_t>(80 + i));
    }

    void apply(const std::vector<std::uint8_t>& priorities)
    {
        route_set set;
        set.version = routes_.version() + 1;
        for (std::size_t i = 0; i < priorities.size(); ++i)
        {
            dispatch_route route;
            route.address = address(i);
            route.priority = priorities[i];
            set.routes.push_back(route);
        }
        CPPUNIT_ASSERT(routes_.apply(set));
    }

    double cost_of(std::size_t i)
    {
        return costs_.relative(address(i), *routes_.find(address(i)));
    }

    void priority_decides_while_work_is_unknown()
    {
        apply({1, 2, lowest_priority});
        CPPUNIT_ASSERT_EQUAL(3U, routes_.priority_levels());
        CPPUNIT_ASSERT_EQUAL(0.0, cost_of(0));
        CPPUNIT_ASSERT(cost_of(1) > 0 && cost_of(1) < 1);
        CPPUNIT_ASSERT_EQUAL(1.0, cost_of(2));
        apply({4, 4});
        CPPUNIT_ASSERT_EQUAL(1U, routes_.priority_levels());
    }

    /// Strict priority would lose several short requests for each long one.
    void short_work_is_cheaper_than_long_work()
    {
        apply({1, 2, 2});
        work_.record({{address(0), 60ms}, {address(1), 5ms}});
        CPPUNIT_ASSERT_EQUAL(1.0, cost_of(0));
        CPPUNIT_ASSERT_EQUAL(0.0, cost_of(1));
        CPPUNIT_ASSERT(cost_of(2) > 0);
        // About equal work: the higher priority is cheaper.
        apply({1, 2});
        for (int i = 0; i < 100; ++i)
            work_.record({{address(0), 29ms}, {address(1), 22ms}});
        clock_.advance(admission_costs::refresh_interval);
        CPPUNIT_ASSERT_EQUAL(0.0, cost_of(0));
        CPPUNIT_ASSERT(cost_of(1) > 0.4 && cost_of(1) < 0.6);
    }

    void outdated_work_is_forgotten()
    {
        apply({1, 2});
        work_.record({{address(0), 60ms}, {address(1), 5ms}});
        clock_.advance(route_work::lifetime);
        CPPUNIT_ASSERT_EQUAL(0.0, cost_of(0));
        CPPUNIT_ASSERT_EQUAL(1.0, cost_of(1));
    }

    /// If all times were 0, costs were no numbers and nothing was rejected.
    void unknown_time_is_ignored()
    {
        apply({1, 2});
        work_.record({{address(0), 0ms}, {address(1), 0ms}});
        CPPUNIT_ASSERT_EQUAL(0.0, cost_of(0));
        CPPUNIT_ASSERT_EQUAL(1.0, cost_of(1));
    }

    /// Heartbeats go to all balancers: their size counts.
    void route_times_are_rarely_reported()
    {
        route_time_gauge gauge(clock_);
        gauge.record(address(0), 10ms);
        CPPUNIT_ASSERT(gauge.report().empty());
        for (std::size_t i = 1; i < 20; ++i)
        {
            clock_.advance(1ms);
            gauge.record(address(i), 20ms);
        }
        const std::vector<route_time> all = gauge.report();
        CPPUNIT_ASSERT_EQUAL(route_time_gauge::capacity, all.size());
        CPPUNIT_ASSERT(all[0].service_time == 20ms);
        clock_.advance(route_time_gauge::report_interval / 2);
        CPPUNIT_ASSERT(gauge.report().empty());
        clock_.advance(route_time_gauge::report_interval / 2);
        CPPUNIT_ASSERT(!gauge.report().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_test);

} // namespace
