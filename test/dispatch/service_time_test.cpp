#include "briarfield/dispatch/service_time_gauge.hpp"

#include "briarfield/dispatch/placement.hpp"
#include "briarfield/dispatch/service_time_comparison.hpp"
#include "support/load_model.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <iostream>

namespace
{

using namespace briarfield;
using namespace briarfield::test;
using namespace std::chrono_literals;

/// The choice by load alone, whatever the servers' speed.
std::size_t choose_by_load(const std::vector<placement_candidate>& all)
{
    std::vector<agent_directory::record> records;
    records.reserve(all.size());
    for (const placement_candidate& c : all)
        records.push_back(*c.record);
    std::vector<placement_candidate> unmeasured = all;
    for (std::size_t i = 0; i < all.size(); ++i)
    {
        records[i].status.service_time = 0ms;
        unmeasured[i].record = &records[i];
    }
    return place_by_load()(unmeasured);
}

/// Tests how fast and slow servers are measured, and what work they get.
class service_time_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(service_time_test);
    CPPUNIT_TEST(busy_server_is_measured);
    CPPUNIT_TEST(running_request_shows_a_slow_server);
    CPPUNIT_TEST(one_long_request_is_capped);
    CPPUNIT_TEST(idle_server_is_measured_anew);
    CPPUNIT_TEST(servers_with_little_load_are_not_compared);
    CPPUNIT_TEST(about_equal_servers_are_chosen_by_load);
    CPPUNIT_TEST(servers_without_a_valid_time_count_as_the_mean);
    CPPUNIT_TEST(server_that_turns_slow_loses_work_and_gets_it_back);
    CPPUNIT_TEST(fast_servers_get_more_work_under_a_wave);
    CPPUNIT_TEST_SUITE_END();

    manual_clock clock_;
    service_time_gauge gauge_{clock_};

    void serve(duration time, int count)
    {
        for (int i = 0; i < count; ++i)
        {
            const auto id = gauge_.begin(1);
            clock_.advance(time);
            gauge_.end(id, true);
        }
    }

    /// Three requests at a time on one slot: none finds it free.
    void busy_server_is_measured()
    {
        std::deque<service_time_gauge::request_id> queue;
        for (int i = 0; i < 3; ++i)
            queue.push_back(gauge_.begin(1));
        for (int i = 0; i < 100; ++i)
        {
            clock_.advance(i < 10 ? 20ms : 10ms);
            gauge_.end(queue.front(), true);
            queue.pop_front();
            queue.push_back(gauge_.begin(1));
        }
        CPPUNIT_ASSERT(gauge_.mean() >= 10ms && gauge_.mean() < 13ms);
    }

    void running_request_shows_a_slow_server()
    {
        serve(10ms, 64);
        gauge_.begin(1);
        clock_.advance(1s);
        CPPUNIT_ASSERT(gauge_.mean() > 14ms);
    }

    void one_long_request_is_capped()
    {
        serve(10ms, 64);
        serve(1s, 1);
        CPPUNIT_ASSERT(gauge_.mean() < 11ms);
    }

    /// A server that became fast while it got no work must not count as slow
    /// for long.
    void idle_server_is_measured_anew()
    {
        serve(10ms, 64);
        clock_.advance(service_time_gauge::idle_limit);
        serve(30ms, 8);
        CPPUNIT_ASSERT(gauge_.mean() > 20ms);
    }

    /// Times are measured too rarely to give up the zone and the rank for them.
    void servers_with_little_load_are_not_compared()
    {
        service_time_comparison times;
        times.add(record_of(0.1F, 10ms));
        times.add(record_of(0.1F, 30ms));
        CPPUNIT_ASSERT(!times.unequal());
    }

    static agent_directory::record record_of(float requests, duration time)
    {
        agent_directory::record r;
        r.status.slots = 2;
        r.status.requests_in_progress = requests;
        r.status.service_time = time;
        return r;
    }

    /// Draws candidates whose times differ by less than the factor: the choice
    /// must not change for deployments with equal servers.
    void about_equal_servers_are_chosen_by_load()
    {
        random_source random(7);
        std::size_t changed_if_unequal = 0;
        for (int round = 0; round < 2000; ++round)
        {
            const double spread = round % 2 == 0 ? 0.7 : 2;
            std::vector<agent_directory::record> records;
            for (std::size_t i = 0; i < 8; ++i)
            {
                const double time = 20e6 * (1 + spread * random.unit());
                records.push_back(
                    record_of(static_cast<float>(4 * random.unit()),
                              duration(static_cast<duration::rep>(time))));
                records[i].status.warmup_ms = random.below(4) == 0 ? 500 : 0;
            }
            std::vector<placement_candidate> all;
            all.reserve(records.size());
            for (const agent_directory::record& r : records)
                all.push_back({static_cast<agent_index>(all.size()),
                               random.next(), random.below(2) == 0,
                               random.below(4) == 0, &r});
            const bool same = place_by_load()(all) == choose_by_load(all);
            CPPUNIT_ASSERT(same || spread > 1);
            changed_if_unequal += same ? 0 : 1;
        }
        CPPUNIT_ASSERT(changed_if_unequal > 100);
    }

