#include "store_client.hpp"
#include "stored_object.hpp"

#include "support/local_http_server.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>

namespace
{

using namespace briarfield;
using namespace briarfield::platform;
using namespace briarfield::test;

/// Objects in a page of a list.
constexpr std::size_t page_size = 50;

/// Position of the kind in a path.
const std::size_t kind_at = objects_path.size();

/// Objects in a store with pages, revisions and conditional removals, which can
/// fail on request.
class store_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_client_test);
    CPPUNIT_TEST(checkpoint_is_created_replaced_and_removed);
    CPPUNIT_TEST(restarted_agent_loads_the_checkpoint);
    CPPUNIT_TEST(object_created_by_an_unanswered_request_is_replaced);
    CPPUNIT_TEST(error_statuses_are_reported);
    CPPUNIT_TEST(restore_is_reported_and_the_object_written_again);
    CPPUNIT_TEST(response_of_an_earlier_era_is_discarded);
    CPPUNIT_TEST(list_of_records_is_read_whole);
    CPPUNIT_TEST(endless_list_of_records_is_refused);
    CPPUNIT_TEST(late_removal_leaves_the_record_of_a_restarted_process);
    CPPUNIT_TEST(refused_removal_shows_that_the_object_exists);
    CPPUNIT_TEST_SUITE_END();

    using object_map = std::map<std::string, nlohmann::json>; ///< By name.

    steady_clock clock_;
    std::unique_ptr<local_http_server> server_;
    std::unique_ptr<store_client> client_;
    flow_checkpoint::calls calls_;
    std::vector<std::string> methods_; ///< HTTP methods of the requests.
    std::vector<std::string> queries_; ///< Of the requests.
    object_map objects_;
    std::uint64_t revision_ = 1;
    bool ignores_after_ = false; ///< Each page of a list is the first one.
    int failure_status_ = 0;     ///< HTTP status of all responses, unless 0.
    std::string era_;            ///< Sent with all responses, unless empty.

public:
    void setUp() override
    {
        server_ = std::make_unique<local_http_server>(
            clock_, [this](const http_server_request& request,
                           const http_responder& responder)
            { respond(request, responder); });
        start_client();
    }

    void tearDown() override
    {
        client_.reset();
        server_.reset();
    }

