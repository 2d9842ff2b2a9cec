#include "support/control_links.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace briarfield;
using namespace briarfield::test;
using namespace std::chrono_literals;

const std::string service_name = "datum-live";

/// Instances in the owner chain of a bucket.
std::set<instance_id> chain(const bucket_map& m, std::size_t bucket)
{
    std::set<instance_id> ids;
    const bucket_owners& o = m.buckets[bucket];
    for (std::size_t i = 0; i < o.length; ++i)
        ids.insert(m.targets[o.target[i]].instance);
    return ids;
}

/// Asserts that the owner of each bucket in \a lost is in its chain in \a m.
void assert_owners_kept(const bucket_map& lost, const bucket_map& m)
{
    for (std::size_t b = 0; b < lost.buckets.size(); ++b)
    {
        const std::uint16_t owner = lost.buckets[b].target[0];
        const instance_id id = lost.targets[owner].instance;
        CPPUNIT_ASSERT(chain(m, b).count(id) == 1);
    }
}

class map_authority_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(map_authority_test);
    CPPUNIT_TEST(balancers_converge_on_one_map);
    CPPUNIT_TEST(late_balancer_receives_the_current_map);
    CPPUNIT_TEST(dead_server_gets_no_flow_after_3s);
    CPPUNIT_TEST(draining_server_gets_no_flow_after_3s);
    CPPUNIT_TEST(server_outside_the_pool_gets_no_flow);
    CPPUNIT_TEST(dead_author_is_replaced_without_moving_buckets);
    CPPUNIT_TEST(partition_heals_and_owners_are_kept);
    CPPUNIT_TEST(resumed_author_does_not_replace_a_newer_map);
    CPPUNIT_TEST(released_owner_is_removed_from_the_chain);
    CPPUNIT_TEST(older_version_is_not_reinstalled);
    CPPUNIT_TEST(damaged_delta_is_rejected);
    CPPUNIT_TEST(lineage_covers_added_versions);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<control_fixture> fixture_;

    void start(std::size_t balancers, std::size_t agents)
    {
        fixture_ = std::make_unique<control_fixture>();
        fixture_->add_service(service_name);
        for (std::size_t b = 0; b < balancers; ++b)
            fixture_->add_balancer(b, 1);
        for (std::size_t a = 0; a < agents; ++a)
            fixture_->add_agent(a, service_name);
        fixture_->run(5s);
        CPPUNIT_ASSERT(fixture_->agree(service_name));
    }

    std::shared_ptr<const bucket_map> map_at(std::size_t balancer)
    {
        return fixture_->balancers[balancer]->control->maps().map(
            control_fixture::id_of(service_name));
    }

