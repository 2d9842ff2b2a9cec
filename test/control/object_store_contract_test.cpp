#include "support/store_setup.hpp"

#include "briarfield/control/confirmed_write.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace briarfield;
using namespace briarfield::test;
using namespace std::chrono_literals;

/// A test that every implementation of object_store must pass.
struct contract_case
{
    const char* name;
    void (*run)(store_setup&);
};

/// Records the events and the end of a watch.
struct watch_log
{
    std::vector<watch_event> events;
    std::optional<error> ended;
    std::unique_ptr<object_store::watch> watch;

    void start(store_setup& setup, std::uint64_t version)
    {
        watch = setup.store().start_watch(
            object_kind::service, version,
            [this](const watch_event& e) { events.push_back(e); },
            [this](error e) { ended = std::move(e); });
    }
};

void assert_code(errc expected, const error& e)
{
    CPPUNIT_ASSERT_EQUAL_MESSAGE(e.message(), std::string(errc_name(expected)),
                                 std::string(errc_name(e.code)));
}

void created_object_is_read_back(store_setup& setup)
{
    const auto made = setup.create(service_object("himal", "datum-live"));
    CPPUNIT_ASSERT(made);
    CPPUNIT_ASSERT(!made.value().uid.empty());
    const auto read = setup.get(made.value().key);
    CPPUNIT_ASSERT(read);
    CPPUNIT_ASSERT(read.value().spec == made.value().spec);
    CPPUNIT_ASSERT_EQUAL(made.value().version, read.value().version);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, read.value().generation);
}

void second_create_is_rejected(store_setup& setup)
{
    CPPUNIT_ASSERT(setup.create(service_object("himal", "datum-live")));
    const auto again = setup.create(service_object("himal", "datum-live", 9));
    CPPUNIT_ASSERT(!again);
    assert_code(errc::store_already_exists, again.error());
}

void absent_object_is_not_found(store_setup& setup)
{
    const object_key key{object_kind::service, "himal", "none"};
    assert_code(errc::store_not_found, setup.get(key).error());
    assert_code(errc::store_not_found, setup.remove(key, 1).error());
    assert_code(errc::store_not_found,
                setup.update(service_object("himal", "none")).error());
}

void stale_update_conflicts(store_setup& setup)
{
    const auto first =
        setup.create(service_object("himal", "datum-live")).value();
    stored_object first_update = first;
    first_update.spec = service_object("himal", "datum-live", 1).spec;
    stored_object other_update = first;
    other_update.spec = service_object("himal", "datum-live", 2).spec;
    const auto updated = setup.update(first_update);
    CPPUNIT_ASSERT(updated);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, updated.value().generation);
    assert_code(errc::store_conflict, setup.update(other_update).error());
    assert_code(errc::store_conflict,
                setup.remove(first.key, first.version).error());
    CPPUNIT_ASSERT(setup.get(first.key).value().spec == first_update.spec);
}

void status_and_spec_are_written_separately(store_setup& setup)
{
    auto object = setup.create(service_object("himal", "datum-live")).value();
    const auto spec = object.spec;
    object.status = {{"observedGeneration", 1}};
    object.spec = {{"other", true}};
    const auto after = setup.update_status(object);
    CPPUNIT_ASSERT(after);
    CPPUNIT_ASSERT(after.value().spec == spec);
    CPPUNIT_ASSERT(after.value().status == object.status);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, after.value().generation);
    CPPUNIT_ASSERT(after.value().version > object.version);
}

void removed_name_gets_a_new_uid(store_setup& setup)
{
    const auto first =
        setup.create(service_object("himal", "datum-live")).value();
    CPPUNIT_ASSERT(setup.remove(first.key, first.version));
    assert_code(errc::store_not_found, setup.get(first.key).error());
    const auto second =
        setup.create(service_object("himal", "datum-live")).value();
    CPPUNIT_ASSERT(first.uid != second.uid);
    CPPUNIT_ASSERT(second.version > first.version);
}

