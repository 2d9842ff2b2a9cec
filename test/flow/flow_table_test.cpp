#include "briarfield/core/random.hpp"
#include "briarfield/flow/flow_table.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <rapidcheck.h>

namespace
{

using namespace briarfield;
using namespace std::chrono_literals;

flow_key key_of(std::uint16_t port, transport protocol = transport::tcp)
{
    return {ip_address::parse("203.0.113.1").value(),
            ip_address::parse("198.51.100.1").value(), port, 80, protocol};
}

class flow_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(flow_table_test);
    CPPUNIT_TEST(behaves_like_a_map);
    CPPUNIT_TEST(flood_of_opening_flows_keeps_open_flows);
    CPPUNIT_TEST(full_table_of_open_flows_rejects_new_flow);
    CPPUNIT_TEST(flows_expire_by_timeout_of_their_state);
    CPPUNIT_TEST(one_way_udp_flow_stays_while_caller_sends);
    CPPUNIT_TEST_SUITE_END();

public:
    void behaves_like_a_map()
    {
        CPPUNIT_ASSERT(rc::check(
            "the table agrees with std::map",
            [](std::uint64_t seed)
            {
                random_source random(seed);
                flow_table table(1000, 8, seed);
                std::map<std::uint16_t, std::uint16_t> model;
                for (int i = 0; i < 2000; ++i)
                {
                    const auto port =
                        static_cast<std::uint16_t>(random.below(200));
                    const auto bucket =
                        static_cast<std::uint16_t>(random.below(8));
                    const flow_key key = key_of(port);
                    if (random.below(3) == 0)
                    {
                        table.erase(key);
                        model.erase(port);
                    }
                    else if (model.count(port) == 0)
                    {
                        table.insert(key, bucket, {});
                        if (random.below(2) == 0)
                            table.establish(key, {});
                        model[port] = bucket;
                    }
                }
                RC_ASSERT(table.size() == model.size());
                std::uint32_t by_bucket[8] = {};
                for (std::uint16_t port = 0; port < 200; ++port)
                {
                    const flow_record* found = table.find(key_of(port));
                    RC_ASSERT((found != nullptr) == (model.count(port) != 0));
                    if (found == nullptr)
                        continue;
                    RC_ASSERT(found->bucket == model[port]);
                    ++by_bucket[found->bucket];
                }
                for (std::uint32_t b = 0; b < 8; ++b)
                    RC_ASSERT(table.bucket_size(b) == by_bucket[b]);
            }));
    }

    void flood_of_opening_flows_keeps_open_flows()
    {
        flow_table table(100, 8);
        for (std::uint16_t port = 0; port < 70; ++port)
            open(table, port);
        unsigned dropped = 0;
        table.on_dropped = [&](const flow_key&) { ++dropped; };
        for (std::uint16_t port = 1000; port < 6000; ++port)
            CPPUNIT_ASSERT(table.insert(key_of(port), 0, {}) != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{25}, table.opening());
        CPPUNIT_ASSERT_EQUAL(4975U, dropped);
        for (std::uint16_t port = 0; port < 70; ++port)
            CPPUNIT_ASSERT(table.find(key_of(port)) != nullptr);
        open(table, 7000); // A new flow can be opened during the flood.
        CPPUNIT_ASSERT(table.find(key_of(7000)) != nullptr);
    }

    void full_table_of_open_flows_rejects_new_flow()
    {
        flow_table table(10, 8);
        for (std::uint16_t port = 0; port < 10; ++port)
            open(table, port);
        CPPUNIT_ASSERT(table.insert(key_of(99), 0, {}) == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, table.size());
    }

    void flows_expire_by_timeout_of_their_state()
    {
        struct expectation
        {
            flow_state state;
            duration kept;
            duration expired;
        };
        const expectation expected[] = {
            {flow_state::opening, 59s, 62s},
            {flow_state::closed, 9s, 13s},
            {flow_state::half_closed, 59min, 61min},
            {flow_state::open, 23h, 25h},
        };
        for (const expectation& e : expected)
        {
            flow_table table(10, 8);
            flow_record* record = table.insert(key_of(1), 0, {});
            record->state = e.state;
            if (e.state != flow_state::opening)
                table.establish(key_of(1), {});
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, run_until(table, e.kept));
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, run_until(table, e.expired));
        }
    }

    void one_way_udp_flow_stays_while_caller_sends()
    {
        flow_table table(10, 8);
        const flow_key key = key_of(1, transport::udp);
        table.insert(key, 0, {});
        for (duration t = 0s; t < 20min; t += 1s)
        {
            table.find(key)->last_packet = flow_tick::of(time_point{t});
            table.expire(time_point{t});
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.size());
        }
        run_until(table, 31min);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table.size());
    }

private:
    static void open(flow_table& table, std::uint16_t port)
    {
        table.insert(key_of(port), 0, {})->state = flow_state::open;
        table.establish(key_of(port), {});
    }

    static std::size_t run_until(flow_table& table, duration end)
    {
        for (duration t = 0s; t <= end; t += 1s)
            table.expire(time_point{t});
        return table.size();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(flow_table_test);

} // namespace
