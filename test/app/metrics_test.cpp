#include "app/metric_registry.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace briarfield;
using namespace briarfield::app;
using namespace std::chrono_literals;

enum class outcome : std::uint8_t
{
    sent,
    dropped,
    count_
};

std::string_view outcome_name(outcome o) noexcept
{
    return o == outcome::sent ? "sent" : "dropped";
}

class metrics_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(metrics_test);
    CPPUNIT_TEST(each_counter_has_its_own_label);
    CPPUNIT_TEST(gauges_are_read_on_collection);
    CPPUNIT_TEST(histogram_buckets_are_cumulative);
    CPPUNIT_TEST(invalid_names_are_rejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void each_counter_has_its_own_label()
    {
        metric_registry r;
        counter_set<outcome> set;
        CPPUNIT_ASSERT(r.add_counters({"x_packets_total", "Packets."}, "event",
                                      set, outcome_name)
                           .has_value());
        set.add(outcome::dropped, 3);
        CPPUNIT_ASSERT_EQUAL(
            std::string("# HELP x_packets_total Packets.\n"
                        "# TYPE x_packets_total counter\n"
                        "x_packets_total{event=\"sent\"} 0\n"
                        "x_packets_total{event=\"dropped\"} 3\n"),
            r.text());
    }

    void gauges_are_read_on_collection()
    {
        metric_registry r;
        double value = 1;
        CPPUNIT_ASSERT(
            r.add_gauge({"x", "X."}, [&value] { return value; }).has_value());
        value = 2;
        CPPUNIT_ASSERT_EQUAL(std::string("# HELP x X.\n# TYPE x gauge\nx 2\n"),
                             r.text());
    }

    void histogram_buckets_are_cumulative()
    {
        histogram h = histogram::of_durations();
        h.record(1us);
        h.record(1001ns);
        h.record(1h);
        h.record(-1ns);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, h.count());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, h.bucket(0));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, h.bucket(1));
        metric_registry r;
        CPPUNIT_ASSERT(r.add_histogram({"x_seconds", "X."}, h).has_value());
        const std::string text = r.text();
        for (const char* line :
             {"x_seconds_bucket{le=\"1e-06\"} 2\n",
              "x_seconds_bucket{le=\"2e-06\"} 3\n",
              "x_seconds_bucket{le=\"+Inf\"} 4\n", "x_seconds_count 4\n"})
            CPPUNIT_ASSERT_MESSAGE(text, text.find(line) != std::string::npos);
    }

    void invalid_names_are_rejected()
    {
        metric_registry r;
        const auto zero = [] { return 0.0; };
        CPPUNIT_ASSERT(r.add_counter({"x", "X."}, zero).has_error());
        CPPUNIT_ASSERT(r.add_gauge({"x y", "X."}, zero).has_error());
        CPPUNIT_ASSERT(
            r.add_gauge({"x", "X.", {{"a-b", "c"}}}, zero).has_error());
        CPPUNIT_ASSERT(r.add_gauge({"z_total", "X."}, zero).has_value());
        CPPUNIT_ASSERT(r.add_counter({"z_total", "X."}, zero).has_error());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(metrics_test);

} // namespace
