#include "briarfield/relay/notice_plan.hpp"

#include "support/dispatch_world.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace briarfield;
using namespace briarfield::test;

/// Notices at the sizes of the deployments: 4, 59 and 550 balancers.
class notice_plan_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(notice_plan_test);
    CPPUNIT_TEST(each_agent_hears_from_a_few_balancers);
    CPPUNIT_TEST(few_balancers_notify_every_agent);
    CPPUNIT_TEST(each_balancer_gets_the_lists_of_each_other);
    CPPUNIT_TEST(agents_are_divided_evenly);
    CPPUNIT_TEST_SUITE_END();

    static endpoint balancer(std::size_t i)
    {
        return host_endpoint(static_cast<std::uint8_t>(i % 250),
                             static_cast<std::uint16_t>(7000 + i));
    }

    static endpoint agent(std::size_t i)
    {
        return host_endpoint(static_cast<std::uint8_t>(i % 250),
                             static_cast<std::uint16_t>(9000 + i));
    }

    static std::vector<notice_plan> plans_of(std::size_t balancers)
    {
        std::vector<notice_plan> plans;
        for (std::size_t own = 0; own < balancers; ++own)
        {
            std::vector<endpoint> others;
            for (std::size_t i = 0; i < balancers; ++i)
                if (i != own)
                    others.push_back(balancer(i));
            plans.emplace_back(balancer(own), others);
        }
        return plans;
    }

    static std::size_t notices_to(const std::vector<notice_plan>& plans,
                                  const endpoint& to)
    {
        std::size_t count = 0;
        for (const notice_plan& plan : plans)
            count += plan.notifies(to) ? 1 : 0;
        return count;
    }

    void each_agent_hears_from_a_few_balancers()
    {
        for (const std::size_t balancers : {59U, 550U})
        {
            const std::vector<notice_plan> plans = plans_of(balancers);
            for (std::size_t a = 0; a < 136; ++a)
                CPPUNIT_ASSERT_EQUAL(notice_plan::balancers_per_agent,
                                     notices_to(plans, agent(a)));
        }
    }

    void few_balancers_notify_every_agent()
    {
        for (const std::size_t balancers : {1U, 2U, 4U})
            CPPUNIT_ASSERT_EQUAL(balancers,
                                 notices_to(plans_of(balancers), agent(3)));
    }

    void each_balancer_gets_the_lists_of_each_other()
    {
        for (const std::size_t balancers : {2U, 4U, 59U})
        {
            const std::size_t rounds =
                (balancers + notice_plan::lists_per_round - 1) /
                notice_plan::lists_per_round;
            const std::vector<notice_plan> plans = plans_of(balancers);
            for (std::size_t to = 1; to < balancers; ++to)
            {
                std::size_t lists = 0;
                for (std::size_t round = 0; round < rounds; ++round)
                    lists += plans[0].gets_lists(balancer(to), round) ? 1 : 0;
                CPPUNIT_ASSERT_EQUAL(std::size_t(1), lists);
            }
        }
    }

    void agents_are_divided_evenly()
    {
        const std::vector<notice_plan> plans = plans_of(59);
        for (const notice_plan& plan : plans)
        {
            std::size_t notified = 0;
            for (std::size_t a = 0; a < 1360; ++a)
                notified += plan.notifies(agent(a)) ? 1 : 0;
            CPPUNIT_ASSERT(notified > 40);
            CPPUNIT_ASSERT(notified < 160);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(notice_plan_test);

} // namespace
