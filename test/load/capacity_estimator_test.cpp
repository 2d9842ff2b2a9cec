#include "../../bench/server_model.hpp"
#include "briarfield/load/capacity_estimator.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace briarfield;
using namespace briarfield::bench;

/// A simulated server with its callers and a capacity estimator.
class observed_server
{
public:
    observed_server(unsigned slots, double service_s, std::uint64_t seed)
        : random_(seed), server_(events_, slots, service_s),
          estimator_({}, clock_)
    {
    }

    /// Offers \a rate requests per second for \a seconds.
    void run(double rate, double seconds)
    {
        rate_ = rate;
        const std::uint64_t run = ++run_;
        schedule_arrival(run);
        schedule_step(run);
        events_.run_until(clock_.now() + event_queue::to_duration(seconds));
        ++run_;
    }

    const capacity_estimate& estimate() const { return estimator_.estimate(); }
    server_model& server() { return server_; }

    bool fail_fast = false; ///< Sends short answers after 0.5 ms, without work.
    bool refuse = false;    ///< Resets every flow.
    bool hang = false;      ///< Accepts requests and never answers.

private:
    void schedule_arrival(std::uint64_t run)
    {
        events_.after(exponential(random_, 1 / rate_),
                      [this, run]
                      {
                          if (run != run_)
                              return;
                          arrive();
                          schedule_arrival(run);
                      });
    }

    void schedule_step(std::uint64_t run)
    {
        events_.after(0.25,
                      [this, run]
                      {
                          if (run != run_)
                              return;
                          estimator_.step();
                          schedule_step(run);
                      });
    }

    void arrive()
    {
        flow_key key;
        key.source_port = static_cast<std::uint16_t>(++flow_);
        observe(key, flow_activity::request_bytes, 200);
        if (hang)
            return;
        if (refuse)
            return observe(key, flow_activity::server_reset, 0);
        if (fail_fast)
            return events_.after(
                0.0005,
                [this, key] { observe(key, flow_activity::answer_bytes, 60); });
        server_.submit(exponential(random_, 1.0), [this, key]
                       { observe(key, flow_activity::answer_bytes, 2000); });
    }

    void observe(const flow_key& key, flow_activity activity, std::size_t bytes)
    {
        estimator_.observe({activity, &key, bytes, clock_.now()});
    }

    manual_clock clock_;
    event_queue events_{clock_};
    random_source random_;
    server_model server_;
    capacity_estimator estimator_;
    double rate_ = 1;
    std::uint64_t run_ = 0;
    std::uint32_t flow_ = 0;
};

class capacity_estimator_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(capacity_estimator_test);
    CPPUNIT_TEST(finds_slots_of_each_size);
    CPPUNIT_TEST(follows_changes_of_service_time);
    CPPUNIT_TEST(fast_failures_lower_capacity);
    CPPUNIT_TEST(hung_server_loses_capacity);
    CPPUNIT_TEST_SUITE_END();

public:
    void finds_slots_of_each_size()
    {
        for (const unsigned slots : {2U, 4U, 7U, 16U, 28U, 56U})
            for (std::uint64_t seed = 1; seed <= 3; ++seed)
            {
                if (slots <= max_slots_with_observable_queue)
                    check_size(slots, 0.7, seed, tolerance_rare_queueing);
                else
                    check_not_underestimated(slots, 0.7, seed);
                check_size(slots, 0.85, seed, tolerance_frequent_queueing);
                check_size(slots, 1.1, seed, tolerance_frequent_queueing);
            }
    }

    void follows_changes_of_service_time()
    {
        observed_server s(7, 0.05, 1);
        s.run(0.7 * s.server().capacity(), 60);
        s.server().set_service_time(0.1);
        s.run(0.7 * s.server().capacity(), 30);
        assert_near("slower", s.estimate().capacity, s.server().capacity(),
                    tolerance_rare_queueing);
        s.server().set_service_time(0.05);
        s.run(0.7 * s.server().capacity(), 60);
        assert_near("faster", s.estimate().capacity, s.server().capacity(),
                    tolerance_rare_queueing);
    }

    void fast_failures_lower_capacity()
    {
        observed_server s(2, 0.02, 1);
        s.run(60, 60);
        const double healthy = s.estimate().capacity;
        s.fail_fast = true;
        s.run(60, 10);
        CPPUNIT_ASSERT(s.estimate().capacity < 0.25 * healthy);
        s.run(600, 300);
        CPPUNIT_ASSERT(s.estimate().capacity < 0.25 * healthy);
        s.fail_fast = false;
        s.refuse = true;
        s.run(60, 10);
        CPPUNIT_ASSERT(s.estimate().capacity < 0.25 * healthy);
        s.refuse = false;
        s.run(60, 30);
        assert_near("mended", s.estimate().capacity, s.server().capacity(),
                    tolerance_rare_queueing);
    }

    void hung_server_loses_capacity()
    {
        observed_server s(2, 0.02, 1);
        s.run(60, 60);
        const double healthy = s.estimate().capacity;
        s.hang = true;
        s.run(60, 20);
        CPPUNIT_ASSERT(s.estimate().capacity < 0.25 * healthy);
    }

private:
    /// Tolerances as fractions of the true capacity: the bound on the imbalance
    /// at loads with frequent queueing, and twice that at loads where queues
    /// are too rare to determine the slots.
    static constexpr double tolerance_frequent_queueing = 0.10;
    static constexpr double tolerance_rare_queueing = 0.20;

    /// Largest number of slots whose queue can be observed at a utilisation of
    /// 0.7. The capacity of a larger server must not be underestimated;
    /// fleet_test covers overestimates, which attract load until a queue forms.
    static constexpr unsigned max_slots_with_observable_queue = 16;

    static void check_not_underestimated(unsigned slots,
                                         double utilisation,
                                         std::uint64_t seed)
    {
        observed_server s(slots, 0.05, seed);
        s.run(utilisation * s.server().capacity(), 60);
        CPPUNIT_ASSERT(s.estimate().capacity >=
                       (1 - tolerance_rare_queueing) * s.server().capacity());
    }

    static void check_size(unsigned slots,
                           double utilisation,
                           std::uint64_t seed,
                           double tolerance)
    {
        observed_server s(slots, 0.05, seed);
        s.run(utilisation * s.server().capacity(), 60);
        std::string description = std::to_string(slots) + " slots, use ";
        description +=
            std::to_string(utilisation) + ", seed " + std::to_string(seed);
        assert_near(description, s.estimate().capacity, s.server().capacity(),
                    tolerance);
    }

    static void assert_near(const std::string& description,
                            double actual,
                            double expected,
                            double tolerance)
    {
        CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(description, expected, actual,
                                             tolerance * expected);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(capacity_estimator_test);

} // namespace
