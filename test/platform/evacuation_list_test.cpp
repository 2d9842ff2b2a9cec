#include "evacuation_list.hpp"

#include "support/local_http_server.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <optional>

namespace
{

using namespace briarfield;
using namespace briarfield::platform;
using namespace briarfield::test;

result<http_response> response(int status, const std::string& body)
{
    http_response r;
    r.status = status;
    r.body = body;
    return r;
}

class evacuation_list_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(evacuation_list_test);
    CPPUNIT_TEST(malformed_objects_are_omitted);
    CPPUNIT_TEST(events_are_read);
    CPPUNIT_TEST(malformed_responses_are_rejected);
    CPPUNIT_TEST(all_pages_are_read);
    CPPUNIT_TEST_SUITE_END();

    /// The other zones of the list stay evacuated.
    void malformed_objects_are_omitted()
    {
        std::size_t malformed = 0;
        const auto page = read_evacuation_page(
            response(200, R"({"items":[{"meta":{"Name":"a"},"spec":{}},7,)"
                          R"({"meta":{"Name":5}},{"spec":{}},)"
                          R"({"meta":{"Name":"b c"}},)"
                          R"({"meta":{"Name":"d"},"spec":"x"}],)"
                          R"("More":false,"AsOf":9})"),
            malformed);
        CPPUNIT_ASSERT(page);
        CPPUNIT_ASSERT((page.value().evacuations.zones ==
                        std::vector<std::string>{"a", "d"}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9},
                             page.value().evacuations.revision);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, malformed);
        CPPUNIT_ASSERT(page.value().after.empty());
    }

    void events_are_read()
    {
        std::size_t malformed = 0;
        const auto events = read_evacuation_events(
            response(200, R"({"events":[{"Removed":false,"Object":{"meta":)"
                          R"({"Name":"a"}}},{"Removed":true,"Object":{"meta":)"
                          R"({"Name":"b"}}},{"Removed":true}],"AsOf":12})"),
            malformed);
        CPPUNIT_ASSERT(events);
        const auto& changes = events.value().changes;
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, changes.size());
        CPPUNIT_ASSERT(changes[0].zone == "a" && changes[0].evacuated);
        CPPUNIT_ASSERT(changes[1].zone == "b" && !changes[1].evacuated);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, malformed);
    }

    /// A body without a revision or list must not count as an empty set.
    void malformed_responses_are_rejected()
    {
        std::size_t malformed = 0;
        for (const char* body :
             {"", "[]", "{}", R"({"AsOf":3})", R"({"items":[],"events":[]})",
              R"({"items":{},"events":7,"AsOf":3})",
              R"({"items":[],"events":[],"AsOf":"3"})"})
        {
            CPPUNIT_ASSERT(
                !read_evacuation_page(response(200, body), malformed));
            CPPUNIT_ASSERT(
                !read_evacuation_events(response(200, body), malformed));
        }
        const auto gone = read_evacuation_events(response(410, ""), malformed);
        CPPUNIT_ASSERT(gone.error().code == errc::store_history_compacted);
    }

    /// An evacuation on the second page must not be lost, and the watch starts
    /// from the first page, as the second one may be newer.
    void all_pages_are_read()
    {
        steady_clock clock;
        const std::map<std::string, std::string> pages = {
            {"", R"({"items":[{"meta":{"Name":"a"}}],"More":true,"AsOf":5})"},
            {"after=a",
             R"({"items":[{"meta":{"Name":"b c"}}],"More":true,"AsOf":6})"},
            // As the server decodes it.
            {"after=b c",
             R"({"items":[{"meta":{"Name":"d"}}],"More":false,"AsOf":7})"}};
        local_http_server server(clock,
                                 [&pages](const http_server_request& request,
                                          const http_responder& responder)
                                 {
                                     const auto page =
                                         pages.find(request.query);
                                     if (page == pages.end())
                                         return responder.reply(404, "{}");
                                     responder.reply(200, page->second);
                                 });
        store_connection store(server.loop(), server.address());
        std::optional<evacuated_zones> read;
        evacuation_calls(store).read(
            [&read](const result<evacuated_zones>& zones)
            {
                CPPUNIT_ASSERT(zones);
                read = zones.value();
            });
        server.run_until([&read] { return read.has_value(); });
        CPPUNIT_ASSERT((read->zones == std::vector<std::string>{"a", "d"}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, read->revision);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(evacuation_list_test);

} // namespace
