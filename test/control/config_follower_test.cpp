#include "support/store_setup.hpp"

#include "briarfield/control/config_follower.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace
{

using namespace briarfield;
using namespace briarfield::test;
using namespace std::chrono_literals;

constexpr duration in_force_bound = 8s; // From the write to the last instance.
constexpr duration sync_interval = 500ms;
constexpr std::size_t sync_limit = 4096; // Maximum size of a delta, in bytes.

/// Followers on a manual clock, in a ring: the first ones watch the store, and
/// each follower sends a delta to the next one at each sync interval.
class fleet
{
public:
    explicit fleet(std::size_t size, std::size_t watchers, std::uint64_t seed)
        : random_(seed)
    {
        for (std::size_t i = 0; i < size; ++i)
            add(i < watchers);
        sync();
    }

    config_follower& add(bool watches)
    {
        members_.push_back(
            std::make_unique<config_follower>(store, timers, random_));
        members_.back()->should_watch = [watches] { return watches; };
        members_.back()->start();
        return *members_.back();
    }

    void run_for(duration d)
    {
        const time_point end = clock.now() + d;
        time_point due;
        while (timers.next_due(due) && due <= end)
        {
            if (due > clock.now())
                clock.advance(due - clock.now());
            timers.run_due();
        }
        clock.advance(end - clock.now());
    }

    bool all_in_force(const stored_object& o) const
    {
        return std::all_of(members_.begin(), members_.end(),
                           [&o](const auto& m)
                           { return m->in_force(o.key, o.generation); });
    }

    /// Time until \a o is in force on all followers, at most \a limit.
    duration time_to_in_force(const stored_object& o, duration limit)
    {
        const time_point start = clock.now();
        while (!all_in_force(o) && clock.now() - start < limit)
            run_for(50ms);
        return clock.now() - start;
    }

    config_follower& operator[](std::size_t i) { return *members_[i]; }

    manual_clock clock;
    timer_queue timers{clock};
    fake_object_store store{timers};
    bool partitioned = false;

private:
    void sync()
    {
        for (std::size_t i = 0; !partitioned && i < members_.size(); ++i)
        {
            config_follower& from = *members_[i];
            config_follower& to = *members_[(i + 1) % members_.size()];
            CPPUNIT_ASSERT(to.merge(from.delta(to.digest(), sync_limit)));
        }
        timers.schedule(sync_interval, [this] { sync(); });
    }

    random_source random_;
    std::vector<std::unique_ptr<config_follower>> members_;
};

stored_object make(fleet& f, const std::string& name, int port)
{
    return f.store.database()
        .create(service_object("himal", name, port))
        .value();
}

stored_object change(fleet& f, stored_object o, int port)
{
    o = f.store.database().get(o.key).value();
    o.spec = service_object("himal", o.key.name, port).spec;
    return f.store.database().update(o).value();
}

/// A fault of the store during which the configuration stays in force.
struct fault_row
{
    const char* name;
    void (*begin)(fleet&);
    bool store_reachable; ///< Changes still arrive within the bound.
};

void set_fault(fleet& f, void (*edit)(store_faults&))
{
    store_faults faults = f.store.faults();
    edit(faults);
    f.store.set_faults(faults);
}

const fault_row fault_rows[] = {
    {"none", [](fleet&) {}, true},
    {"outage",
     [](fleet& f) { set_fault(f, [](auto& faults) { faults.outage = true; }); },
     false},
    {"slow",
     [](fleet& f) { set_fault(f, [](auto& faults) { faults.delay = 2s; }); },
     true},
    {"repeated and old events",
     [](fleet& f)
     { set_fault(f, [](auto& faults) { faults.repeat_events = true; }); },
     true},
    {"compaction and ended watches",
     [](fleet& f)
     {
         f.store.database().compact();
         f.store.end_watches();
     },
     true},
    {"rate limit",
     [](fleet& f)
     { set_fault(f, [](auto& faults) { faults.calls_per_second = 2; }); },
     true},
    {"watches end every 300 ms",
     [](fleet& f)
     {
         for (int i = 1; i <= 20; ++i)
             f.timers.schedule(i * 300ms, [&f] { f.store.end_watches(); });
     },
     true},
};

class config_follower_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(config_follower_test);
    CPPUNIT_TEST(change_is_in_force_everywhere_within_bound);
    CPPUNIT_TEST(faults_alone_and_in_pairs);
    CPPUNIT_TEST(never_reverts_under_any_order_of_events);
    CPPUNIT_TEST(restarted_instance_becomes_ready_from_a_peer);
    CPPUNIT_TEST(instance_without_store_and_peers_is_not_ready);
    CPPUNIT_TEST(late_delta_does_not_restore_a_deleted_object);
    CPPUNIT_TEST(invalid_spec_leaves_the_previous_spec_in_force);
    CPPUNIT_TEST(bucket_count_cannot_be_changed);
    CPPUNIT_TEST(lost_event_is_repaired_by_list_and_peers);
    CPPUNIT_TEST(digest_of_many_objects_is_small);
    CPPUNIT_TEST(malformed_delta_is_rejected);
    CPPUNIT_TEST(only_watchers_call_the_store);
    CPPUNIT_TEST_SUITE_END();

public:
    void change_is_in_force_everywhere_within_bound()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed)
        {
            fleet f(6, 2, seed);
            stored_object o = make(f, "a", 1);
            CPPUNIT_ASSERT(f.time_to_in_force(o, 30s) <= in_force_bound);
            o = change(f, o, 2);
            CPPUNIT_ASSERT(f.time_to_in_force(o, 30s) <= in_force_bound);
        }
    }

    void faults_alone_and_in_pairs()
    {
        for (const fault_row& first : fault_rows)
            for (const fault_row& second : fault_rows)
                check_faults(first, second);
    }

    /// The version of an object never decreases when deltas are merged in any
    /// order, with repetitions and omissions.
    void never_reverts_under_any_order_of_events()
    {
        const bool held = rc::check(
            "the version of an object never decreases",
            []
            {
                fleet f(2, 0, 1);
                std::vector<std::string> deltas;
                for (int i = 0; i < 12; ++i)
                {
                    const auto name =
                        "s-" + std::to_string(*rc::gen::inRange(0, 3));
                    edit(f, name, i + 1);
                    fleet source(1, 1, 2);
                    copy_store(f, source);
                    deltas.push_back(source[0].delta(f[0].digest(), 1U << 20U));
                }
                std::map<object_key, std::uint64_t> newest;
                for (int i = 0; i < 30; ++i)
                {
                    const auto at =
                        *rc::gen::inRange<std::size_t>(0, deltas.size());
                    RC_ASSERT(f[0].merge(deltas[at]));
                    for (const char* name : {"s-0", "s-1", "s-2"})
                    {
                        const object_key key{object_kind::service, "himal",
                                             name};
                        const stored_object* o = f[0].object(key);
                        const std::uint64_t version =
                            o != nullptr ? o->version : 0;
                        if (version != 0)
                            RC_ASSERT(version >= newest[key]);
                        newest[key] = std::max(newest[key], version);
                    }
                }
            });
        CPPUNIT_ASSERT(held);
    }

    void restarted_instance_becomes_ready_from_a_peer()
    {
        fleet f(3, 1, 1);
        const stored_object o = make(f, "a", 1);
        f.run_for(10s);
        set_fault(f, [](auto& faults) { faults.outage = true; });
        config_follower& restarted = f.add(true);
        f.run_for(10s);
        CPPUNIT_ASSERT(restarted.ready());
        CPPUNIT_ASSERT(restarted.in_force(o.key, o.generation));
    }

    void instance_without_store_and_peers_is_not_ready()
    {
        fleet f(0, 0, 1);
        (void)make(f, "a", 1);
        set_fault(f, [](auto& faults) { faults.outage = true; });
        config_follower& isolated = f.add(true);
        f.run_for(1h);
        CPPUNIT_ASSERT(!isolated.ready());
        CPPUNIT_ASSERT(isolated.current()->services.empty());
        f.store.set_faults({});
        f.run_for(in_force_bound);
        CPPUNIT_ASSERT(isolated.ready());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             isolated.current()->services.size());
    }

    void late_delta_does_not_restore_a_deleted_object()
    {
        fleet f(3, 1, 1);
        const stored_object o = make(f, "a", 1);
        f.run_for(5s);
        const std::string stale_delta =
            f[0].delta(f.add(false).digest(), 1U << 20U);
        CPPUNIT_ASSERT(f.store.database().remove(o.key, o.version));
        f.run_for(5s);
        CPPUNIT_ASSERT(f[2].merge(stale_delta));
        CPPUNIT_ASSERT(f[2].object(o.key) == nullptr);
        CPPUNIT_ASSERT(f[2].current()->services.empty());
    }

    void invalid_spec_leaves_the_previous_spec_in_force()
    {
        fleet f(3, 1, 1);
        stored_object o = make(f, "a", 1);
        f.run_for(5s);
        o.spec["surprise"] = true;
        o = f.store.database().update(o).value();
        f.run_for(5s);
        config_follower& restarted = f.add(true); // Without the valid version.
        f.run_for(10s);
        for (const config_follower* m : {&f[0], &f[2], &restarted})
        {
            const object_report& r = m->current()->reports.at(o.key);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, r.generation);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, r.in_force_generation);
            CPPUNIT_ASSERT(r.problem.code == errc::object_unknown_field);
            CPPUNIT_ASSERT_EQUAL(std::string("spec.surprise"),
                                 r.problem.detail);
        }
    }

    void bucket_count_cannot_be_changed()
    {
        fleet f(1, 1, 1);
        stored_object o = make(f, "a", 1);
        f.run_for(5s);
        o.spec["bucketCount"] = 512;
        o = f.store.database().update(o).value();
        f.run_for(5s);
        const auto c = f[0].current();
        CPPUNIT_ASSERT(c->reports.at(o.key).problem.code ==
                       errc::object_invalid);
        CPPUNIT_ASSERT_EQUAL(256U, c->services.begin()->second.bucket_count);
    }

    void lost_event_is_repaired_by_list_and_peers()
    {
        fleet f(3, 1, 1);
        (void)make(f, "a", 1);
        f.run_for(5s);
        const auto on_event = std::move(f.store.database().on_event);
        f.store.database().on_event = {};
        const stored_object b = make(f, "b", 2);
        f.store.database().on_event = on_event;
        (void)make(f, "c", 3);
        f.run_for(5s);
        CPPUNIT_ASSERT(!f.all_in_force(b));
        f.run_for(11min);
        CPPUNIT_ASSERT(f.all_in_force(b));
    }

    void digest_of_many_objects_is_small()
    {
        constexpr int services = 1500;
        constexpr std::size_t digest_bound = 256; // Bytes.
        fleet f(2, 1, 1);
        for (int i = 0; i < services; ++i)
            (void)make(f, "s-" + std::to_string(i), i + 1);
        f.run_for(120s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{services},
                             f[1].current()->services.size());
        CPPUNIT_ASSERT(f[0].digest().size() <= digest_bound);
        CPPUNIT_ASSERT(f[0].delta(f[1].digest(), sync_limit).empty());
    }

    void malformed_delta_is_rejected()
    {
        fleet f(2, 1, 1);
        (void)make(f, "a", 1);
        f.run_for(5s);
        fleet other(1, 0, 1);
        std::string bytes = f[0].delta(other[0].digest(), 1U << 20U);
        const std::string before = other[0].digest();
        bytes.resize(bytes.size() / 2);
        const auto outcome = other[0].merge(bytes);
        CPPUNIT_ASSERT(!outcome);
        CPPUNIT_ASSERT(outcome.error().code == errc::message_malformed);
        CPPUNIT_ASSERT(before == other[0].digest());
    }

    void only_watchers_call_the_store()
    {
        fleet f(8, 2, 1);
        (void)make(f, "a", 1);
        f.run_for(60s);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, f.store.calls().reads);
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, f.store.open_watches());
    }

