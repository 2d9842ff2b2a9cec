#include "briarfield/core/random.hpp"
#include "briarfield/load/peer_limit.hpp"
#include "briarfield/load/share_scheduler.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <numeric>
#include <rapidcheck.h>

namespace
{

using namespace briarfield;
using namespace std::chrono_literals;

constexpr double rounding = 1e-6;

std::vector<share_claim> arbitrary_claims()
{
    std::vector<share_claim> claims(*rc::gen::inRange<std::size_t>(1, 12));
    for (share_claim& c : claims)
    {
        c.team = *rc::gen::inRange<std::uint64_t>(0, 3);
        c.urgency_rank = *rc::gen::inRange(0U, 4U);
        c.share = *rc::gen::inRange(1, 20);
        c.demand = *rc::gen::inRange(0, 1000);
    }
    return claims;
}

double sum(const std::vector<double>& values)
{
    return std::accumulate(values.begin(), values.end(), 0.0);
}

class share_scheduler_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(share_scheduler_test);
    CPPUNIT_TEST(share_holds_while_demanded);
    CPPUNIT_TEST(unused_share_is_lent);
    CPPUNIT_TEST(team_gains_nothing_by_declaring_more);
    CPPUNIT_TEST(urgent_work_borrows_first);
    CPPUNIT_TEST(flood_does_not_reduce_rates_of_others);
    CPPUNIT_TEST(idle_service_gets_its_share_immediately);
    CPPUNIT_TEST(small_shares_do_not_starve);
    CPPUNIT_TEST(unknown_service_is_rejected);
    CPPUNIT_TEST(work_flood_does_not_reduce_floors);
    CPPUNIT_TEST(urgent_work_reclaims_immediately);
    CPPUNIT_TEST(peer_limits_sum_to_total);
    CPPUNIT_TEST_SUITE_END();

public:
    void share_holds_while_demanded()
    {
        const bool holds = rc::check(
            "a grant is at least the lesser of demand and floor",
            []
            {
                const auto claims = arbitrary_claims();
                const double budget = *rc::gen::inRange(1, 5000);
                const auto floors = share_floors(budget, claims);
                const auto grants = allocate_shares(budget, claims);
                for (std::size_t i = 0; i < claims.size(); ++i)
                {
                    const double guaranteed =
                        std::min(floors[i], claims[i].demand);
                    RC_ASSERT(grants[i] >= guaranteed - rounding);
                    RC_ASSERT(grants[i] <= claims[i].demand + rounding);
                    RC_ASSERT(floors[i] > 0);
                }
            });
        CPPUNIT_ASSERT(holds);
    }

    void unused_share_is_lent()
    {
        const bool holds =
            rc::check("grants sum to the lesser of budget and demand",
                      []
                      {
                          const auto claims = arbitrary_claims();
                          const double budget = *rc::gen::inRange(1, 5000);
                          double demand = 0;
                          for (const share_claim& c : claims)
                              demand += c.demand;
                          const double total =
                              sum(allocate_shares(budget, claims));
                          RC_ASSERT(std::abs(total - std::min(budget, demand)) <
                                    rounding * (1 + demand));
                      });
        CPPUNIT_ASSERT(holds);
    }

