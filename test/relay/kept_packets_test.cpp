#include "briarfield/relay/kept_packets.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace briarfield;
using namespace std::chrono_literals;

class kept_packets_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(kept_packets_test);
    CPPUNIT_TEST(packets_of_a_flow_are_passed_in_order);
    CPPUNIT_TEST(others_wait_with_a_packet_that_is_kept_again);
    CPPUNIT_TEST(packets_of_a_lost_flow_are_discarded);
    CPPUNIT_TEST(number_of_packets_is_bounded);
    CPPUNIT_TEST_SUITE_END();

    manual_clock clock_;
    timer_queue timers_{clock_};
    kept_packets kept_{timers_, 6};
    std::string passed_;
    bool keeps_again_ = false;
    bool goes_on_ = true;

public:
    void setUp() override
    {
        kept_.on_due = [this](byte_span packet)
        {
            passed_ += static_cast<char>(packet[0]);
            if (keeps_again_)
                kept_.keep(flow(1), packet, 50ms);
            return goes_on_;
        };
    }

private:
    static flow_key flow(std::uint16_t port)
    {
        flow_key key;
        key.source_port = port;
        return key;
    }

    void keep(char name, std::uint16_t port = 1)
    {
        auto byte = static_cast<std::uint8_t>(name);
        kept_.keep(flow(port), byte_span(&byte, 1), 50ms);
    }

    /// A request that followed an acknowledgment waited for the caller's
    /// retransmission, since only the first packet was kept.
    void packets_of_a_flow_are_passed_in_order()
    {
        keep('a');
        keep('b');
        keep('c');
        kept_.release(flow(1));
        CPPUNIT_ASSERT_EQUAL(std::string("abc"), passed_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, kept_.size());
    }

    /// Each of them would go through the search, and change their order.
    void others_wait_with_a_packet_that_is_kept_again()
    {
        keep('a');
        keep('b');
        keeps_again_ = true;
        clock_.advance(50ms);
        timers_.run_due();
        CPPUNIT_ASSERT_EQUAL(std::string("a"), passed_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, kept_.size());
        keeps_again_ = false;
        clock_.advance(50ms);
        timers_.run_due();
        CPPUNIT_ASSERT_EQUAL(std::string("aab"), passed_);
    }

    /// Each of them would cause a reset.
    void packets_of_a_lost_flow_are_discarded()
    {
        keep('a');
        keep('b');
        goes_on_ = false;
        kept_.release(flow(1));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), passed_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, kept_.size());
    }

    void number_of_packets_is_bounded()
    {
        for (std::size_t i = 0; i <= kept_packets::capacity_of_flow; ++i)
            keep('a');
        CPPUNIT_ASSERT_EQUAL(kept_packets::capacity_of_flow, kept_.size());
        for (std::uint16_t port = 2; port < 1000; ++port)
            keep('b', port);
        CPPUNIT_ASSERT_EQUAL(kept_packets::capacity, kept_.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(kept_packets_test);

} // namespace