void list_is_complete_and_has_a_version(store_setup& setup)
{
    constexpr int count = 1203; // More than two pages.
    for (int i = 0; i < count; ++i)
        CPPUNIT_ASSERT(setup.platform().database().create(
            service_object("himal", "s-" + std::to_string(i), i + 1)));
    const auto all = setup.list(object_kind::service);
    CPPUNIT_ASSERT(all);
    CPPUNIT_ASSERT_EQUAL(std::size_t{count}, all.value().items.size());
    CPPUNIT_ASSERT_EQUAL(setup.platform().database().version(),
                         all.value().version);
    CPPUNIT_ASSERT(setup.list(object_kind::team).value().items.empty());
}

void watch_reports_changes_after_a_version(store_setup& setup)
{
    const auto first = setup.create(service_object("himal", "a", 1)).value();
    auto second = setup.create(service_object("himal", "b", 2)).value();
    watch_log log;
    log.start(setup, first.version);
    setup.run_until([&] { return log.events.size() == 1; });
    second.spec = service_object("himal", "b", 3).spec;
    second = setup.update(second).value();
    CPPUNIT_ASSERT(setup.remove(second.key, second.version));
    setup.run_until([&] { return log.events.size() == 3; });
    CPPUNIT_ASSERT(log.events[0].type == watch_event_type::added);
    CPPUNIT_ASSERT(log.events[1].type == watch_event_type::modified);
    CPPUNIT_ASSERT(log.events[1].object.spec == second.spec);
    CPPUNIT_ASSERT(log.events[2].type == watch_event_type::deleted);
    CPPUNIT_ASSERT(log.events[2].object.version > second.version);
}

void watch_of_compacted_history_requires_a_list(store_setup& setup)
{
    CPPUNIT_ASSERT(setup.create(service_object("himal", "a")));
    CPPUNIT_ASSERT(setup.create(service_object("himal", "b")));
    setup.platform().database().compact();
    watch_log log;
    log.start(setup, 1);
    setup.run_until([&] { return log.ended.has_value(); });
    assert_code(errc::store_history_compacted, *log.ended);
}

void ended_watch_calls_on_end(store_setup& setup)
{
    watch_log log;
    log.start(setup, 0);
    CPPUNIT_ASSERT(setup.create(service_object("himal", "a")));
    setup.run_until([&] { return log.events.size() == 1; });
    setup.platform().end_watches();
    setup.run_until([&] { return log.ended.has_value(); });
    CPPUNIT_ASSERT(log.ended->code == errc::ok ||
                   log.ended->code == errc::store_unreachable);
}

void outage_fails_calls_and_watches(store_setup& setup)
{
    const auto made = setup.create(service_object("himal", "a")).value();
    watch_log log;
    log.start(setup, 0);
    setup.run_until([&] { return !log.events.empty(); });
    store_faults faults;
    faults.outage = true;
    setup.platform().set_faults(faults);
    setup.run_until([&] { return log.ended.has_value(); });
    // A connection that was closed by the outage may look like a normal end.
    CPPUNIT_ASSERT(log.ended->code == errc::ok ||
                   log.ended->code == errc::store_unreachable);
    assert_code(errc::store_unreachable, setup.get(made.key).error());
    assert_code(errc::store_unreachable, setup.list(object_kind::team).error());
    CPPUNIT_ASSERT(!setup.create(service_object("himal", "b")));
    setup.platform().set_faults({});
    CPPUNIT_ASSERT(setup.get(made.key));
}

void lost_response_leaves_the_outcome_unknown(store_setup& setup)
{
    store_faults faults;
    faults.lost_answers = 1;
    setup.platform().set_faults(faults);
    const auto lost = setup.create(service_object("himal", "a"));
    CPPUNIT_ASSERT(!lost);
    assert_code(errc::store_outcome_unknown, lost.error());
    CPPUNIT_ASSERT(setup.get({object_kind::service, "himal", "a"}));
}

