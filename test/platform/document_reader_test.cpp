#include "document_reader.hpp"
#include "records.hpp"

#include "support/local_http_server.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <optional>

namespace
{

using namespace briarfield;
using namespace briarfield::platform;
using namespace briarfield::test;
using namespace std::chrono_literals;

constexpr duration bound = 5s;

/// Reads and watches of object "main" at a server that the test scripts, with
/// time limits on a manual clock.
class document_reader_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(document_reader_test);
    CPPUNIT_TEST(slow_response_is_received_while_it_progresses);
    CPPUNIT_TEST(response_without_progress_fails);
    CPPUNIT_TEST(read_takes_no_longer_than_the_bound);
    CPPUNIT_TEST(read_ends_the_watch);
    CPPUNIT_TEST(objects_beside_it_do_not_matter);
    CPPUNIT_TEST(list_of_two_eras_is_read_again);
    CPPUNIT_TEST(restore_does_not_bring_an_older_version_into_force);
    CPPUNIT_TEST_SUITE_END();

    manual_clock clock_;
    std::unique_ptr<local_http_server> server_;
    std::unique_ptr<store_connection> connection_;
    std::shared_ptr<document_reader> reader_;
    std::vector<std::string> queries_;
    std::vector<http_responder> responders_; ///< One per request.
    std::optional<result<document_state>> outcome_;

public:
    void setUp() override
    {
        server_ = std::make_unique<local_http_server>(
            clock_,
            [this](const http_server_request& request,
                   const http_responder& responder)
            {
                queries_.push_back(request.query);
                responders_.push_back(responder);
            });
        connection_ = std::make_unique<store_connection>(server_->loop(),
                                                         server_->address());
        reader_ = std::make_shared<document_reader>(
            *connection_, document_reader::object_id{"config", "main"}, bound);
    }

    void tearDown() override
    {
        reader_.reset();
        connection_.reset();
        server_.reset();
    }

private:
    /// Waits until request number \a count has arrived.
    const http_responder& request(std::size_t count)
    {
        server_->run_until([this, count]
                           { return responders_.size() >= count; });
        return responders_[count - 1];
    }

    document_follower::handler record_outcome()
    {
        outcome_.reset();
        return [this](const result<document_state>& outcome)
        { outcome_ = outcome; };
    }

    void read() { reader_->read(record_outcome()); }

    void watch()
    {
        reader_->watch(10, watch_limits::within(bound), record_outcome());
    }

    const result<document_state>& outcome()
    {
        server_->run_until([this] { return outcome_.has_value(); });
        return *outcome_;
    }

    static void
    reply(const http_responder& responder, const char* era, const char* body)
    {
        responder.set_header("store-era:", era);
        responder.reply(200, body);
    }

    /// Sends \a body in \a parts with \a pause before each but the first.
    void send_slowly(const http_responder& responder,
                     const std::string& body,
                     std::size_t parts,
                     duration pause)
    {
        responder.begin_stream(200);
        const std::size_t size = body.size() / parts + 1;
        for (std::size_t start = 0; start < body.size(); start += size)
        {
            if (start > 0)
                clock_.advance(pause);
            responder.push(body.substr(start, size));
            server_->run_until([this] { return reader_->response_arriving(); });
            settle();
        }
    }

    /// Runs the loop until timers that are due have run and bytes that were
    /// sent have been received.
    void settle()
    {
        for (int i = 0; i < 50; ++i)
        {
            bool fired = false;
            server_->loop().timers().schedule(0ms, [&fired] { fired = true; });
            while (!fired)
                server_->loop().run_once();
        }
    }

    static constexpr const char* list_body =
        R"({"items":[{"meta":{"Name":"main"},"spec":{"Version":3,"Routes":[]}}],)"
        R"("More":false,"AsOf":12})";
    static constexpr const char* events_body =
        R"({"events":[{"Removed":false,"Object":{"meta":{"Name":"main"},)"
        R"("spec":{"Version":4}}}],"AsOf":13})";