public:
    void balancers_converge_on_one_map()
    {
        start(5, 4);
        for (std::size_t b = 0; b < 5; ++b)
            for (const auto& a : fixture_->agents)
                CPPUNIT_ASSERT_EQUAL(std::size_t{64},
                                     fixture_->owned(b, service_name, *a));
        const map_version before = map_at(0)->version;
        fixture_->run(10s);
        CPPUNIT_ASSERT(before == map_at(0)->version);
    }

    void late_balancer_receives_the_current_map()
    {
        start(2, 3);
        const map_version before = map_at(0)->version;
        for (std::size_t late = 2; late < 8; ++late)
        {
            fixture_->add_balancer(late, 1);
            fixture_->run(3s);
        }
        CPPUNIT_ASSERT(fixture_->agree(service_name));
        CPPUNIT_ASSERT(before == map_at(7)->version);
    }

    void dead_server_gets_no_flow_after_3s()
    {
        start(5, 4);
        const instance_id dead = fixture_->agents[2]->id();
        fixture_->agents[2].reset();
        fixture_->run(3s);
        for (std::size_t b = 0; b < 5; ++b)
            CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                                 fixture_->owned(b, service_name, dead));
    }

    void draining_server_gets_no_flow_after_3s()
    {
        start(5, 4);
        fixture_->agents[2]->core->set_state(serving_state::draining);
        fixture_->run(3s);
        for (std::size_t b = 0; b < 5; ++b)
            CPPUNIT_ASSERT_EQUAL(
                std::size_t{0},
                fixture_->owned(b, service_name, *fixture_->agents[2]));
    }

    void server_outside_the_pool_gets_no_flow()
    {
        start(4, 3);
        const std::string name = fixture_->agents[1]->core->own().instance;
        for (const auto& b : fixture_->balancers)
            b->control->may_serve = [name](const announcement& a)
            { return a.instance != name; };
        fixture_->run(3s);
        for (std::size_t b = 0; b < 4; ++b)
            CPPUNIT_ASSERT_EQUAL(
                std::size_t{0},
                fixture_->owned(b, service_name, *fixture_->agents[1]));
        fixture_->run(10s);
        CPPUNIT_ASSERT(
            fixture_->agents[1]->core->leased()); // Keeps its existing flows.
    }

    void dead_author_is_replaced_without_moving_buckets()
    {
        start(5, 4);
        const auto before = map_at(0);
        const std::size_t author = fixture_->author(service_name);
        fixture_->balancers[author].reset();
        fixture_->run(4s);
        const std::size_t next = fixture_->author(service_name);
        CPPUNIT_ASSERT(next != author);
        CPPUNIT_ASSERT_EQUAL(0U, count_moved(*before, *map_at(next)));
        const instance_id dead = fixture_->agents[1]->id();
        fixture_->agents[1].reset();
        fixture_->run(3s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                             fixture_->owned(next, service_name, dead));
        CPPUNIT_ASSERT(fixture_->agree(service_name));
    }

    void partition_heals_and_owners_are_kept()
    {
        start(6, 6);
        const auto side = [](const endpoint& e)
        { return e.address.v4_bytes()[3] % 2; };
        fixture_->links.cut = [&](const endpoint& a, const endpoint& b)
        { return side(a) != side(b); };
        fixture_->run(20s);
        const auto left = map_at(0);
        const auto right = map_at(1);
        CPPUNIT_ASSERT(left->version != right->version);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0},
            fixture_->owned(0, service_name, *fixture_->agents[1]));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0},
            fixture_->owned(1, service_name, *fixture_->agents[0]));
        const auto before = fixture_->links.time().now();
        fixture_->links.cut = {};
        bool merged = false;
        fixture_->each_step = [&]
        {
            if (merged || !fixture_->agree(service_name) ||
                !(std::max(left->version, right->version) < map_at(0)->version))
                return;
            merged = true;
            assert_owners_kept(*left, *map_at(0));
            assert_owners_kept(*right, *map_at(0));
        };
        fixture_->run(15s);
        CPPUNIT_ASSERT(merged);
        CPPUNIT_ASSERT(fixture_->links.time().now() - before >= 15s);
        CPPUNIT_ASSERT(fixture_->agree(service_name));
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, map_at(0)->targets.size());
    }

    void resumed_author_does_not_replace_a_newer_map()
    {
        start(5, 4);
        const std::size_t author = fixture_->author(service_name);
        fixture_->balancers[author]->paused = true;
        fixture_->run(5s);
        fixture_->agents[0].reset();
        fixture_->run(4s);
        const map_version newer = map_at((author + 1) % 5)->version;
        fixture_->balancers[author]->paused = false;
        fixture_->run(5s);
        CPPUNIT_ASSERT(fixture_->agree(service_name));
        CPPUNIT_ASSERT(!(map_at(author)->version < newer));
        for (std::size_t b = 0; b < 5; ++b)
            CPPUNIT_ASSERT_EQUAL(
                std::size_t{0},
                fixture_->owned(b, service_name, make_instance_id("agent-0")));
    }

    void released_owner_is_removed_from_the_chain()
    {
        start(3, 3);
        fixture_->agents[0]->core->set_state(serving_state::draining);
        fixture_->run(10s);
        for (const bucket_owners& o : map_at(0)->buckets)
            CPPUNIT_ASSERT_EQUAL(std::uint8_t{1}, o.length);
    }

    void older_version_is_not_reinstalled()
    {
        start(3, 3);
        const std::string old =
            fixture_->balancers[0]->control->maps().delta({}, 1U << 16U);
        fixture_->agents[0].reset();
        fixture_->run(4s);
        const map_version newer = map_at(1)->version;
        CPPUNIT_ASSERT(
            bool(fixture_->balancers[1]->control->maps().merge(old)));
        fixture_->run(3s);
        CPPUNIT_ASSERT(newer == map_at(1)->version);
    }

    void damaged_delta_is_rejected()
    {
        start(2, 3);
        const std::string delta =
            fixture_->balancers[0]->control->maps().delta({}, 1U << 16U);
        manual_clock c;
        map_authority receiver(1, 1, c);
        for (std::size_t cut = 1; cut < delta.size(); cut += 7)
            (void)receiver.merge(delta.substr(0, cut));
        CPPUNIT_ASSERT(!receiver.merge(delta.substr(0, delta.size() / 2)));
        CPPUNIT_ASSERT(bool(receiver.merge(delta)));
        CPPUNIT_ASSERT(receiver.map(control_fixture::id_of(service_name)) !=
                       nullptr);
    }

    void lineage_covers_added_versions()
    {
        map_lineage ours;
        map_lineage theirs;
        const map_version first = map_version{}.next(7);
        const map_version left = first.next(7);
        const map_version right = first.next(9);
        ours.add(first);
        theirs.add(first);
        ours.add(left);
        theirs.add(right);
        CPPUNIT_ASSERT(ours.covers(first) && theirs.covers(first));
        CPPUNIT_ASSERT(!ours.covers(right) && !theirs.covers(left));
        ours.add(theirs);
        CPPUNIT_ASSERT(ours.covers(right) && ours.covers(left));
        map_version v = left;
        for (int i = 0; i < 100; ++i)
            ours.add(v = v.next(std::uint64_t(i % 40)));
        CPPUNIT_ASSERT(ours.runs().size() <= map_lineage::max_runs);
        CPPUNIT_ASSERT(ours.covers(first) && ours.covers(v));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(map_authority_test);

} // namespace
