#include "briarfield/relay/membership_view.hpp"

#include "support/dispatch_world.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace briarfield;
using namespace briarfield::test;
using namespace std::chrono_literals;

class membership_view_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(membership_view_test);
    CPPUNIT_TEST(recorded_agent_is_awaited_until_it_is_heard);
    CPPUNIT_TEST(list_is_not_confirmed_without_the_store);
    CPPUNIT_TEST(silent_agent_is_given_up_until_its_record_changes);
    CPPUNIT_TEST(restarted_agent_that_is_not_heard_is_awaited);
    CPPUNIT_TEST(records_are_read_again_after_a_pause);
    CPPUNIT_TEST(hellos_are_repeated_and_limited);
    CPPUNIT_TEST(one_balancer_removes_a_record_without_an_owner);
    CPPUNIT_TEST(record_of_a_living_or_new_owner_is_kept);
    CPPUNIT_TEST_SUITE_END();

    static constexpr auto agent = member_kind::agent;
    static constexpr auto balancer = member_kind::balancer;

    manual_clock clock_;
    membership_view view_{clock_, host_endpoint(1, 80)};

    static membership_record record(std::uint8_t host, std::uint64_t revision)
    {
        return {"side-" + std::to_string(host), host_endpoint(host, 80),
                revision, revision};
    }

    void read(const record_list& agents)
    {
        view_.on_list(agent, agents);
        view_.on_list(balancer, {});
    }

    /// Advances the clock and sends what hellos are due.
    void wait(duration d)
    {
        for (const time_point end = clock_.now() + d; clock_.now() < end;)
        {
            view_.take_hellos(100);
            clock_.advance(100ms);
            view_.check();
        }
    }

    /// A balancer that had heard one of eight agents reset the flows of the
    /// others 2 s after its start.
    void recorded_agent_is_awaited_until_it_is_heard()
    {
        CPPUNIT_ASSERT(!view_.confirmed());
        view_.on_list(agent, {record(2, 1), record(3, 2)});
        view_.on_heard(agent, host_endpoint(2, 80), 1);
        view_.on_heard(agent, host_endpoint(3, 80), 2);
        CPPUNIT_ASSERT(!view_.confirmed());
        view_.on_list(balancer, {});
        CPPUNIT_ASSERT(view_.confirmed());
        read({record(2, 1), record(3, 2), record(4, 3)});
        CPPUNIT_ASSERT(!view_.confirmed());
        view_.on_heard(agent, host_endpoint(4, 80), 3);
        CPPUNIT_ASSERT(view_.confirmed());
        view_.on_reported(agent, host_endpoint(5, 80));
        CPPUNIT_ASSERT(!view_.confirmed());
    }

    /// A balancer that some agents found by their seeds, while the store
    /// refused the records, reset the flows of the others 6 s after its start.
    void list_is_not_confirmed_without_the_store()
    {
        view_.on_heard(agent, host_endpoint(2, 80), 1);
        wait(60s);
        CPPUNIT_ASSERT(!view_.confirmed());
        view_.on_list(agent, {record(2, 1), record(3, 2)});
        wait(60s);
        CPPUNIT_ASSERT(!view_.confirmed());
        view_.on_list(balancer, {});
        CPPUNIT_ASSERT(view_.confirmed());
    }

    /// Records of agents that are gone must not delay resets at each read.
    void silent_agent_is_given_up_until_its_record_changes()
    {
        read({record(2, 1)});
        wait(3900ms);
        CPPUNIT_ASSERT(!view_.confirmed());
        wait(300ms);
        CPPUNIT_ASSERT(view_.confirmed());
        read({record(2, 1)});
        view_.on_reported(agent, host_endpoint(2, 80));
        CPPUNIT_ASSERT(view_.confirmed());
        read({record(2, 5)});
        CPPUNIT_ASSERT(!view_.confirmed());
    }

    /// Its new incarnation may be heard by other balancers only.
    void restarted_agent_that_is_not_heard_is_awaited()
    {
        read({record(2, 1)});
        view_.on_heard(agent, host_endpoint(2, 80), 1);
        wait(5s);
        read({record(2, 1)});
        CPPUNIT_ASSERT(view_.confirmed());
        read({record(2, 7)});
        CPPUNIT_ASSERT(!view_.confirmed());
        view_.on_heard(agent, host_endpoint(2, 80), 7);
        read({record(2, 8)});
        CPPUNIT_ASSERT(view_.confirmed());
    }

    void records_are_read_again_after_a_pause()
    {
        read({});
        clock_.advance(20s);
        view_.restart();
        CPPUNIT_ASSERT(!view_.confirmed());
        read({});
        CPPUNIT_ASSERT(view_.confirmed());
    }

    /// Hundreds of old records must not cost a datagram each 0.4 s for good.
    void hellos_are_repeated_and_limited()
    {
        read({record(2, 1), record(3, 2), record(4, 3)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, view_.take_hellos(2).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, view_.take_hellos(2).size());
        CPPUNIT_ASSERT(view_.take_hellos(2).empty());
        clock_.advance(400ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, view_.take_hellos(9).size());
        wait(10s);
        CPPUNIT_ASSERT(view_.take_hellos(9).empty());
        read({record(2, 1), record(3, 2), record(4, 3)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, view_.take_hellos(9).size());
        CPPUNIT_ASSERT(view_.take_hellos(9).empty());
    }

    void one_balancer_removes_a_record_without_an_owner()
    {
        std::vector<endpoint> balancers;
        std::vector<std::unique_ptr<membership_view>> views;
        for (std::uint8_t host = 101; host <= 105; ++host)
        {
            balancers.push_back(host_endpoint(host, 80));
            views.push_back(
                std::make_unique<membership_view>(clock_, balancers.back()));
            views.back()->on_list(agent, {record(2, 1), record(3, 2)});
        }
        clock_.advance(59s);
        for (const auto& view : views)
            CPPUNIT_ASSERT(view->removable(agent, balancers).empty());
        clock_.advance(1s);
        std::size_t removals = 0;
        for (const auto& view : views)
            removals += view->removable(agent, balancers).size();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, removals);
        // Those that hear no other balancer remove them, too.
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             views[0]->removable(agent, {}).size());
    }

    void record_of_a_living_or_new_owner_is_kept()
    {
        const record_list all = {record(2, 1), record(3, 2), record(4, 3)};
        read(all);
        wait(50s);
        view_.on_heard(agent, host_endpoint(2, 80), 1);
        view_.on_reported(agent, host_endpoint(3, 80));
        read({all[0], all[1], record(4, 9)});
        wait(20s);
        CPPUNIT_ASSERT(view_.removable(agent, {}).empty());
        wait(41s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, view_.removable(agent, {}).size());
        // What was not heard during a pause of this balancer proves nothing.
        view_.restart();
        CPPUNIT_ASSERT(view_.removable(agent, {}).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(membership_view_test);

} // namespace
