#include "briarfield/relay/flow_checkpoint.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace briarfield;
using namespace std::chrono_literals;

/// A checkpoint on a manual clock, with a store that replies immediately.
class flow_checkpoint_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(flow_checkpoint_test);
    CPPUNIT_TEST(saved_probes_are_loaded);
    CPPUNIT_TEST(nothing_is_saved_before_the_load_succeeds);
    CPPUNIT_TEST(nothing_is_saved_without_flows);
    CPPUNIT_TEST(checkpoint_is_removed_with_the_last_flow);
    CPPUNIT_TEST(failing_store_does_not_increase_the_call_rate);
    CPPUNIT_TEST(interval_grows_with_the_number_of_agents);
    CPPUNIT_TEST(reply_after_destruction_is_ignored);
    CPPUNIT_TEST(checkpoint_is_saved_again_after_a_restore);
    CPPUNIT_TEST(restore_does_not_exceed_the_rate_of_the_store);
    CPPUNIT_TEST_SUITE_END();

    using probes = flow_checkpoint::probes;

    manual_clock clock_;
    timer_queue timers_{clock_};
    random_source random_{1};
    probes stored_;
    probes current_;
    bool store_up_ = true;
    std::size_t loads_ = 0;
    std::size_t saves_ = 0;
    std::vector<probes> loaded_;
    std::unique_ptr<flow_checkpoint> checkpoint_;
    std::function<void(result<void>)> last_save_handler_;

public:
    void setUp() override { start_agent(); }

private:
    static probes packets(std::size_t count)
    {
        probes all;
        for (std::size_t i = 0; i < count; ++i)
        {
            const std::vector<std::uint8_t> bytes(36,
                                                  static_cast<std::uint8_t>(i));
            all.emplace_back(const_byte_span(bytes.data(), bytes.size()));
        }
        return all;
    }

    void start_agent()
    {
        flow_checkpoint::calls calls;
        calls.load = [this](const auto& done)
        {
            ++loads_;
            if (store_up_)
                done(stored_);
            else
                done(fail(errc::store_unreachable));
        };
        calls.save = [this](const probes& all, const auto& done)
        {
            ++saves_;
            last_save_handler_ = done;
            if (!store_up_)
                return done(error{errc::store_unreachable, ""});
            stored_ = all;
            done(ok());
        };
        checkpoint_ =
            std::make_unique<flow_checkpoint>(timers_, random_, calls);
        checkpoint_->current_probes = [this] { return current_; };
        checkpoint_->on_loaded = [this](const probes& all)
        { loaded_.push_back(all); };
    }

    void advance_time(duration elapsed)
    {
        for (; elapsed > duration(0); elapsed -= 50ms)
        {
            clock_.advance(50ms);
            timers_.run_due();
        }
    }

    void saved_probes_are_loaded()
    {
        checkpoint_->start();
        current_ = packets(3);
        advance_time(7s);
        start_agent();
        checkpoint_->start();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, loaded_.size());
        CPPUNIT_ASSERT(loaded_[0].empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, loaded_[1].size());
    }

    void nothing_is_saved_before_the_load_succeeds()
    {
        stored_ = packets(2);
        current_ = packets(1);
        store_up_ = false;
        checkpoint_->start();
        advance_time(1min);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, saves_);
        store_up_ = true;
        advance_time(3s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, loaded_.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, loaded_[0].size());
    }

    void restore(const probes& older_copy)
    {
        stored_ = older_copy;
        checkpoint_->on_store_restored();
        advance_time(2s);
    }

    /// Until the next save, a loss of power would lose the flows; and the older
    /// copy may have a checkpoint of flows that have ended.
    void checkpoint_is_saved_again_after_a_restore()
    {
        checkpoint_->start();
        current_ = packets(3);
        restore({});
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, stored_.size());
        current_.clear();
        advance_time(7s);
        restore(packets(1));
        CPPUNIT_ASSERT(stored_.empty());
        checkpoint_->remove();
        current_ = packets(1);
        restore({});
        CPPUNIT_ASSERT(stored_.empty());
    }

    /// 6,000 agents at once would exceed the rate of the store's writes.
    void restore_does_not_exceed_the_rate_of_the_store()
    {
        checkpoint_->agent_count = [] { return 6000; };
        checkpoint_->start();
        current_ = packets(1);
        restore({});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, saves_);
    }

    void nothing_is_saved_without_flows()
    {
        checkpoint_->start();
        advance_time(1min);
        checkpoint_->remove();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, saves_);
    }

    void checkpoint_is_removed_with_the_last_flow()
    {
        checkpoint_->start();
        current_ = packets(1);
        advance_time(7s);
        current_.clear();
        advance_time(1min);
        CPPUNIT_ASSERT(stored_.empty());
        const std::size_t saves_before = saves_;
        advance_time(1min);
        CPPUNIT_ASSERT_EQUAL(saves_before, saves_);
    }

    /// During an outage of the store there is one call per interval.
    void failing_store_does_not_increase_the_call_rate()
    {
        checkpoint_->start();
        current_ = packets(1);
        store_up_ = false;
        advance_time(1min);
        CPPUNIT_ASSERT(saves_ >= 10);
        CPPUNIT_ASSERT(saves_ <= 20);
    }

    /// With 5,600 agents and 400 writes per second, of which checkpoints may
    /// use 20, the interval is 280 s.
    void interval_grows_with_the_number_of_agents()
    {
        checkpoint_->agent_count = [] { return std::size_t{5600}; };
        CPPUNIT_ASSERT(checkpoint_->interval() == 280s);
        checkpoint_->agent_count = [] { return std::size_t{10}; };
        CPPUNIT_ASSERT(checkpoint_->interval() ==
                       flow_checkpoint_options().interval);
    }

    void reply_after_destruction_is_ignored()
    {
        checkpoint_->start();
        current_ = packets(1);
        advance_time(7s);
        checkpoint_.reset();
        last_save_handler_(error{errc::store_timeout, ""});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(flow_checkpoint_test);

} // namespace