private:
    static void check_faults(const fault_row& first, const fault_row& second)
    {
        const std::string name =
            std::string(first.name) + " with " + second.name;
        fleet f(4, 2, 7);
        stored_object o = make(f, "a", 1);
        f.run_for(10s);
        CPPUNIT_ASSERT_MESSAGE(name, f.all_in_force(o));
        first.begin(f);
        second.begin(f);
        f.run_for(3s);
        CPPUNIT_ASSERT_MESSAGE(name + ": reverted", f.all_in_force(o));
        o = change(f, o, 2);
        const duration elapsed = f.time_to_in_force(o, 30s);
        if (first.store_reachable && second.store_reachable)
            CPPUNIT_ASSERT_MESSAGE(name + ": change took too long",
                                   elapsed <= in_force_bound);
        f.store.set_faults({});
        CPPUNIT_ASSERT_MESSAGE(name + ": change took too long after the fault",
                               f.time_to_in_force(o, 30s) <= in_force_bound);
    }

    static void edit(fleet& f, const std::string& name, int port)
    {
        auto& database = f.store.database();
        const auto held = database.get({object_kind::service, "himal", name});
        if (!held)
            (void)make(f, name, port);
        else if (*rc::gen::inRange(0, 4) == 0)
            RC_ASSERT(database.remove(held.value().key, held.value().version));
        else
            (void)change(f, held.value(), port);
    }

    /// Copies the store of \a from to \a to and lets the followers of \a to
    /// list it.
    static void copy_store(fleet& from, fleet& to)
    {
        to.store.database() = from.store.database();
        to.store.database().on_event = {};
        to.run_for(5s);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_follower_test);

} // namespace
