#include "store_client.hpp"

#include "briarfield/net/http_server.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace
{

using namespace briarfield;
using namespace briarfield::platform;

/// Iterations of the loop after which a wait for a response fails.
constexpr std::size_t iteration_limit = 20000;

/// Checkpoints in a store that holds one object and can fail on request.
class store_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_client_test);
    CPPUNIT_TEST(checkpoint_is_created_replaced_and_removed);
    CPPUNIT_TEST(restarted_agent_loads_the_checkpoint);
    CPPUNIT_TEST(object_created_by_an_unanswered_request_is_replaced);
    CPPUNIT_TEST(error_statuses_are_reported);
    CPPUNIT_TEST(restore_is_reported_and_the_object_written_again);
    CPPUNIT_TEST(response_of_an_earlier_era_is_discarded);
    CPPUNIT_TEST_SUITE_END();

    steady_clock clock_;
    std::unique_ptr<event_loop> loop_;
    std::unique_ptr<http_server> server_;
    std::unique_ptr<store_client> client_;
    flow_checkpoint::calls calls_;
    std::vector<std::string> methods_; ///< HTTP methods of the requests.
    std::optional<nlohmann::json> object_;
    int failure_status_ = 0; ///< HTTP status of all responses, unless 0.
    std::uint64_t revision_ = 0;
    std::string era_; ///< Sent with all responses, unless empty.

public:
    void setUp() override
    {
        loop_ = std::move(event_loop::create(clock_).value());
        server_ = std::move(
            http_server::create(*loop_, endpoint::parse("127.0.0.1:0").value(),
                                [this](const http_server_request& request,
                                       const http_responder& responder)
                                { respond(request, responder); })
                .value());
        start_client();
    }

    void tearDown() override
    {
        client_.reset();
        server_.reset();
        loop_.reset();
    }

private:
    void start_client()
    {
        client_ = std::make_unique<store_client>(
            *loop_, endpoint{endpoint::parse("127.0.0.1:0").value().address,
                             server_->port()});
        calls_ = client_->checkpoint("side-1");
    }

    void respond(const http_server_request& request,
                 const http_responder& responder)
    {
        methods_.push_back(request.method);
        if (!era_.empty())
            responder.set_header("store-era:", era_);
        if (failure_status_ != 0)
            return responder.reply(failure_status_, "{}");
        const bool creates = request.method == "POST";
        if (creates && object_)
            return responder.reply(409, object_->dump());
        if (!creates && !object_)
            return responder.reply(404, "{}");
        if (creates || request.method == "PUT")
        {
            object_ = nlohmann::json::parse(request.body);
            (*object_)["meta"]["Revision"] = ++revision_;
        }
        if (!request.query.empty() &&
            request.query !=
                "Revision=" + (*object_)["meta"]["Revision"].dump())
            return responder.reply(409, object_->dump());
        const std::string body = object_->dump();
        if (request.method == "DELETE")
            object_.reset();
        responder.reply(200, body);
    }

    template <class Done>
    void run_until(const Done& done)
    {
        for (std::size_t iterations = 0; !done(); ++iterations)
        {
            CPPUNIT_ASSERT_MESSAGE("no response", iterations < iteration_limit);
            loop_->timers().schedule(std::chrono::milliseconds(1), [] {});
            loop_->run_once();
        }
    }

    errc save(std::size_t flows)
    {
        const std::vector<std::uint8_t> bytes(36, 1);
        const flow_checkpoint::probes all(
            flows, short_packet({bytes.data(), bytes.size()}));
        std::optional<errc> outcome;
        calls_.save(all, [&outcome](const result<void>& saved)
                    { outcome = saved ? errc::ok : saved.error().code; });
        run_until([&outcome] { return outcome.has_value(); });
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
        run_until([&answered] { return answered; });
        return flows;
    }

    void checkpoint_is_created_replaced_and_removed()
    {
        CPPUNIT_ASSERT(load() == std::size_t{0});
        CPPUNIT_ASSERT(save(1) == errc::ok);
        CPPUNIT_ASSERT(save(2) == errc::ok);
        CPPUNIT_ASSERT_EQUAL(std::string("side-1"),
                             (*object_)["meta"]["Name"].get<std::string>());
        CPPUNIT_ASSERT(save(0) == errc::ok);
        CPPUNIT_ASSERT(!object_);
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
        const auto restore_to =
            [&](const char* era, std::optional<nlohmann::json> older_copy)
        {
            const std::size_t seen = restores + 1;
            era_ = era;
            object_ = std::move(older_copy);
            client_->checkpoint("side-2").load([](const auto&) {});
            run_until([&] { return restores == seen; });
        };
        era_ = "7";
        save(1);
        const auto older_copy = object_;
        restore_to("8", std::nullopt);
        CPPUNIT_ASSERT(save(1) == errc::ok);
        object_.reset();
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_client_test);

} // namespace
