#include "support/load_model.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <iomanip>
#include <iostream>

namespace
{

using namespace briarfield;
using namespace briarfield::test;

/// Plays overload with routes of different priorities and work, and compares
/// what callers get by kind with two other policies: by aim alone (first come,
/// first served), and a random choice.
class admission_load_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(admission_load_test);
    CPPUNIT_TEST(burst_of_low_priority_leaves_high_priority_served);
    CPPUNIT_TEST(queue_past_the_aim_is_passed_by_high_priority);
    CPPUNIT_TEST(short_requests_go_before_long_ones);
    CPPUNIT_TEST(callers_all_at_once_are_served_about_as_before);
    CPPUNIT_TEST_SUITE_END();

    using scene = std::function<void(load_model&)>;

    struct shares
    {
        double in_aim = 0;
        double late = 0;
        double rejected = 0;
    };

    /// By kind of requests.
    struct table
    {
        std::vector<shares> by_aim, random, by_priority;
    };

    /// Requests a second that the 20 servers of a model can serve.
    static constexpr double capacity = 40 / 0.022;

    static load_options fleet(std::vector<request_kind> kinds)
    {
        load_options options;
        options.balancers = 8;
        options.servers = 20;
        options.slots = 2;
        options.queue_limit = 8;
        options.service_s = 0.022;
        options.link_s = 0.0009;
        options.kinds = std::move(kinds);
        return options;
    }

    static std::vector<shares> play(const std::string& name,
                                    load_options options,
                                    const scene& played,
                                    const admission_policy& admit)
    {
        options.dispatch.admit = admit;
        load_model model{options};
        model.run(3);
        model.start_window();
        played(model);
        std::cout << name << std::fixed << std::setprecision(3);
        std::vector<shares> all;
        for (std::size_t kind = 0; kind < options.kinds.size(); ++kind)
        {
            const load_outcome& got = model.outcome(kind);
            const auto share = [&got](std::size_t n)
            { return static_cast<double>(n) / static_cast<double>(got.asked); };
            all.push_back({share(got.in_aim), share(got.late + got.expired),
                           share(got.rejected)});
            std::cout << " | " << all.back().in_aim << ' ' << all.back().late
                      << ' ' << all.back().rejected;
        }
        std::cout << '\n';
        return all;
    }

    static table
    compare(const std::string& name, const load_options& o, const scene& played)
    {
        random_source random(5);
        const admission_policy by_chance = [&random](const admission_request& r)
        {
            if (!r.overloaded)
                return admission::place;
            const bool rejected = r.may_reject && random.unit() < 0.4;
            return rejected ? admission::reject : admission::force;
        };
        std::cout << "\nshares in aim, late, rejected by kind: " << name
                  << '\n';
        const admission_limits limits;
        return {
            play("by aim     ", o, played, admit_by_aim(limits.aim_fraction)),
            play("random     ", o, played, by_chance),
            play("by priority", o, played, admit_by_priority(limits))};
    }

    static request_kind
    kind(double flows_per_s, double service_s, std::uint8_t priority)
    {
        return {flows_per_s, service_s, 0.25, 2.5, priority, 1};
    }

    void burst_of_low_priority_leaves_high_priority_served()
    {
        const table t =
            compare("burst of the lowest (22 ms), steady highest (29 ms)",
                    fleet({kind(0.45 * capacity, 0.022, 2),
                           kind(0.2 * capacity, 0.029, 1)}),
                    [](load_model& model)
                    {
                        model.set_flows_per_s(1.1 * capacity, 0);
                        model.run(3);
                        model.set_flows_per_s(0.45 * capacity, 0);
                        model.run(1);
                    });
        CPPUNIT_ASSERT(t.by_aim[1].in_aim < 0.9);
        CPPUNIT_ASSERT(t.random[1].in_aim < 0.9);
        CPPUNIT_ASSERT(t.by_priority[1].in_aim > 0.93);
        CPPUNIT_ASSERT(t.by_priority[0].in_aim > t.by_aim[0].in_aim - 0.06);
    }

    /// All servers take twelve times as long for 0.8 s, so that queues pass the
    /// aim.
    void queue_past_the_aim_is_passed_by_high_priority()
    {
        const table t =
            compare("queues past the aim, lowest (22 ms), highest (29 ms)",
                    fleet({kind(0.4 * capacity, 0.022, 2),
                           kind(0.2 * capacity, 0.029, 1)}),
                    [](load_model& model)
                    {
                        for (std::size_t i = 0; i < 20; ++i)
                            model.set_work_factor(i, 12);
                        model.run(0.8);
                        for (std::size_t i = 0; i < 20; ++i)
                            model.set_work_factor(i, 1);
                        model.run(3);
                    });
        const auto answered = [](const shares& s) { return s.in_aim + s.late; };
        CPPUNIT_ASSERT(answered(t.by_priority[1]) >
                       answered(t.by_aim[1]) + 0.02);
        CPPUNIT_ASSERT(answered(t.by_priority[0]) >
                       answered(t.by_aim[0]) - 0.06);
    }

    void short_requests_go_before_long_ones()
    {
        const table t = compare("short (5 ms, lowest), long (60 ms, highest)",
                                fleet({kind(2.2 * capacity, 0.005, 2),
                                       kind(0.29 * capacity, 0.06, 1)}),
                                [](load_model& model) { model.run(3); });
        CPPUNIT_ASSERT(t.by_priority[0].in_aim > t.by_aim[0].in_aim + 0.05);
        CPPUNIT_ASSERT(t.by_priority[1].in_aim > 0.5);
    }

    /// After a loss of power all servers are cold. Queues have to absorb the
    /// openings that come at once; a policy that rejects more of them loses.
    void callers_all_at_once_are_served_about_as_before()
    {
        const table t =
            compare("all callers at once, cold servers, lowest, highest",
                    fleet({kind(0.4 * capacity, 0.022, 2),
                           kind(0.11 * capacity, 0.029, 1)}),
                    [](load_model& model)
                    {
                        model.restart_servers(2);
                        model.add_callers(800, 0);
                        model.add_callers(200, 1);
                        model.run(4);
                    });
        CPPUNIT_ASSERT(t.by_priority[1].in_aim > t.by_aim[1].in_aim - 0.02);
        CPPUNIT_ASSERT(t.by_priority[0].in_aim > t.by_aim[0].in_aim - 0.02);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_load_test);

} // namespace
