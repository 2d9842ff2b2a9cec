#include "briarfield/dispatch/opening_policy.hpp"
#include "briarfield/dispatch/server_gate.hpp"

#include "support/dispatch_world.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace briarfield;
using namespace briarfield::test;
using namespace std::chrono_literals;

/// The agent of a server in zone "a" whose openings are limited to
/// floor(2 * 1.5 + 1.5) = 4 a second while it warms up.
class opening_policy_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(opening_policy_test);
    CPPUNIT_TEST(no_opening_before_the_zones_are_known);
    CPPUNIT_TEST(evacuated_zone_takes_no_opening);
    CPPUNIT_TEST(copy_of_a_delivered_opening_is_not_returned);
    CPPUNIT_TEST(open_flow_passes_in_an_evacuated_zone);
    CPPUNIT_TEST(server_is_cold_after_the_zone_is_taken_back);
    CPPUNIT_TEST(limit_holds_in_any_sliding_second);
    CPPUNIT_TEST(forced_openings_are_limited);
    CPPUNIT_TEST(limit_ends_with_the_warmup);
    CPPUNIT_TEST(new_incarnation_is_limited);
    CPPUNIT_TEST(server_that_may_have_restarted_is_limited);
    CPPUNIT_TEST(restarted_agent_takes_no_opening_in_its_first_second);
    CPPUNIT_TEST(only_the_slack_without_a_limit);
    CPPUNIT_TEST(limit_of_another_service_is_ignored);
    CPPUNIT_TEST(older_limit_does_not_replace_a_newer_one);
    CPPUNIT_TEST(service_without_limit_takes_all);
    CPPUNIT_TEST(disabled_parts_have_no_effect);
    CPPUNIT_TEST_SUITE_END();

    manual_clock clock_;
    server_registration server_{clock_, "s", 1900ms};
    std::unique_ptr<opening_policy> policy_;
    std::unique_ptr<server_gate> gate_;
    const endpoint balancer_ = host_endpoint(1, 9000);
    std::uint64_t sequence_ = 0;
    std::uint16_t port_ = 1000;

public:
    void setUp() override
    {
        clock_.advance(1h);
        start_agent({"a", true, {1.5, 1.5}});
        policy_->apply_evacuations({1, 1, {}});
        policy_->apply_limit(1, {"s", 2, 2s});
        wait(2s);
    }

