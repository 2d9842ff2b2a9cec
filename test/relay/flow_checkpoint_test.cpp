#include "briarfield/relay/flow_checkpoint.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace briarfield;
using namespace std::chrono_literals;

/// A checkpoint on a paused clock, before a store that answers at once.
class flow_checkpoint_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(flow_checkpoint_test);
    CPPUNIT_TEST(what_was_saved_is_loaded);
    CPPUNIT_TEST(nothing_is_saved_before_it_was_loaded);
    CPPUNIT_TEST(nothing_is_written_without_flows);
    CPPUNIT_TEST(last_flow_removes_the_checkpoint);
    CPPUNIT_TEST(failing_store_is_not_called_more_often);
    CPPUNIT_TEST(store_of_many_agents_is_spared);
    CPPUNIT_TEST(answer_after_the_end_is_ignored);
    CPPUNIT_TEST_SUITE_END();

    using probes = flow_checkpoint::probes;

    manual_clock clock_;
    timer_queue timers_{clock_};
    random_source random_{1};
    probes stored_;
    probes current_;
    bool up_ = true;
    std::size_t loads_ = 0;
    std::size_t saves_ = 0;
    std::vector<probes> loaded_;
    std::unique_ptr<flow_checkpoint> checkpoint_;
    std::function<void(result<void>)> late_;

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
            if (up_)
                done(stored_);
            else
                done(fail(errc::store_unreachable));
        };
        calls.save = [this](const probes& all, const auto& done)
        {
            ++saves_;
            late_ = done;
            if (!up_)
                return done(error{errc::store_unreachable, ""});
            stored_ = all;
            done(ok());
        };
        checkpoint_ =
            std::make_unique<flow_checkpoint>(timers_, random_, calls);
        checkpoint_->current = [this] { return current_; };
        checkpoint_->on_loaded = [this](const probes& all)
        { loaded_.push_back(all); };
    }

    void pass(duration d)
    {
        for (; d > duration(0); d -= 50ms)
        {
            clock_.advance(50ms);
            timers_.run_due();
        }
    }

    void what_was_saved_is_loaded()
    {
        checkpoint_->start();
        current_ = packets(3);
        pass(7s);
        start_agent();
        checkpoint_->start();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, loaded_.size());
        CPPUNIT_ASSERT(loaded_[0].empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, loaded_[1].size());
    }

    void nothing_is_saved_before_it_was_loaded()
    {
        stored_ = packets(2);
        current_ = packets(1);
        up_ = false;
        checkpoint_->start();
        pass(1min);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, saves_);
        up_ = true;
        pass(3s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, loaded_.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, loaded_[0].size());
    }

    void nothing_is_written_without_flows()
    {
        checkpoint_->start();
        pass(1min);
        checkpoint_->remove();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, saves_);
    }

    void last_flow_removes_the_checkpoint()
    {
        checkpoint_->start();
        current_ = packets(1);
        pass(7s);
        current_.clear();
        pass(1min);
        CPPUNIT_ASSERT(stored_.empty());
        const std::size_t calls = saves_;
        pass(1min);
        CPPUNIT_ASSERT_EQUAL(calls, saves_);
    }

    /// An outage of the store costs one call an interval.
    void failing_store_is_not_called_more_often()
    {
        checkpoint_->start();
        current_ = packets(1);
        up_ = false;
        pass(1min);
        CPPUNIT_ASSERT(saves_ >= 10);
        CPPUNIT_ASSERT(saves_ <= 20);
    }

    /// 5,600 agents and 400 writing calls a second: 20 of them for us.
    void store_of_many_agents_is_spared()
    {
        checkpoint_->agents = [] { return std::size_t{5600}; };
        CPPUNIT_ASSERT(checkpoint_->interval() == 280s);
        checkpoint_->agents = [] { return std::size_t{10}; };
        CPPUNIT_ASSERT(checkpoint_->interval() ==
                       flow_checkpoint_options().interval);
    }

    void answer_after_the_end_is_ignored()
    {
        checkpoint_->start();
        current_ = packets(1);
        pass(7s);
        checkpoint_.reset();
        late_(error{errc::store_timeout, ""});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(flow_checkpoint_test);

} // namespace