    /// A response of 1 MB takes over 1 s at 10 Mbit/s. Reads failed after 1 s,
    /// and watches after 72% of the bound, whatever had arrived.
    void slow_response_is_received_while_it_progresses()
    {
        read();
        send_slowly(request(1), list_body, 5, 900ms);
        responders_[0].end_stream();
        CPPUNIT_ASSERT(outcome() && outcome().value().revision == 12);
        watch();
        request(2);
        clock_.advance(3s);
        send_slowly(responders_[1], events_body, 5, 900ms);
        responders_[1].end_stream();
        CPPUNIT_ASSERT(outcome() && outcome().value().revision == 13);
        CPPUNIT_ASSERT(!reader_->response_arriving());
    }

    /// A transfer that stalls must not last until the limit of the whole.
    void response_without_progress_fails()
    {
        read();
        send_slowly(request(1), list_body, 1, 0ms);
        clock_.advance(900ms);
        settle();
        CPPUNIT_ASSERT(!outcome_);
        clock_.advance(100ms);
        CPPUNIT_ASSERT(outcome().error().code == errc::store_timeout);
    }

    /// A server that sends a few bytes a second must not hold a read for ever.
    void read_takes_no_longer_than_the_bound()
    {
        read();
        send_slowly(request(1), list_body, 10, 500ms);
        CPPUNIT_ASSERT(!outcome_);
        clock_.advance(500ms);
        CPPUNIT_ASSERT(outcome().error().code == errc::store_timeout);
    }

    /// Two responses on a slow link take twice the time.
    void read_ends_the_watch()
    {
        watch();
        request(1);
        read();
        request(2);
        responders_[0].begin_stream(200);
        server_->run_until(
            [this]
            {
                responders_[0].push(" ");
                return !responders_[0].connected();
            });
    }

    /// Replies to the next request with \a body, in which '@' stands for
    /// \a object.
    void reply_with(const std::string& object, const std::string& body)
    {
        std::string full;
        for (const char c : body)
            full += c == '@' ? object : std::string(1, c);
        request(responders_.size() + 1).reply(200, full);
        CPPUNIT_ASSERT_MESSAGE(full, outcome() && outcome().value().body);
    }

    /// One object that could not be parsed made the whole list unreadable.
    void objects_beside_it_do_not_matter()
    {
        const std::string deep =
            std::string(40, '[').append(std::string(40, ']'));
        for (const std::string& other :
             {std::string("1e999"), std::string("{\"meta\"}"),
              std::string(R"({"meta":{"Name":7},"spec":[]})"),
              std::string("\"\xff\\\"]\""), deep})
        {
            read();
            reply_with(other,
                       R"({"items":[@,{"meta":{"Name":"main"},"spec":{}},@],)"
                       R"("AsOf":12})");
            watch();
            reply_with(other, R"({"events":[@,{"Object":@},{"Object":)"
                              R"({"meta":{"Name":"main"},"spec":{}}}],)"
                              R"("AsOf":13})");
        }
    }

    /// Neither the revision of a later page, which hides changes to the first,
    /// nor that of an earlier era may be watched from.
    void list_of_two_eras_is_read_again()
    {
        const char* page =
            R"({"items":[{"meta":{"Name":"a"}}],"More":true,"AsOf":10})";
        read();
        reply(request(1), "1", page);
        reply(request(2), "2", list_body);
        reply(request(3), "2", page);
        reply(request(4), "2", list_body);
        CPPUNIT_ASSERT(outcome() && outcome().value().body);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(10), outcome().value().revision);
        CPPUNIT_ASSERT((queries_ == std::vector<std::string>{"", "after=a", "",
                                                             "after=a"}));
    }

    /// CONFIG: the older copy has an older version, which must not come into
    /// force again. Its response to a watch lacks changes up to the revision,
    /// which the store has assigned again.
    void restore_does_not_bring_an_older_version_into_force()
    {
        read();
        reply(request(1), "1", list_body);
        route_table table;
        CPPUNIT_ASSERT(table.apply(routes()));
        watch();
        reply(request(2), "2", events_body);
        CPPUNIT_ASSERT(outcome().error().code == errc::store_history_compacted);
        read();
        reply(request(3), "2",
              R"({"items":[{"meta":{"Name":"main"},)"
              R"("spec":{"Version":2,"Routes":[]}}],"AsOf":5})");
        CPPUNIT_ASSERT(!table.apply(routes()));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), table.version());
    }

    route_set routes()
    {
        std::size_t unreadable = 0;
        return read_configuration(outcome().value().body.value(), unreadable)
            .value();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(document_reader_test);

} // namespace
