#include "support/control_links.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace briarfield;
using namespace briarfield::test;
using namespace std::chrono_literals;

const std::string datum = "datum-live";

class membership_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(membership_test);
    CPPUNIT_TEST(no_false_death_with_loss);
    CPPUNIT_TEST(dead_balancer_is_found);
    CPPUNIT_TEST(one_observer_alone_kills_nobody);
    CPPUNIT_TEST(restart_with_a_clock_behind_wins);
    CPPUNIT_TEST(agent_restart_with_a_clock_behind_wins);
    CPPUNIT_TEST(duplicate_agent_is_refused);
    CPPUNIT_TEST(duplicate_balancer_is_refused);
    CPPUNIT_TEST(last_agent_is_never_ejected);
    CPPUNIT_TEST(paused_agent_fences_itself_before_death);
    CPPUNIT_TEST(replayed_announcement_proves_nothing);
    CPPUNIT_TEST(restart_storm_settles);
    CPPUNIT_TEST(cold_start_ramps);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<control_fixture> f_ = std::make_unique<control_fixture>();

    void start(std::size_t balancers, std::size_t agents)
    {
        f_->add_service(datum);
        for (std::size_t b = 0; b < balancers; ++b)
            f_->add_balancer(b, 1);
        for (std::size_t a = 0; a < agents; ++a)
            f_->add_agent(a, datum);
        f_->run(5s);
    }

    std::uint64_t agent_deaths()
    {
        std::uint64_t n = 0;
        for (const auto& b : f_->balancers)
            if (b)
                n += b->control->agents().counters().value(
                    agent_registry_event::died);
        return n;
    }

    std::uint64_t balancer_deaths()
    {
        std::uint64_t n = 0;
        for (const auto& b : f_->balancers)
            if (b)
                n += b->control->members().counters().value(
                    membership_event::died);
        return n;
    }

