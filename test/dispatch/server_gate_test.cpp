#include "briarfield/dispatch/server_gate.hpp"

#include "support/dispatch_world.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace briarfield;
using namespace briarfield::test;
using namespace std::chrono_literals;

/// Tests which flows an agent probes at its server, and how it handles lost
/// ones.
class server_gate_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_gate_test);
    CPPUNIT_TEST(flow_with_server_data_is_probed);
    CPPUNIT_TEST(flow_without_server_data_is_not_probed);
    CPPUNIT_TEST(closed_flow_is_not_probed);
    CPPUNIT_TEST(new_opening_discards_the_probe);
    CPPUNIT_TEST(returned_probe_resets_the_flow);
    CPPUNIT_TEST(lost_flow_is_reported_once);
    CPPUNIT_TEST(returned_packet_of_an_unknown_flow_is_not_a_loss);
    CPPUNIT_TEST(searching_balancer_is_told_of_a_flow_of_the_server);
    CPPUNIT_TEST(searching_balancer_is_not_told_of_a_flow_by_its_own_packets);
    CPPUNIT_TEST(half_closed_flow_is_not_forgotten);
    CPPUNIT_TEST(idle_flow_is_held_but_not_counted);
    CPPUNIT_TEST(late_copy_of_an_opening_does_not_hide_the_flow);
    CPPUNIT_TEST(late_return_of_an_opening_does_not_hide_the_flow);
    CPPUNIT_TEST(records_of_a_full_table_are_not_complete);
    CPPUNIT_TEST(search_of_a_kept_packet_is_answered_briefly);
    CPPUNIT_TEST(server_that_resets_requests_is_ejected);
    CPPUNIT_TEST(closing_that_overtakes_the_answer_is_no_failure);
    CPPUNIT_TEST(resets_of_an_overloaded_server_are_no_failures);
    CPPUNIT_TEST(resets_of_a_draining_server_are_no_failures);
    CPPUNIT_TEST(new_incarnation_is_not_ejected);
    CPPUNIT_TEST(forced_opening_reaches_an_ejected_server);
    CPPUNIT_TEST(copy_of_a_delivered_opening_is_delivered);
    CPPUNIT_TEST(server_that_never_started_is_reported_as_gone);
    CPPUNIT_TEST(reset_of_an_unstarted_server_is_dropped);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint32_t slots = 4;

    manual_clock clock_;
    server_registration server_{clock_, "datum", 1900ms};
    server_gate gate_{clock_, server_};
    const endpoint balancer_ = host_endpoint(1, 9000);
    std::vector<std::uint8_t> bytes_ = std::vector<std::uint8_t>(36, 7);
    int lost_flows_ = 0;

public:
    void setUp() override
    {
        clock_.advance(1h);
        server_.detect_pause();
        clock_.advance(server_registration::settle_time);
        server_heartbeat heartbeat;
        heartbeat.id = "i";
        heartbeat.born_ms = 1;
        heartbeat.sequence = 1;
        heartbeat.service = "datum";
        heartbeat.slots = slots;
        CPPUNIT_ASSERT(server_.on_heartbeat(heartbeat));
        gate_.on_flow_lost = [this] { ++lost_flows_; };
    }

