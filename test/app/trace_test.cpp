#include "app/span.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace
{

using namespace briarfield;
using namespace briarfield::app;
using namespace std::chrono_literals;

constexpr std::uint64_t seed = 7;

class trace_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(trace_test);
    CPPUNIT_TEST(full_queue_drops_and_counts_spans);
    CPPUNIT_TEST(sampled_fraction_matches_ratio);
    CPPUNIT_TEST(rate_is_bounded);
    CPPUNIT_TEST(children_share_the_trace);
    CPPUNIT_TEST(export_has_the_otlp_form);
    CPPUNIT_TEST_SUITE_END();

public:
    void full_queue_drops_and_counts_spans()
    {
        span_queue q(2);
        for (const char* name : {"a", "b", "c"})
        {
            span s;
            s.name = name;
            q.push(std::move(s));
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, q.dropped());
        const auto taken = q.take(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, taken.size());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), taken[0].name);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, q.size());
    }

    void sampled_fraction_matches_ratio()
    {
        trace_sampler s(seed);
        trace_context c;
        time_point now{};
        CPPUNIT_ASSERT(!s.sample(now, c));
        s.set_ratio(0.25);
        int sampled = 0;
        constexpr int flows = 10000;
        for (int i = 0; i < flows; ++i)
            sampled += s.sample(now = now + 100ms, c) ? 1 : 0;
        CPPUNIT_ASSERT(sampled > flows / 5 && sampled < flows * 3 / 10);
    }

    void rate_is_bounded()
    {
        trace_sampler s(seed);
        s.set_ratio(1);
        trace_context c;
        int sampled = 0;
        for (int i = 0; i < 10000; ++i)
            sampled += s.sample(time_point{1h}, c) ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(trace_sampler::rate_limit),
                             sampled);
    }

    void children_share_the_trace()
    {
        trace_sampler s(seed);
        const trace_context parent = s.root();
        const trace_context child = s.child_of(parent);
        CPPUNIT_ASSERT(parent.trace_id == child.trace_id);
        CPPUNIT_ASSERT(parent.span_id != child.span_id);
        const std::string text = traceparent(child);
        CPPUNIT_ASSERT_EQUAL(std::size_t{55}, text.size());
        CPPUNIT_ASSERT_EQUAL(std::string("-01"), text.substr(52));
    }

    void export_has_the_otlp_form()
    {
        span s;
        s.context.trace_id[15] = 0xab;
        s.context.span_id[7] = 1;
        s.parent[7] = 2;
        s.name = "agent";
        s.start = 10;
        s.end = 12;
        s.failed = true;
        s.attributes = {{"event", "refused_limit"}};
        const auto body = nlohmann::json::parse(otlp_json({s}, "agent-1", "a"));
        const auto& resource = body["resourceSpans"][0];
        CPPUNIT_ASSERT_EQUAL(
            std::string("agent-1"),
            resource["resource"]["attributes"][1]["value"]["stringValue"]
                .get<std::string>());
        const auto& out = resource["scopeSpans"][0]["spans"][0];
        CPPUNIT_ASSERT_EQUAL(std::string("000000000000000000000000000000ab"),
                             out["traceId"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("0000000000000002"),
                             out["parentSpanId"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("10"),
                             out["startTimeUnixNano"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(2, out["status"]["code"].get<int>());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(trace_test);

} // namespace