private:
    void start_agent(const opening_policy::options& options)
    {
        policy_ = std::make_unique<opening_policy>(clock_, options, server_);
        gate_ = std::make_unique<server_gate>(clock_, server_);
        gate_->set_opening_policy(*policy_);
    }

    /// Advances the clock without a pause of the agent or the server.
    void wait(duration d)
    {
        for (duration passed{}; passed < d; passed += 100ms)
        {
            clock_.advance(100ms);
            server_.record_activity();
        }
    }

    void send_heartbeat(std::uint32_t warmup_ms, std::uint64_t born_ms = 1)
    {
        server_heartbeat heartbeat;
        heartbeat.id = "i";
        heartbeat.born_ms = born_ms;
        heartbeat.sequence = ++sequence_;
        heartbeat.service = "s";
        heartbeat.slots = 1000;
        heartbeat.warmup_ms = warmup_ms;
        CPPUNIT_ASSERT(server_.on_heartbeat(heartbeat));
    }

    flow_packet packet(packet_kind kind) const
    {
        flow_packet p;
        p.key.source = host_endpoint(200, 0).address;
        p.key.source_port = port_;
        p.kind = kind;
        return p;
    }

    gate_verdict open(forward_mode mode = forward_mode::opening)
    {
        ++port_;
        return gate_->on_balancer_packet(packet(packet_kind::opening),
                                         {mode, make_service_tag("s")},
                                         balancer_);
    }

    bool takes_opening() { return open().event == gate_event::offered; }

    std::size_t count_taken(std::size_t openings)
    {
        std::size_t taken = 0;
        for (std::size_t i = 0; i < openings; ++i)
            taken += takes_opening() ? 1 : 0;
        return taken;
    }

    /// A balancer that has not read the set, or one without it, says nothing
    /// about the agent's zone.
    void no_opening_before_the_zones_are_known()
    {
        start_agent({"a", true, {}});
        send_heartbeat(0);
        policy_->apply_evacuations({0, 0, {}});
        CPPUNIT_ASSERT(open().event == gate_event::refused_evacuated);
        policy_->apply_evacuations({0, 1, {"b"}});
        CPPUNIT_ASSERT(takes_opening());
    }

    /// Another server would get it, although this one may have the flow.
    void copy_of_a_delivered_opening_is_not_returned()
    {
        send_heartbeat(0);
        CPPUNIT_ASSERT(takes_opening());
        policy_->apply_evacuations({1, 2, {"a"}});
        flow_packet copy = packet(packet_kind::opening);
        copy.retransmission_count = 1;
        const gate_verdict verdict = gate_->on_balancer_packet(
            copy, {forward_mode::opening, make_service_tag("s")}, balancer_);
        CPPUNIT_ASSERT(verdict.decision == gate_verdict::action::drop);
    }

    /// An outdated balancer may send openings, also forced ones.
    void evacuated_zone_takes_no_opening()
    {
        send_heartbeat(0);
        int changes = 0;
        policy_->on_change = [&changes](bool) { ++changes; };
        policy_->apply_evacuations({1, 2, {"a"}});
        CPPUNIT_ASSERT_EQUAL(1, changes);
        for (const auto mode :
             {forward_mode::opening, forward_mode::opening_forced})
        {
            const gate_verdict verdict = open(mode);
            CPPUNIT_ASSERT(verdict.event == gate_event::refused_evacuated);
            CPPUNIT_ASSERT(verdict.returned.reason == return_reason::draining);
        }
        CPPUNIT_ASSERT(gate_->status().state == server_state::draining);
    }

    void open_flow_passes_in_an_evacuated_zone()
    {
        send_heartbeat(0);
        CPPUNIT_ASSERT(takes_opening());
        policy_->apply_evacuations({1, 2, {"a"}});
        const auto verdict = gate_->on_balancer_packet(
            packet(packet_kind::segment),
            {forward_mode::known, make_service_tag("s")}, balancer_);
        CPPUNIT_ASSERT(verdict.decision == gate_verdict::action::deliver);
    }

    /// The last heartbeat was sent before and says that the server is warm.
    void server_is_cold_after_the_zone_is_taken_back()
    {
        send_heartbeat(0);
        policy_->apply_evacuations({1, 2, {"a"}});
        wait(1s);
        send_heartbeat(0);
        policy_->apply_evacuations({1, 3, {}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, count_taken(10));
        wait(100ms);
        send_heartbeat(0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, count_taken(10));
    }

    /// A limit by calendar second would let twice as many pass around its end.
    void limit_holds_in_any_sliding_second()
    {
        send_heartbeat(60000);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{4}, gate_->status().opening_room);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_taken(1));
        wait(900ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, count_taken(10));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{0}, gate_->status().opening_room);
        wait(200ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_taken(10));
    }

    void forced_openings_are_limited()
    {
        send_heartbeat(60000);
        count_taken(4);
        const gate_verdict verdict = open(forward_mode::opening_forced);
        CPPUNIT_ASSERT(verdict.event == gate_event::refused_warming);
        CPPUNIT_ASSERT(verdict.returned.reason == return_reason::warming);
    }

    void limit_ends_with_the_warmup()
    {
        send_heartbeat(500);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, count_taken(10));
        wait(500ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, count_taken(10));
    }

    /// A server that starts again under its id is cold, though its id was seen.
    void new_incarnation_is_limited()
    {
        send_heartbeat(0);
        send_heartbeat(2000, 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, count_taken(10));
    }

    /// A server that crashed and runs again may get openings before its first
    /// heartbeat; a returned opening shows the crash.
    void server_that_may_have_restarted_is_limited()
    {
        send_heartbeat(0);
        const gate_verdict delivered = open();
        flow_packet returned = packet(packet_kind::opening);
        returned.returned = true;
        gate_->on_server_packet(returned, delivered.tag);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, count_taken(10));
    }

    /// The agent does not know what its predecessor let through.
    void restarted_agent_takes_no_opening_in_its_first_second()
    {
        send_heartbeat(60000);
        start_agent({"a", false, {1.5, 1.5}});
        policy_->apply_limit(1, {"s", 2, 2s});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count_taken(10));
        wait(900ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count_taken(10));
        wait(200ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, count_taken(10));
    }

    /// The limit of another service says nothing about this one.
    void only_the_slack_without_a_limit()
    {
        start_agent({"a", false, {1.5, 1.5}});
        policy_->apply_limit(1, {"other", 1000, 2s});
        wait(1100ms);
        send_heartbeat(60000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_taken(10));
    }

    /// A notice sent before the server's service changed must not replace its
    /// limit.
    void limit_of_another_service_is_ignored()
    {
        send_heartbeat(60000);
        policy_->apply_limit(9, {"other", 0, 0s});
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, count_taken(10));
    }

    void older_limit_does_not_replace_a_newer_one()
    {
        send_heartbeat(60000);
        policy_->apply_limit(3, {"s", 4, 2s});
        policy_->apply_limit(2, {"s", 1000, 2s});
        CPPUNIT_ASSERT_EQUAL(std::size_t{7}, count_taken(10));
    }

    /// WarmupPerS 0.0 stands for no bound, not for no opening.
    void service_without_limit_takes_all()
    {
        send_heartbeat(60000);
        policy_->apply_limit(2, {"s", 0, 0s});
        CPPUNIT_ASSERT_EQUAL(unlimited_openings, gate_->status().opening_room);
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, count_taken(10));
    }

    /// Deployments without these parts are served as before.
    void disabled_parts_have_no_effect()
    {
        start_agent({"a", false, {}});
        policy_->apply_evacuations({1, 2, {"a"}});
        send_heartbeat(60000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, count_taken(10));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(opening_policy_test);

} // namespace