public:
    void no_false_death_with_loss()
    {
        for (const double loss : {0.01, 0.05})
        {
            f_ = std::make_unique<control_fixture>(7);
            f_->links.loss = loss;
            start(8, 12);
            f_->run(60s);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, balancer_deaths());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, agent_deaths());
            for (const auto& a : f_->agents)
                CPPUNIT_ASSERT(a->core->leased());
        }
    }

    void dead_balancer_is_found()
    {
        start(8, 0);
        f_->balancers[3].reset();
        f_->run(4s);
        for (const auto& b : f_->balancers)
            if (b)
                CPPUNIT_ASSERT_EQUAL(std::size_t{7},
                                     b->control->members().live_count());
    }

    void one_observer_alone_kills_nobody()
    {
        start(6, 4);
        f_->links.cut = [&](const endpoint& a, const endpoint& b)
        { return b == address_of(1, 2) && a != address_of(1, 3); };
        f_->run(20s);
        for (std::size_t b = 0; b < 6; ++b)
            if (b != 2)
                CPPUNIT_ASSERT_EQUAL(
                    std::size_t{6},
                    f_->balancers[b]->control->members().live_count());
    }

    void restart_with_a_clock_behind_wins()
    {
        start(4, 0);
        f_->add_balancer(2, 1000);
        f_->run(2s);
        f_->add_balancer(2, 5);
        f_->run(3s);
        CPPUNIT_ASSERT(
            f_->balancers[2]->control->members().local_record().incarnation >
            1000);
        const auto* seen = f_->balancers[0]->control->members().find(
            make_instance_id("balancer-2"));
        CPPUNIT_ASSERT(seen != nullptr);
        CPPUNIT_ASSERT(seen->state == member_state::alive);
        CPPUNIT_ASSERT(seen->incarnation > 1000);
    }

    void agent_restart_with_a_clock_behind_wins()
    {
        start(3, 2);
        f_->add_agent(0, datum, 1000);
        f_->run(1s);
        f_->add_agent(0, datum, 5);
        f_->run(1s);
        CPPUNIT_ASSERT(f_->agents[0]->core->own().incarnation > 1000);
        CPPUNIT_ASSERT(f_->agents[0]->core->leased());
    }

    void duplicate_agent_is_refused()
    {
        start(3, 2);
        auto& twin = f_->add_agent(9, datum, 50, "agent-0");
        f_->run(10s);
        CPPUNIT_ASSERT(!twin.core->granted());
        CPPUNIT_ASSERT(f_->agents[0]->core->leased());
        CPPUNIT_ASSERT(f_->owned(0, datum, *f_->agents[0]) > 0);
        std::uint64_t refused = 0;
        for (const auto& b : f_->balancers)
            refused += b->control->agents().counters().value(
                agent_registry_event::duplicate_refused);
        CPPUNIT_ASSERT(refused > 0);
    }

    void duplicate_balancer_is_refused()
    {
        start(3, 0);
        balancer_record twin =
            f_->balancers[1]->control->members().local_record();
        twin.control = address_of(1, 99);
        twin.incarnation = 77;
        membership& at = f_->balancers[0]->control->members();
        CPPUNIT_ASSERT(!at.on_heartbeat(twin, 1));
        CPPUNIT_ASSERT(at.find(twin.id())->control == address_of(1, 1));
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{1},
            at.counters().value(membership_event::duplicate_refused));
    }

    void last_agent_is_never_ejected()
    {
        start(3, 2);
        f_->agents[0].reset();
        f_->run(4s);
        const instance_id last = f_->agents[1]->id();
        f_->agents[1].reset();
        f_->run(30s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{256}, f_->owned(0, datum, last));
    }

    void paused_agent_fences_itself_before_death()
    {
        start(4, 3);
        test_agent& agent = *f_->agents[1];
        agent.paused = true;
        bool overlap = false;
        f_->each_step = [&]
        {
            const bool gone = agent_deaths() > 0;
            overlap = overlap || (gone && agent.core->leased());
        };
        f_->run(4s);
        CPPUNIT_ASSERT(agent_deaths() > 0);
        CPPUNIT_ASSERT(!overlap);
        f_->each_step = {};
        agent.paused = false;
        f_->run(15s);
        CPPUNIT_ASSERT(agent.core->leased());
        CPPUNIT_ASSERT(f_->owned(0, datum, agent) > 0);
    }

    void replayed_announcement_proves_nothing()
    {
        start(3, 3);
        const announcement old = f_->agents[2]->core->own();
        const instance_id id = f_->agents[2]->id();
        f_->agents[2].reset();
        f_->each_step = [&]
        {
            for (const auto& b : f_->balancers)
                b->control->on_datagram(old, address_of(2, 2));
        };
        f_->run(3s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, f_->owned(0, datum, id));
    }

    void restart_storm_settles()
    {
        start(6, 12);
        std::uint64_t incarnation = 2;
        for (std::size_t i = 0; i < 12; ++i)
        {
            f_->add_agent(i, datum, incarnation);
            f_->add_balancer(i % 6, ++incarnation);
            f_->run(400ms);
        }
        f_->run(25s);
        CPPUNIT_ASSERT(f_->agree(datum));
        for (const auto& b : f_->balancers)
            CPPUNIT_ASSERT_EQUAL(std::size_t{6},
                                 b->control->members().live_count());
        for (const auto& a : f_->agents)
            CPPUNIT_ASSERT(f_->owned(0, datum, *a) > 0);
    }

    void cold_start_ramps()
    {
        start(3, 3);
        auto& fresh = f_->add_agent(3, datum);
        f_->run(1500ms);
        const std::size_t early = f_->owned(0, datum, fresh);
        f_->run(14s);
        CPPUNIT_ASSERT(early > 0);
        CPPUNIT_ASSERT(early < 32);
        CPPUNIT_ASSERT_EQUAL(std::size_t{64}, f_->owned(0, datum, fresh));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(membership_test);

} // namespace