    /// A restarted server, or one that was slow before it became idle, must be
    /// neither avoided nor flooded.
    void servers_without_a_valid_time_count_as_the_mean()
    {
        std::vector<agent_directory::record> records = {
            record_of(1, 10ms), record_of(1, 30ms), record_of(1, 0ms),
            record_of(1, 60ms), record_of(0.01F, 60ms)};
        records[3].status.warmup_ms = 100;
        service_time_comparison times;
        for (const agent_directory::record& r : records)
            times.add(r);
        CPPUNIT_ASSERT(times.unequal());
        CPPUNIT_ASSERT_EQUAL(0.5, times.relative(records[0]));
        CPPUNIT_ASSERT_EQUAL(1.0, times.relative(records[2]));
        CPPUNIT_ASSERT_EQUAL(1.0, times.relative(records[3]));
        CPPUNIT_ASSERT_EQUAL(1.0, times.relative(records[4]));
    }

    /// Requests that server 3 answers in two seconds, against the mean of all.
    static double part_of_server(load_model& model)
    {
        constexpr std::size_t servers = 12;
        std::vector<std::size_t> before;
        for (std::size_t i = 0; i < servers; ++i)
            before.push_back(model.answered(i));
        model.run(2);
        double sum = 0;
        for (std::size_t i = 0; i < servers; ++i)
            sum += static_cast<double>(model.answered(i) - before[i]);
        return static_cast<double>(model.answered(3) - before[3]) * servers /
               sum;
    }

    void server_that_turns_slow_loses_work_and_gets_it_back()
    {
        load_options options;
        options.service_s = 0.02;
        options.flows_per_s = 1000;
        options.requests_per_flow = 1;
        load_model model{options};
        model.run(3);
        model.set_work_factor(3, 2.4);
        model.run(2);
        CPPUNIT_ASSERT(part_of_server(model) < 0.4);
        model.set_work_factor(3, 1);
        model.run(4);
        CPPUNIT_ASSERT(part_of_server(model) > 0.7);
    }

    struct wave_result
    {
        double missed = 0; ///< Share of requests not answered in aim.
        double ratio = 0;  ///< Work of the fast server to that of a slow one.
    };

    /// Speeds 0.7, 0.7 and 1.7, a load that varies by 55%, and 1.5% of the
    /// requests ten times as long: these miss the aim on slow servers only.
    static wave_result play_wave(const placement_policy& place)
    {
        load_options options;
        options.servers = 21;
        options.slots = 2;
        options.queue_limit = 8;
        options.service_s = 0.019;
        options.aim_s = 0.25;
        options.speeds = {0.7, 0.7, 1.7};
        options.long_share = 0.015;
        options.place = place;
        const double flows = 0.45 * 42 / 0.019 / options.requests_per_flow;
        options.flows_per_s = flows;
        load_model model{options};
        model.run(3);
        model.start_window();
        const std::size_t slow = model.answered(0);
        const std::size_t fast = model.answered(2);
        for (double factor : {1.0, 1.4, 1.55, 1.4, 1.0, 0.6, 0.45, 0.6})
        {
            model.set_flows_per_s(factor * flows);
            model.run(1);
        }
        const load_outcome& got = model.outcome();
        return {static_cast<double>(got.late + got.rejected) /
                    static_cast<double>(got.asked),
                static_cast<double>(model.answered(2) - fast) /
                    static_cast<double>(model.answered(0) - slow)};
    }

    void fast_servers_get_more_work_under_a_wave()
    {
        const wave_result by_load = play_wave(choose_by_load);
        const wave_result by_time = play_wave(place_by_load());
        std::cout << "wave: missed " << by_load.missed << " to "
                  << by_time.missed << ", work fast to slow " << by_load.ratio
                  << " to " << by_time.ratio << '\n';
        CPPUNIT_ASSERT(by_time.ratio > 2.4);
        CPPUNIT_ASSERT(by_time.missed < 0.8 * by_load.missed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(service_time_test);

} // namespace