void excess_calls_are_rate_limited(store_setup& setup)
{
    store_faults faults;
    faults.calls_per_second = 1;
    setup.platform().set_faults(faults);
    const object_key key{object_kind::service, "himal", "a"};
    errc code = errc::store_not_found;
    for (int i = 0; i < 5 && code == errc::store_not_found; ++i)
        code = setup.get(key).error().code;
    CPPUNIT_ASSERT(code == errc::store_rate_limited);
    CPPUNIT_ASSERT(setup.platform().calls().rate_limited >= 1);
}

void calls_are_counted(store_setup& setup)
{
    const auto before = setup.platform().calls();
    auto made = setup.create(service_object("himal", "a")).value();
    (void)setup.get(made.key);
    watch_log log;
    log.start(setup, 0);
    setup.run_until([&] { return !log.events.empty(); });
    const auto after = setup.platform().calls();
    CPPUNIT_ASSERT_EQUAL(before.writes + 1, after.writes);
    CPPUNIT_ASSERT_EQUAL(before.reads + 1, after.reads);
    CPPUNIT_ASSERT_EQUAL(before.watches + 1, after.watches);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, setup.platform().open_watches());
}

/// Calls write_confirmed() and waits for its result.
result<stored_object>
confirmed(store_setup& setup, write_kind kind, const stored_object& object)
{
    random_source random(7);
    const write_context context{&setup.store(), &setup.timers(), &random};
    return setup.wait<stored_object>(
        [&](auto h) { write_confirmed(context, kind, object, h); });
}

void confirmed_write_succeeds_after_a_lost_response(store_setup& setup)
{
    store_faults faults;
    faults.lost_answers = 1;
    setup.platform().set_faults(faults);
    auto made =
        confirmed(setup, write_kind::create, service_object("himal", "a", 1));
    CPPUNIT_ASSERT(made);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, setup.platform().calls().writes);
    stored_object object = made.value();
    object.spec = service_object("himal", "a", 2).spec;
    setup.platform().set_faults(faults);
    const auto updated = confirmed(setup, write_kind::update, object);
    CPPUNIT_ASSERT(updated);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, updated.value().generation);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, setup.platform().calls().writes);
}

void confirmed_write_detects_a_concurrent_write(store_setup& setup)
{
    stored_object object =
        setup.create(service_object("himal", "a", 1)).value();
    stored_object other_update = object;
    other_update.spec = service_object("himal", "a", 8).spec;
    CPPUNIT_ASSERT(setup.platform().database().update(other_update));
    store_faults faults;
    faults.lost_answers = 1;
    setup.platform().set_faults(faults);
    object.spec = service_object("himal", "a", 9).spec;
    const auto lost = confirmed(setup, write_kind::update, object);
    CPPUNIT_ASSERT(!lost);
    assert_code(errc::store_conflict, lost.error());
    CPPUNIT_ASSERT(setup.get(object.key).value().spec == other_update.spec);
}

constexpr contract_case contract[] = {
    {"created object is read back", created_object_is_read_back},
    {"second create is rejected", second_create_is_rejected},
    {"absent object is not found", absent_object_is_not_found},
    {"stale update conflicts", stale_update_conflicts},
    {"status and spec are written separately",
     status_and_spec_are_written_separately},
    {"removed name gets a new uid", removed_name_gets_a_new_uid},
    {"list is complete", list_is_complete_and_has_a_version},
    {"watch after a version", watch_reports_changes_after_a_version},
    {"watch of compacted history", watch_of_compacted_history_requires_a_list},
    {"ended watch", ended_watch_calls_on_end},
    {"outage", outage_fails_calls_and_watches},
    {"lost response", lost_response_leaves_the_outcome_unknown},
    {"rate limit", excess_calls_are_rate_limited},
    {"calls are counted", calls_are_counted},
    {"confirmed write, lost response",
     confirmed_write_succeeds_after_a_lost_response},
    {"confirmed write, concurrent write",
     confirmed_write_detects_a_concurrent_write},
};