private:
    void start_client()
    {
        client_ =
            std::make_unique<store_client>(server_->loop(), server_->address());
        calls_ = client_->checkpoint("side-1");
    }

    void respond(const http_server_request& request,
                 const http_responder& responder)
    {
        methods_.push_back(request.method);
        queries_.push_back(request.query);
        if (!era_.empty())
            responder.set_header("store-era:", era_);
        if (failure_status_ != 0)
            return responder.reply(failure_status_, "{}");
        const std::size_t name_at = request.path.find('/', kind_at);
        if (request.method == "GET" && name_at == std::string::npos)
            return responder.reply(200, list(request.query).dump());
        const auto sent = nlohmann::json::parse(request.body, nullptr, false);
        const bool creates = request.method == "POST";
        const std::string name = creates
                                     ? sent["meta"]["Name"].get<std::string>()
                                     : request.path.substr(name_at + 1);
        const bool exists = objects_.count(name) != 0;
        if (!creates && !exists)
            return responder.reply(404, "{}");
        const std::string before = exists ? objects_[name].dump() : "";
        const std::string condition = "Revision=";
        if ((creates && exists) ||
            (request.query.rfind(condition, 0) == 0 &&
             request.query.substr(condition.size()) !=
                 objects_[name]["meta"]["Revision"].dump()))
            return responder.reply(409, before);
        if (request.method == "DELETE")
        {
            objects_.erase(name);
            return responder.reply(200, before);
        }
        if (request.method != "GET")
            put(name, sent["spec"]);
        responder.reply(200, objects_[name].dump());
    }

    /// A write that changes nothing leaves the revision as it is.
    void put(const std::string& name, const nlohmann::json& spec)
    {
        if (objects_.count(name) == 0 || objects_[name]["spec"] != spec)
            objects_[name] = {
                {"meta", {{"Name", name}, {"Revision", ++revision_}}},
                {"spec", spec}};
    }

    nlohmann::json list(const std::string& query) const
    {
        const std::size_t after = query.find("after=");
        auto i = after == std::string::npos || ignores_after_
                     ? objects_.begin()
                     : objects_.upper_bound(query.substr(after + 6));
        auto items = nlohmann::json::array();
        for (; i != objects_.end() && items.size() < page_size; ++i)
            items.push_back(i->second);
        return {{"items", items}, {"More", i != objects_.end()}};
    }

    errc save(std::size_t flows)
    {
        const std::vector<std::uint8_t> bytes(36, 1);
        const flow_checkpoint::probes all(
            flows, short_packet({bytes.data(), bytes.size()}));
        std::optional<errc> outcome;
        calls_.save(all, [&outcome](const result<void>& saved)
                    { outcome = saved ? errc::ok : saved.error().code; });
        server_->run_until([&outcome] { return outcome.has_value(); });
        return *outcome;
    }

    /// Returns the number of flows in the checkpoint; unset if the store fails.
    std::optional<std::size_t> load()
    {
        std::optional<std::size_t> flows;
        bool answered = false;
        calls_.load(
            [&](const result<flow_checkpoint::probes>& loaded)
            {
                answered = true;
                if (loaded)
                    flows = loaded.value().size();
            });
        server_->run_until([&answered] { return answered; });
        return flows;
    }

    void checkpoint_is_created_replaced_and_removed()
    {
        CPPUNIT_ASSERT(load() == std::size_t{0});
        CPPUNIT_ASSERT(save(1) == errc::ok);
        CPPUNIT_ASSERT(save(2) == errc::ok);
        CPPUNIT_ASSERT_EQUAL(
            std::string("side-1"),
            objects_.at("side-1")["meta"]["Name"].get<std::string>());
        CPPUNIT_ASSERT(save(0) == errc::ok);
        CPPUNIT_ASSERT(objects_.empty());
        CPPUNIT_ASSERT(save(0) == errc::ok);
        CPPUNIT_ASSERT(
            (methods_ == std::vector<std::string>{"GET", "POST", "PUT",
                                                  "DELETE", "DELETE"}));
    }

    void restarted_agent_loads_the_checkpoint()
    {
        save(3);
        start_client();
        CPPUNIT_ASSERT(load() == std::size_t{3});
        CPPUNIT_ASSERT(save(1) == errc::ok);
        CPPUNIT_ASSERT_EQUAL(std::string("PUT"), methods_.back());
    }

    /// The response to the request that created the object was lost, so the
    /// client has no record of the object.
    void object_created_by_an_unanswered_request_is_replaced()
    {
        save(1);
        start_client();
        CPPUNIT_ASSERT(save(2) != errc::ok);
        CPPUNIT_ASSERT(save(2) == errc::ok);
        CPPUNIT_ASSERT(load() == std::size_t{2});
    }

    void error_statuses_are_reported()
    {
        failure_status_ = 503;
        CPPUNIT_ASSERT(save(1) == errc::store_unreachable);
        CPPUNIT_ASSERT(!load());
        failure_status_ = 429;
        CPPUNIT_ASSERT(save(1) == errc::store_rate_limited);
    }

    /// The older copy may lack the object or have it again; neither may cost an
    /// interval of the checkpoint.
    void restore_is_reported_and_the_object_written_again()
    {
        std::size_t restores = 0;
        client_->on_store_restored([&restores] { ++restores; });
        const auto restore_to = [&](const char* era, object_map older_copy)
        {
            const std::size_t seen = restores + 1;
            era_ = era;
            objects_ = std::move(older_copy);
            client_->checkpoint("side-2").load([](const auto&) {});
            server_->run_until([&] { return restores == seen; });
        };
        era_ = "7";
        save(1);
        const auto older_copy = objects_;
        restore_to("8", {});
        CPPUNIT_ASSERT(save(1) == errc::ok);
        objects_.clear();
        era_ = "9"; // The save itself gets the first response of this era.
        CPPUNIT_ASSERT(save(1) == errc::ok);
        restore_to("10", older_copy);
        CPPUNIT_ASSERT(save(0) == errc::ok);
        restore_to("11", older_copy);
        CPPUNIT_ASSERT(save(2) == errc::ok);
        CPPUNIT_ASSERT(load() == std::size_t{2});
    }

    /// A response of the earlier era may be on the way when the first one of
    /// the new era arrives.
    void response_of_an_earlier_era_is_discarded()
    {
        save(1);
        era_ = "8";
        CPPUNIT_ASSERT(load() == std::size_t{1});
        era_ = "7";
        CPPUNIT_ASSERT(!load());
        era_ = "seven";
        CPPUNIT_ASSERT(load() == std::size_t{1});
        CPPUNIT_ASSERT(client_->era() == std::uint64_t{8});
    }

    /// Runs the loop until \a call has called its handler; returns the outcome.
    template <class T, class Call>
    result<T> outcome_of(const Call& call)
    {
        std::optional<result<T>> outcome;
        call([&outcome](const result<T>& r) { outcome = r; });
        server_->run_until([&outcome] { return outcome.has_value(); });
        return *outcome;
    }

    result<record_list> read_records(bool stale_allowed)
    {
        return outcome_of<record_list>(
            [&](const auto& done) {
                client_->membership().list(member_kind::agent, stale_allowed,
                                           done);
            });
    }

    result<void> remove(const membership_record& record)
    {
        return outcome_of<void>(
            [&](const auto& done) {
                client_->membership().remove(member_kind::agent, record, done);
            });
    }

    record_writer::calls record_of(std::uint64_t incarnation)
    {
        return client_->own_record(member_kind::agent, "side-1",
                                   endpoint::parse("127.0.0.1:80").value(),
                                   incarnation);
    }

    void put_records(int count)
    {
        for (int i = 0; i < count; ++i)
            put("side-" + std::to_string(1000 + i),
                {{"Relay", "127.0.0.1:" + std::to_string(1000 + i)}});
    }

    /// Records beyond the first page were never read.
    void list_of_records_is_read_whole()
    {
        put_records(120);
        put("side-bad", {{"Relay", "nowhere"}});
        const auto all = read_records(true);
        CPPUNIT_ASSERT(all);
        CPPUNIT_ASSERT_EQUAL(std::size_t{120}, all.value().size());
        CPPUNIT_ASSERT(
            (queries_ ==
             std::vector<std::string>{"StaleOk=1", "StaleOk=1&after=side-1049",
                                      "StaleOk=1&after=side-1099"}));
    }

    /// The client would read the same page for ever.
    void endless_list_of_records_is_refused()
    {
        put_records(60);
        ignores_after_ = true;
        CPPUNIT_ASSERT(!read_records(false));
    }

    /// The restarted process wrote the same content, which left the revision
    /// unchanged, so that the removal of its predecessor was not refused.
    void late_removal_leaves_the_record_of_a_restarted_process()
    {
        CPPUNIT_ASSERT(outcome_of<void>(record_of(1).write));
        CPPUNIT_ASSERT(outcome_of<bool>(record_of(1).check).value());
        CPPUNIT_ASSERT(!outcome_of<bool>(record_of(2).check).value());
        const auto earlier = read_records(false).value().front();
        const auto restarted = record_of(2);
        CPPUNIT_ASSERT(outcome_of<void>(restarted.write));
        CPPUNIT_ASSERT(!remove(earlier));
        const auto current = read_records(false).value().front();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, current.incarnation);
        CPPUNIT_ASSERT(remove(current));
        CPPUNIT_ASSERT(objects_.empty());
    }

    /// The next write took the object to be missing, and failed. Another
    /// removal would have been unconditional.
    void refused_removal_shows_that_the_object_exists()
    {
        store_connection store(server_->loop(), server_->address());
        const auto object =
            std::make_shared<stored_object>(store, "kind", "name");
        const auto save = [&](const auto& done) { object->save(1, done); };
        const auto erase = [&](const auto& done) { object->remove(done); };
        CPPUNIT_ASSERT(outcome_of<void>(save));
        put("name", 2);
        CPPUNIT_ASSERT(!outcome_of<void>(erase));
        CPPUNIT_ASSERT(!outcome_of<void>(erase));
        CPPUNIT_ASSERT(outcome_of<void>(save));
        CPPUNIT_ASSERT_EQUAL(std::string("PUT"), methods_.back());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_client_test);

} // namespace
