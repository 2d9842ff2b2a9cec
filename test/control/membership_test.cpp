#include "support/control_links.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace briarfield;
using namespace briarfield::test;
using namespace std::chrono_literals;

const std::string service_name = "datum-live";

class membership_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(membership_test);
    CPPUNIT_TEST(packet_loss_causes_no_false_death);
    CPPUNIT_TEST(dead_balancer_is_detected);
    CPPUNIT_TEST(single_observer_cannot_mark_a_balancer_dead);
    CPPUNIT_TEST(balancer_restart_with_an_earlier_clock_supersedes);
    CPPUNIT_TEST(agent_restart_with_an_earlier_clock_supersedes);
    CPPUNIT_TEST(duplicate_agent_is_rejected);
    CPPUNIT_TEST(duplicate_balancer_is_rejected);
    CPPUNIT_TEST(last_agent_is_never_ejected);
    CPPUNIT_TEST(paused_agent_loses_its_lease_before_it_is_marked_dead);
    CPPUNIT_TEST(replayed_announcement_does_not_keep_an_agent_alive);
    CPPUNIT_TEST(restart_storm_converges);
    CPPUNIT_TEST(new_agent_ramps_up);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<control_fixture> fixture_ =
        std::make_unique<control_fixture>();

    void start(std::size_t balancers, std::size_t agents)
    {
        fixture_->add_service(service_name);
        for (std::size_t b = 0; b < balancers; ++b)
            fixture_->add_balancer(b, 1);
        for (std::size_t a = 0; a < agents; ++a)
            fixture_->add_agent(a, service_name);
        fixture_->run(5s);
    }

    std::uint64_t agent_deaths()
    {
        std::uint64_t n = 0;
        for (const auto& b : fixture_->balancers)
            if (b)
                n += b->control->agents().counters().value(
                    agent_registry_event::died);
        return n;
    }

    std::uint64_t balancer_deaths()
    {
        std::uint64_t n = 0;
        for (const auto& b : fixture_->balancers)
            if (b)
                n += b->control->members().counters().value(
                    membership_event::died);
        return n;
    }