class object_store_contract_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(object_store_contract_test);
    CPPUNIT_TEST(memory_store_fulfils_the_contract);
    CPPUNIT_TEST(http_store_fulfils_the_contract);
    CPPUNIT_TEST_SUITE_END();

    template <class Setup>
    static void run_contract()
    {
        for (const contract_case& c : contract)
        {
            Setup setup;
            try
            {
                c.run(setup);
            }
            catch (const CppUnit::Exception& e)
            {
                CPPUNIT_FAIL(std::string(c.name) + ": " + e.what() + " line " +
                             std::to_string(e.sourceLine().lineNumber()));
            }
            catch (const std::exception& e)
            {
                CPPUNIT_FAIL(std::string(c.name) + ": " + e.what());
            }
        }
    }

public:
    void memory_store_fulfils_the_contract() { run_contract<memory_setup>(); }
    void http_store_fulfils_the_contract() { run_contract<http_setup>(); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(object_store_contract_test);

/// Behaviour specific to the HTTP client.
class object_store_http_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(object_store_http_test);
    CPPUNIT_TEST(no_call_is_sent_before_retry_after);
    CPPUNIT_TEST(exhausted_rate_budget_rejects_calls);
    CPPUNIT_TEST(slow_response_times_out);
    CPPUNIT_TEST(no_listener_is_unreachable);
    CPPUNIT_TEST(unreadable_tls_file_is_reported);
    CPPUNIT_TEST_SUITE_END();

    const object_key absent_{object_kind::service, "himal", "none"};

public:
    void no_call_is_sent_before_retry_after()
    {
        http_setup setup;
        store_faults faults;
        faults.calls_per_second = 1;
        setup.platform().set_faults(faults);
        while (setup.get(absent_).error().code != errc::store_rate_limited)
        {
        }
        const auto reads = setup.platform().calls().reads;
        assert_code(errc::store_rate_limited, setup.get(absent_).error());
        CPPUNIT_ASSERT_EQUAL(reads, setup.platform().calls().reads);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, setup.client().calls().value(
                                                   store_call::held_back));
    }

    void exhausted_rate_budget_rejects_calls()
    {
        http_object_store_options options;
        options.calls_per_second = 1e-6;
        options.burst = 2;
        http_setup setup(options);
        assert_code(errc::store_not_found, setup.get(absent_).error());
        assert_code(errc::store_not_found, setup.get(absent_).error());
        assert_code(errc::store_rate_limited, setup.get(absent_).error());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, setup.platform().calls().reads);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, setup.client().calls().value(
                                                   store_call::over_budget));
    }

    void slow_response_times_out()
    {
        http_object_store_options options;
        options.timeout = 50ms;
        http_setup setup(options);
        store_faults faults;
        faults.delay = 1h;
        setup.platform().set_faults(faults);
        assert_code(errc::store_timeout, setup.get(absent_).error());
        assert_code(errc::store_outcome_unknown,
                    setup.create(service_object("himal", "a")).error());
    }

    void no_listener_is_unreachable()
    {
        http_setup setup;
        http_client::options closed_port;
        closed_port.host = "127.0.0.1";
        closed_port.port = 1;
        http_object_store store(setup.loop(), closed_port);
        const auto outcome = setup.wait<stored_object>(
            [&](auto h) { store.create(service_object("himal", "a"), h); });
        assert_code(errc::store_unreachable, outcome.error());
    }

    void unreadable_tls_file_is_reported()
    {
        http_setup setup;
        http_client::options connection;
        connection.host = "127.0.0.1";
        connection.port = 1;
        connection.tls = true;
        connection.ca_file = "/nonexistent/ca.pem";
        http_object_store store(setup.loop(), connection);
        const auto outcome =
            setup.wait<stored_object>([&](auto h) { store.get(absent_, h); });
        assert_code(errc::tls_failed, outcome.error());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(object_store_http_test);

} // namespace
