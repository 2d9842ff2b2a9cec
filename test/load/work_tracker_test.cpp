#include "briarfield/load/work_tracker.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <vector>

namespace
{

using namespace briarfield;
using namespace std::chrono_literals;

flow_key key_of(std::uint16_t port)
{
    flow_key key;
    key.source_port = port;
    return key;
}

class work_tracker_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(work_tracker_test);
    CPPUNIT_TEST(counts_work_not_flows);
    CPPUNIT_TEST(stream_is_in_progress_until_it_ends);
    CPPUNIT_TEST(request_without_answer_is_abandoned);
    CPPUNIT_TEST(refusal_and_reset_are_reported);
    CPPUNIT_TEST_SUITE_END();

public:
    work_tracker_test()
    {
        tracker_.on_sample = [this](const work_sample& s)
        { samples_.push_back(s); };
    }

    void counts_work_not_flows()
    {
        for (std::uint16_t flow = 0; flow < 2000; ++flow)
            observe(flow, flow_activity::accepted);
        CPPUNIT_ASSERT_EQUAL(0U, tracker_.in_progress());
        observe(1, flow_activity::request_bytes);
        observe(2, flow_activity::request_bytes);
        observe(3, flow_activity::answer_bytes); // Sent without a request.
        CPPUNIT_ASSERT_EQUAL(2U, tracker_.in_progress());
        clock_.advance(10ms);
        observe(2, flow_activity::answer_bytes);
        CPPUNIT_ASSERT_EQUAL(1U, tracker_.in_progress());
        clock_.advance(300ms);
        tracker_.sweep(clock_.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, samples_.size());
        CPPUNIT_ASSERT_EQUAL(1U, samples_[0].occupancy);
        CPPUNIT_ASSERT(samples_[0].occupied == duration(10ms));
    }

    void stream_is_in_progress_until_it_ends()
    {
        observe(1, flow_activity::request_bytes);
        for (int i = 0; i < 10; ++i)
        {
            clock_.advance(50ms);
            observe(1, flow_activity::answer_bytes);
            tracker_.sweep(clock_.now());
        }
        CPPUNIT_ASSERT_EQUAL(1U, tracker_.in_progress());
        clock_.advance(200ms);
        tracker_.sweep(clock_.now());
        CPPUNIT_ASSERT_EQUAL(0U, tracker_.in_progress());
        CPPUNIT_ASSERT(samples_.at(0).occupied == duration(500ms));
        CPPUNIT_ASSERT(samples_.at(0).first_byte == duration(50ms));
    }

    void request_without_answer_is_abandoned()
    {
        observe(1, flow_activity::request_bytes);
        clock_.advance(10s);
        tracker_.sweep(clock_.now());
        CPPUNIT_ASSERT_EQUAL(0U, tracker_.in_progress());
        CPPUNIT_ASSERT(samples_.at(0).outcome == work_outcome::abandoned);
        CPPUNIT_ASSERT(samples_.at(0).no_answer_meanwhile);
    }

    void refusal_and_reset_are_reported()
    {
        observe(1, flow_activity::server_rejected);
        observe(2, flow_activity::request_bytes);
        observe(2, flow_activity::server_reset);
        observe(3, flow_activity::request_bytes);
        observe(3, flow_activity::closed);
        CPPUNIT_ASSERT(samples_.at(0).outcome == work_outcome::refused);
        CPPUNIT_ASSERT(samples_.at(1).outcome == work_outcome::reset);
        CPPUNIT_ASSERT(samples_.at(2).outcome == work_outcome::cancelled);
        CPPUNIT_ASSERT_EQUAL(0U, tracker_.in_progress());
    }

private:
    void observe(std::uint16_t flow, flow_activity activity)
    {
        const flow_key key = key_of(flow);
        tracker_.observe({activity, &key, 100, clock_.now()});
    }

    manual_clock clock_;
    work_tracker tracker_{work_tracker::options{}};
    std::vector<work_sample> samples_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(work_tracker_test);

} // namespace