public:
    void packet_loss_causes_no_false_death()
    {
        for (const double loss : {0.01, 0.05})
        {
            fixture_ = std::make_unique<control_fixture>(7);
            fixture_->links.loss = loss;
            start(8, 12);
            fixture_->run(60s);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, balancer_deaths());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, agent_deaths());
            for (const auto& a : fixture_->agents)
                CPPUNIT_ASSERT(a->core->leased());
        }
    }

    void dead_balancer_is_detected()
    {
        start(8, 0);
        fixture_->balancers[3].reset();
        fixture_->run(4s);
        for (const auto& b : fixture_->balancers)
            if (b)
                CPPUNIT_ASSERT_EQUAL(std::size_t{7},
                                     b->control->members().live_count());
    }

    void single_observer_cannot_mark_a_balancer_dead()
    {
        start(6, 4);
        fixture_->links.cut = [&](const endpoint& a, const endpoint& b)
        { return b == address_of(1, 2) && a != address_of(1, 3); };
        fixture_->run(20s);
        for (std::size_t b = 0; b < 6; ++b)
            if (b != 2)
                CPPUNIT_ASSERT_EQUAL(
                    std::size_t{6},
                    fixture_->balancers[b]->control->members().live_count());
    }

    void balancer_restart_with_an_earlier_clock_supersedes()
    {
        start(4, 0);
        fixture_->add_balancer(2, 1000);
        fixture_->run(2s);
        fixture_->add_balancer(2, 5);
        fixture_->run(3s);
        CPPUNIT_ASSERT(fixture_->balancers[2]
                           ->control->members()
                           .local_record()
                           .incarnation > 1000);
        const auto* record = fixture_->balancers[0]->control->members().find(
            make_instance_id("balancer-2"));
        CPPUNIT_ASSERT(record != nullptr);
        CPPUNIT_ASSERT(record->state == member_state::alive);
        CPPUNIT_ASSERT(record->incarnation > 1000);
    }

    void agent_restart_with_an_earlier_clock_supersedes()
    {
        start(3, 2);
        fixture_->add_agent(0, service_name, 1000);
        fixture_->run(1s);
        fixture_->add_agent(0, service_name, 5);
        fixture_->run(1s);
        CPPUNIT_ASSERT(fixture_->agents[0]->core->own().incarnation > 1000);
        CPPUNIT_ASSERT(fixture_->agents[0]->core->leased());
    }

    void duplicate_agent_is_rejected()
    {
        start(3, 2);
        auto& duplicate = fixture_->add_agent(9, service_name, 50, "agent-0");
        fixture_->run(10s);
        CPPUNIT_ASSERT(!duplicate.core->granted());
        CPPUNIT_ASSERT(fixture_->agents[0]->core->leased());
        CPPUNIT_ASSERT(fixture_->owned(0, service_name, *fixture_->agents[0]) >
                       0);
        std::uint64_t refused = 0;
        for (const auto& b : fixture_->balancers)
            refused += b->control->agents().counters().value(
                agent_registry_event::duplicate_refused);
        CPPUNIT_ASSERT(refused > 0);
    }

    void duplicate_balancer_is_rejected()
    {
        start(3, 0);
        balancer_record duplicate =
            fixture_->balancers[1]->control->members().local_record();
        duplicate.control = address_of(1, 99);
        duplicate.incarnation = 77;
        membership& at = fixture_->balancers[0]->control->members();
        CPPUNIT_ASSERT(!at.on_heartbeat(duplicate, 1));
        CPPUNIT_ASSERT(at.find(duplicate.id())->control == address_of(1, 1));
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{1},
            at.counters().value(membership_event::duplicate_refused));
    }

    void last_agent_is_never_ejected()
    {
        start(3, 2);
        fixture_->agents[0].reset();
        fixture_->run(4s);
        const instance_id last = fixture_->agents[1]->id();
        fixture_->agents[1].reset();
        fixture_->run(30s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{256},
                             fixture_->owned(0, service_name, last));
    }

    void paused_agent_loses_its_lease_before_it_is_marked_dead()
    {
        start(4, 3);
        test_agent& agent = *fixture_->agents[1];
        agent.paused = true;
        bool overlap = false;
        fixture_->each_step = [&]
        {
            const bool marked_dead = agent_deaths() > 0;
            overlap = overlap || (marked_dead && agent.core->leased());
        };
        fixture_->run(4s);
        CPPUNIT_ASSERT(agent_deaths() > 0);
        CPPUNIT_ASSERT(!overlap);
        fixture_->each_step = {};
        agent.paused = false;
        fixture_->run(15s);
        CPPUNIT_ASSERT(agent.core->leased());
        CPPUNIT_ASSERT(fixture_->owned(0, service_name, agent) > 0);
    }

    void replayed_announcement_does_not_keep_an_agent_alive()
    {
        start(3, 3);
        const announcement old = fixture_->agents[2]->core->own();
        const instance_id id = fixture_->agents[2]->id();
        fixture_->agents[2].reset();
        fixture_->each_step = [&]
        {
            for (const auto& b : fixture_->balancers)
                b->control->on_datagram(old, address_of(2, 2));
        };
        fixture_->run(3s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                             fixture_->owned(0, service_name, id));
    }

    void restart_storm_converges()
    {
        start(6, 12);
        std::uint64_t incarnation = 2;
        for (std::size_t i = 0; i < 12; ++i)
        {
            fixture_->add_agent(i, service_name, incarnation);
            fixture_->add_balancer(i % 6, ++incarnation);
            fixture_->run(400ms);
        }
        fixture_->run(25s);
        CPPUNIT_ASSERT(fixture_->agree(service_name));
        for (const auto& b : fixture_->balancers)
            CPPUNIT_ASSERT_EQUAL(std::size_t{6},
                                 b->control->members().live_count());
        for (const auto& a : fixture_->agents)
            CPPUNIT_ASSERT(fixture_->owned(0, service_name, *a) > 0);
    }

    void new_agent_ramps_up()
    {
        start(3, 3);
        auto& new_agent = fixture_->add_agent(3, service_name);
        fixture_->run(1500ms);
        const std::size_t early = fixture_->owned(0, service_name, new_agent);
        fixture_->run(14s);
        CPPUNIT_ASSERT(early > 0);
        CPPUNIT_ASSERT(early < 32);
        CPPUNIT_ASSERT_EQUAL(std::size_t{64},
                             fixture_->owned(0, service_name, new_agent));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(membership_test);

} // namespace
