#include "store_client.hpp"

#include "briarfield/net/http_server.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <optional>

namespace
{

using namespace briarfield;
using namespace briarfield::platform;

/// Turns of the loop after which an answer is missing.
constexpr std::size_t turn_limit = 20000;

/// Checkpoints in a store that keeps one object and can be told to fail.
class store_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_client_test);
    CPPUNIT_TEST(checkpoint_is_created_replaced_and_removed);
    CPPUNIT_TEST(next_agent_finds_the_checkpoint);
    CPPUNIT_TEST(object_that_came_to_be_unseen_is_replaced);
    CPPUNIT_TEST(refusals_are_errors);
    CPPUNIT_TEST_SUITE_END();

    steady_clock clock_;
    std::unique_ptr<event_loop> loop_;
    std::unique_ptr<http_server> server_;
    std::unique_ptr<store_client> client_;
    flow_checkpoint::calls calls_;
    std::vector<std::string> seen_; ///< Methods of the calls.
    std::optional<nlohmann::json> object_;
    int failure_ = 0; ///< Status that answers every call, unless 0.

public:
    void setUp() override
    {
        loop_ = std::move(event_loop::create(clock_).value());
        server_ =
            std::move(http_server::create(
                          *loop_, endpoint::parse("127.0.0.1:0").value(),
                          [this](const http_server_request& r,
                                 const http_responder& out) { answer(r, out); })
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

    void answer(const http_server_request& r, const http_responder& out)
    {
        seen_.push_back(r.method);
        if (failure_ != 0)
            return out.reply(failure_, "{}");
        const bool creates = r.method == "POST";
        if (creates && object_)
            return out.reply(409, object_->dump());
        if (!creates && !object_)
            return out.reply(404, "{}");
        if (creates || r.method == "PUT")
            object_ = nlohmann::json::parse(r.body);
        const std::string body = object_->dump();
        if (r.method == "DELETE")
            object_.reset();
        out.reply(200, body);
    }

    template <class Done>
    void run_until(const Done& done)
    {
        for (std::size_t turns = 0; !done(); ++turns)
        {
            CPPUNIT_ASSERT_MESSAGE("no answer", turns < turn_limit);
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
        calls_.save(all, [&outcome](const result<void>& r)
                    { outcome = r ? errc::ok : r.error().code; });
        run_until([&outcome] { return outcome.has_value(); });
        return *outcome;
    }

    /// Flows in the checkpoint, or none if the store fails.
    std::optional<std::size_t> load()
    {
        std::optional<std::size_t> flows;
        bool answered = false;
        calls_.load(
            [&](const result<flow_checkpoint::probes>& r)
            {
                answered = true;
                if (r)
                    flows = r.value().size();
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
        CPPUNIT_ASSERT((seen_ == std::vector<std::string>{"GET", "POST", "PUT",
                                                          "DELETE", "DELETE"}));
    }

    void next_agent_finds_the_checkpoint()
    {
        save(3);
        start_client();
        CPPUNIT_ASSERT(load() == std::size_t{3});
        CPPUNIT_ASSERT(save(1) == errc::ok);
        CPPUNIT_ASSERT_EQUAL(std::string("PUT"), seen_.back());
    }

    /// The answer to the call that created it was lost.
    void object_that_came_to_be_unseen_is_replaced()
    {
        save(1);
        start_client();
        CPPUNIT_ASSERT(save(2) != errc::ok);
        CPPUNIT_ASSERT(save(2) == errc::ok);
        CPPUNIT_ASSERT(load() == std::size_t{2});
    }

    void refusals_are_errors()
    {
        failure_ = 503;
        CPPUNIT_ASSERT(save(1) == errc::store_unreachable);
        CPPUNIT_ASSERT(!load());
        failure_ = 429;
        CPPUNIT_ASSERT(save(1) == errc::store_rate_limited);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_client_test);

} // namespace