private:
    flow_packet packet(packet_kind kind,
                       std::uint16_t payload = 0,
                       std::uint16_t port = 4000)
    {
        flow_packet p;
        p.key.source = host_endpoint(200, 0).address;
        p.key.source_port = port;
        p.key.destination = host_endpoint(250, 0).address;
        p.key.destination_port = 80;
        p.kind = kind;
        p.payload_size = payload;
        p.acknowledgment = 77;
        p.bytes = {bytes_.data(), bytes_.size()};
        return p;
    }

    std::uint32_t from_caller(const flow_packet& p)
    {
        const forward_mode mode = p.kind == packet_kind::opening
                                      ? forward_mode::opening
                                      : forward_mode::known;
        return gate_
            .on_balancer_packet(p, {mode, make_service_tag("datum")}, balancer_)
            .tag;
    }

    void open_flow()
    {
        from_caller(packet(packet_kind::opening));
        flow_packet answer = packet(packet_kind::segment);
        answer.accepts = true;
        gate_.on_server_packet(answer, 0);
        from_caller(packet(packet_kind::segment));
    }

    void exchange_data()
    {
        from_caller(packet(packet_kind::segment, 100));
        gate_.on_server_packet(packet(packet_kind::segment, 500), 0);
        from_caller(packet(packet_kind::segment));
    }

    gate_verdict return_from_server(flow_packet p, std::uint32_t tag)
    {
        p.returned = true;
        return gate_.on_server_packet(p, tag);
    }

    void flow_with_server_data_is_probed()
    {
        open_flow();
        exchange_data();
        const std::vector<short_packet> all = gate_.probes();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, all.size());
        const const_byte_span probe = all[0].span();
        CPPUNIT_ASSERT(std::equal(probe.begin(), probe.end(), bytes_.begin(),
                                  bytes_.end()));
    }

    /// Another server may have answered a retransmission of the opening, too,
    /// and have the flow.
    void flow_without_server_data_is_not_probed()
    {
        open_flow();
        CPPUNIT_ASSERT(gate_.probes().empty());
    }

    void closed_flow_is_not_probed()
    {
        open_flow();
        exchange_data();
        from_caller(packet(packet_kind::closing));
        CPPUNIT_ASSERT(gate_.probes().empty());
    }

    void new_opening_discards_the_probe()
    {
        open_flow();
        exchange_data();
        open_flow();
        CPPUNIT_ASSERT(gate_.probes().empty());
    }

    void returned_probe_resets_the_flow()
    {
        open_flow();
        exchange_data();
        const gate_verdict v = return_from_server(packet(packet_kind::segment),
                                                  server_gate::probe_tag);
        CPPUNIT_ASSERT(v.decision == gate_verdict::action::reset);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{77}, v.sequence);
        CPPUNIT_ASSERT(gate_.probes().empty());
    }

    void lost_flow_is_reported_once()
    {
        open_flow();
        exchange_data();
        const std::uint32_t tag = from_caller(packet(packet_kind::segment, 9));
        const gate_verdict v =
            return_from_server(packet(packet_kind::segment, 9), tag);
        CPPUNIT_ASSERT(v.decision == gate_verdict::action::return_packet);
        CPPUNIT_ASSERT_EQUAL(1, lost_flows_);
        return_from_server(packet(packet_kind::segment, 9), tag);
        CPPUNIT_ASSERT_EQUAL(1, lost_flows_);
    }

    bool held(std::uint16_t port = 4000)
    {
        return !gate_.held({packet(packet_kind::segment, 0, port).key}).empty();
    }

    /// An agent with complete records that had forgotten the flow would let
    /// balancers reset it.
    void half_closed_flow_is_not_forgotten()
    {
        open_flow();
        from_caller(packet(packet_kind::closing));
        clock_.advance(30s);
        gate_.expire();
        CPPUNIT_ASSERT(held());
        gate_.on_server_packet(packet(packet_kind::closing), 0);
        clock_.advance(server_gate::closed_flow_idle_timeout + 1ms);
        gate_.expire();
        CPPUNIT_ASSERT(!held());
    }

    /// Flows of callers that have vanished must not count as load.
    void idle_flow_is_held_but_not_counted()
    {
        open_flow();
        clock_.advance(server_gate::flow_idle_timeout + 1ms);
        gate_.expire();
        CPPUNIT_ASSERT(held());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, gate_.open_flows());
        from_caller(packet(packet_kind::segment));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, gate_.open_flows());
        clock_.advance(server_gate::default_max_flow_age + 1ms);
        gate_.expire();
        CPPUNIT_ASSERT(!held());
    }

    void late_copy_of_an_opening_does_not_hide_the_flow()
    {
        open_flow();
        from_caller(packet(packet_kind::opening));
        CPPUNIT_ASSERT(held());
    }

    /// The server had returned one copy and taken the next; the packets were
    /// reordered.
    void late_return_of_an_opening_does_not_hide_the_flow()
    {
        const std::uint32_t tag = from_caller(packet(packet_kind::opening));
        open_flow();
        return_from_server(packet(packet_kind::opening), tag);
        CPPUNIT_ASSERT(held());
    }

    void records_of_a_full_table_are_not_complete()
    {
        clock_.advance(server_gate::default_max_flow_age);
        for (std::size_t i = 0; i < server_gate::flow_capacity; ++i)
            from_caller(packet(packet_kind::segment, 0,
                               static_cast<std::uint16_t>(10000 + i)));
        CPPUNIT_ASSERT(gate_.status().flows_complete);
        from_caller(packet(packet_kind::segment));
        CPPUNIT_ASSERT(!gate_.status().flows_complete);
    }

    /// Whole packets that searches got back lengthened the queues. Balancers
    /// that keep no copy need the whole packet.
    void search_of_a_kept_packet_is_answered_briefly()
    {
        for (const bool kept : {true, false})
        {
            const gate_verdict v = gate_.on_balancer_packet(
                packet(packet_kind::segment, 100),
                {forward_mode::search, 0, kept}, balancer_);
            const gate_verdict back =
                return_from_server(packet(packet_kind::segment, 100), v.tag);
            CPPUNIT_ASSERT(
                back.returned.reason ==
                (kept ? return_reason::not_held : return_reason::not_taken));
        }
    }

    gate_verdict search_for_flow()
    {
        return gate_.on_balancer_packet(packet(packet_kind::segment),
                                        {forward_mode::search, 0}, balancer_);
    }

    /// A server does not answer a bare acknowledgment.
    void searching_balancer_is_told_of_a_flow_of_the_server()
    {
        open_flow();
        const gate_verdict verdict = search_for_flow();
        CPPUNIT_ASSERT(verdict.decision == gate_verdict::action::deliver);
        CPPUNIT_ASSERT(verdict.notify_balancer);
        CPPUNIT_ASSERT(verdict.balancer == balancer_);
    }

    /// Two agents claimed a flow in turn because its packets had passed them,
    /// and the search went back and forth.
    void searching_balancer_is_not_told_of_a_flow_by_its_own_packets()
    {
        CPPUNIT_ASSERT(!search_for_flow().notify_balancer);
        CPPUNIT_ASSERT(!search_for_flow().notify_balancer);
    }

    void returned_packet_of_an_unknown_flow_is_not_a_loss()
    {
        const std::uint32_t tag = from_caller(packet(packet_kind::segment, 9));
        return_from_server(packet(packet_kind::segment, 9), tag);
        CPPUNIT_ASSERT_EQUAL(0, lost_flows_);
    }

    /// Opens a flow on which the server answers the request with \a end.
    void fail_request(std::uint16_t port, packet_kind end)
    {
        from_caller(packet(packet_kind::opening, 0, port));
        from_caller(packet(packet_kind::segment, 100, port));
        gate_.on_server_packet(packet(end, 0, port), 0);
    }

    gate_event offer(forward_mode mode, std::uint16_t port = 9)
    {
        return gate_
            .on_balancer_packet(packet(packet_kind::opening, 0, port),
                                {mode, make_service_tag("datum")}, balancer_)
            .event;
    }

    void server_that_resets_requests_is_ejected()
    {
        fail_request(1, packet_kind::reset);
        CPPUNIT_ASSERT(gate_.status().state == server_state::ready);
        fail_request(2, packet_kind::reset);
        CPPUNIT_ASSERT(gate_.status().state == server_state::silent);
        CPPUNIT_ASSERT(offer(forward_mode::opening) ==
                       gate_event::refused_failing);
    }

    void closing_that_overtakes_the_answer_is_no_failure()
    {
        for (std::uint16_t port = 1; port < 9; ++port)
        {
            fail_request(port, packet_kind::closing);
            gate_.on_server_packet(packet(packet_kind::segment, 500, port), 0);
        }
        CPPUNIT_ASSERT(gate_.status().state == server_state::ready);
    }

    void resets_of_an_overloaded_server_are_no_failures()
    {
        const auto limit = static_cast<std::uint16_t>(
            server_gate::max_requests_per_slot * slots);
        for (std::uint16_t port = 100; port < 100 + limit; ++port)
            from_caller(packet(packet_kind::segment, 100, port));
        for (std::uint16_t port = 1; port < 9; ++port)
            fail_request(port, packet_kind::reset);
        CPPUNIT_ASSERT(gate_.status().state == server_state::ready);
    }

    void resets_of_a_draining_server_are_no_failures()
    {
        server_heartbeat heartbeat = server_.latest();
        ++heartbeat.sequence;
        heartbeat.draining = true;
        CPPUNIT_ASSERT(server_.on_heartbeat(heartbeat));
        for (std::uint16_t port = 1; port < 9; ++port)
            fail_request(port, packet_kind::reset);
        CPPUNIT_ASSERT(gate_.status().state == server_state::draining);
    }

    void new_incarnation_is_not_ejected()
    {
        fail_request(1, packet_kind::reset);
        fail_request(2, packet_kind::reset);
        gate_.on_new_server();
        CPPUNIT_ASSERT(gate_.status().state == server_state::ready);
    }

    /// The server has the flow already, so another one must not get the copy.
    void copy_of_a_delivered_opening_is_delivered()
    {
        CPPUNIT_ASSERT(offer(forward_mode::opening) == gate_event::offered);
        for (std::uint16_t port = 100; port < 120; ++port)
            from_caller(packet(packet_kind::segment, 100, port));
        CPPUNIT_ASSERT(offer(forward_mode::opening, 8) ==
                       gate_event::refused_busy);
        CPPUNIT_ASSERT(offer(forward_mode::opening) == gate_event::offered);
    }

    void forced_opening_reaches_an_ejected_server()
    {
        fail_request(1, packet_kind::reset);
        fail_request(2, packet_kind::reset);
        CPPUNIT_ASSERT(offer(forward_mode::opening_forced) ==
                       gate_event::offered);
    }

    /// After a loss of power, agents whose server did not come back reported it
    /// as silent when they were removed, and every search for a lost flow
    /// waited 15 s for them.
    void server_that_never_started_is_reported_as_gone()
    {
        server_registration other(clock_, "datum", 1900ms);
        server_gate gate(clock_, other);
        CPPUNIT_ASSERT(gate.status().state == server_state::unknown);
        clock_.advance(2s);
        CPPUNIT_ASSERT(gate.status().state == server_state::gone);
        server_heartbeat heartbeat;
        heartbeat.service = "datum";
        CPPUNIT_ASSERT(other.on_heartbeat(heartbeat));
        CPPUNIT_ASSERT(gate.status().state != server_state::gone);
    }

    /// The instance of a server that had not started reset the packet of a
    /// search, and so the flow that another server had open.
    void reset_of_an_unstarted_server_is_dropped()
    {
        server_registration other(clock_, "datum", 1900ms);
        server_gate gate(clock_, other);
        const auto searched =
            gate.on_balancer_packet(packet(packet_kind::segment, 100),
                                    {forward_mode::search, 0}, balancer_);
        CPPUNIT_ASSERT(searched.decision == gate_verdict::action::deliver);
        const flow_packet reset = packet(packet_kind::reset);
        CPPUNIT_ASSERT(gate.on_server_packet(reset, 0).decision ==
                       gate_verdict::action::drop);
        server_heartbeat heartbeat;
        heartbeat.service = "datum";
        CPPUNIT_ASSERT(other.on_heartbeat(heartbeat));
        CPPUNIT_ASSERT(gate.on_server_packet(reset, 0).decision ==
                       gate_verdict::action::answer);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_gate_test);

} // namespace