    void team_gains_nothing_by_declaring_more()
    {
        const std::vector<share_claim> claims = {
            {1, 0, 1, 100}, {2, 3, 100, 500}, {2, 3, 100, 500}};
        const auto grants = allocate_shares(200, claims);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100.0, grants[0], rounding);
    }

    void urgent_work_borrows_first()
    {
        const std::vector<share_claim> claims = {
            {1, 0, 1, 100}, {1, 3, 1, 70}, {1, 1, 2, 0}};
        const auto grants = allocate_shares(100, claims);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(70.0, grants[1], rounding);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(30.0, grants[0], rounding);
    }

    void flood_does_not_reduce_rates_of_others()
    {
        struct row
        {
            const char* name;
            service_id flooding;
        };
        const row table[] = {{"least urgent", 1}, {"most urgent", 3}};
        for (const row& r : table)
            flood(r.name, r.flooding);
    }

    void idle_service_gets_its_share_immediately()
    {
        rate_scheduler s = three_services();
        for (int i = 0; i < 100; ++i)
        {
            offer(s, 1, 500);
            clock_.advance(50ms);
            s.step();
        }
        // A third of 300 flows per second for one interval, all at one instant.
        CPPUNIT_ASSERT_EQUAL(5, offer(s, 2, 5));
    }

    void small_shares_do_not_starve()
    {
        constexpr service_id services = 1500;
        rate_scheduler::options opts;
        opts.rate = 1000;
        rate_scheduler s(opts, clock_);
        std::vector<share_class> classes;
        for (service_id id = 1; id <= services; ++id)
            classes.push_back({id, id % 100, 0, 1});
        s.set_classes(classes);
        std::vector<int> admitted(services + 1);
        for (int i = 0; i < 200; ++i)
        {
            for (service_id id = 1; id <= services; ++id)
                admitted[id] += offer(s, id, 1);
            clock_.advance(50ms);
            s.step();
        }
        // 10 s at 2/3 of a flow per second; a fraction of a flow is not
        // admitted.
        for (service_id id = 1; id <= services; ++id)
            CPPUNIT_ASSERT(admitted[id] >= 5);
    }

    void unknown_service_is_rejected()
    {
        rate_scheduler s = three_services();
        CPPUNIT_ASSERT(!s.admit(9));
    }

    void work_flood_does_not_reduce_floors()
    {
        work_scheduler s(8);
        s.set_classes({{1, 1, 0, 1}, {2, 1, 3, 3}});
        int flooding = 0;
        while (s.admit(1) && flooding < 100)
            ++flooding;
        converge(s);
        CPPUNIT_ASSERT_EQUAL(8, flooding);
        // The floor of service 2 is 6 of 8 units, although all are lent.
        for (int i = 0; i < 6; ++i)
            CPPUNIT_ASSERT(s.admit(2));
        s.step();
        for (int i = 0; i < 6; ++i)
            s.release(1);
        CPPUNIT_ASSERT(!s.admit(1));
    }

    void urgent_work_reclaims_immediately()
    {
        work_scheduler s(8);
        s.set_classes({{1, 1, 0, 1}, {2, 1, 3, 1}});
        while (s.admit(1))
            continue;
        converge(s);
        // The floor of service 2 is 4; service 1 uses 4 above its own floor.
        for (int i = 0; i < 4; ++i)
            CPPUNIT_ASSERT(s.admit(2));
        s.release(1);
        CPPUNIT_ASSERT(!s.admit(1));
        CPPUNIT_ASSERT(s.in_use() <= 12);
    }

    void peer_limits_sum_to_total()
    {
        const bool holds = rc::check(
            "parts of all live balancers sum to the limit, never above",
            []
            {
                manual_clock clock;
                const auto before = *rc::gen::inRange<std::size_t>(1, 50);
                const auto after = *rc::gen::inRange<std::size_t>(1, 50);
                std::vector<peer_limit> limits(std::max(before, after),
                                               peer_limit({1000, 2s}));
                const auto part_sum = [&](std::size_t live)
                {
                    double total = 0;
                    for (std::size_t i = 0; i < live; ++i)
                        total += limits[i].local_limit();
                    return total;
                };
                for (std::size_t i = 0; i < before; ++i)
                    limits[i].set_live_balancers(before, clock.now());
                RC_ASSERT(std::abs(part_sum(before) - 1000) < rounding);
                for (std::size_t i = 0; i < after; ++i)
                    limits[i].set_live_balancers(after, clock.now());
                RC_ASSERT(part_sum(after) < 1000 + rounding);
                clock.advance(2s);
                for (std::size_t i = 0; i < after; ++i)
                    limits[i].set_live_balancers(after, clock.now());
                RC_ASSERT(std::abs(part_sum(after) - 1000) < rounding);
            });
        CPPUNIT_ASSERT(holds);
    }

private:
    rate_scheduler three_services()
    {
        rate_scheduler::options opts;
        opts.rate = 300;
        rate_scheduler s(opts, clock_);
        s.set_classes({{1, 1, 0, 1}, {2, 1, 1, 1}, {3, 1, 3, 1}});
        return s;
    }

    static int offer(rate_scheduler& s, service_id id, int flows)
    {
        int admitted = 0;
        for (int i = 0; i < flows; ++i)
            admitted += s.admit(id) ? 1 : 0;
        return admitted;
    }

    /// Runs steps until the means have converged to the units in use.
    static void converge(work_scheduler& s)
    {
        for (int i = 0; i < 100; ++i)
            s.step();
    }

    /// Each service offers 80 flows per second, the flooding one ten times
    /// that.
    void flood(const char* name, service_id flooding)
    {
        rate_scheduler s = three_services();
        int admitted_flows[4] = {};
        int total = 0;
        for (int i = 0; i < 200; ++i)
        {
            for (service_id id = 1; id <= 3; ++id)
                admitted_flows[id] += offer(s, id, id == flooding ? 40 : 4);
            clock_.advance(50ms);
            s.step();
        }
        for (service_id id = 1; id <= 3; ++id)
        {
            total += admitted_flows[id];
            if (id != flooding)
                CPPUNIT_ASSERT_MESSAGE(name, admitted_flows[id] >= 0.99 * 800);
        }
        // The rate for 10 s, plus the initial reserves.
        CPPUNIT_ASSERT_MESSAGE(name, total <= 3000 + 75);
    }

    manual_clock clock_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(share_scheduler_test);

} // namespace
