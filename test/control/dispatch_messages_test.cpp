#include "briarfield/control/dispatch_messages.hpp"

#include "briarfield/dispatch/relay_frame.hpp"

#include "briarfield/dispatch/flow_query_queue.hpp"

#include <array>
#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace briarfield;

endpoint address(std::uint8_t host, std::uint16_t port)
{
    const std::uint8_t bytes[4] = {10, 1, 2, host};
    return {ip_address::from_v4(bytes), port};
}

class dispatch_messages_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(dispatch_messages_test);
    CPPUNIT_TEST(status_round_trips);
    CPPUNIT_TEST(status_without_room_is_not_limited);
    CPPUNIT_TEST(queries_and_answers_round_trip);
    CPPUNIT_TEST(full_query_fits_a_datagram);
    CPPUNIT_TEST(notice_carries_evacuations_and_warmup_limits);
    CPPUNIT_TEST(held_flow_round_trips);
    CPPUNIT_TEST(notice_round_trips_and_fits_a_datagram);
    CPPUNIT_TEST(truncated_messages_are_rejected);
    CPPUNIT_TEST(frames_round_trip);
    CPPUNIT_TEST(malformed_frames_are_rejected);
    CPPUNIT_TEST_SUITE_END();

    template <class T>
    static T round_trip(const T& message)
    {
        const auto read =
            decode_dispatch_message(encode_dispatch_message(message));
        CPPUNIT_ASSERT(read);
        CPPUNIT_ASSERT(std::holds_alternative<T>(read.value()));
        return std::get<T>(read.value());
    }

    void status_round_trips()
    {
        agent_status s;
        s.relay_address = address(1, 8172);
        s.incarnation = 0xfedcba9876543210;
        s.sequence = 3;
        s.service = "datum-live";
        s.zone = "bagmati-a";
        s.state = server_state::silent;
        s.slots = 2;
        s.flows = 40;
        s.requests_in_progress = 1.5F;
        s.warmup_ms = 900;
        s.restarting = true;
        s.flows_complete = true;
        s.opening_room = 7;
        s.route_times = {{address(4, 443), std::chrono::milliseconds(25)}};
        const agent_status r = round_trip(s);
        CPPUNIT_ASSERT(r.relay_address == s.relay_address);
        CPPUNIT_ASSERT_EQUAL(s.incarnation, r.incarnation);
        CPPUNIT_ASSERT_EQUAL(s.service, r.service);
        CPPUNIT_ASSERT(r.state == s.state);
        CPPUNIT_ASSERT_EQUAL(s.flows, r.flows);
        CPPUNIT_ASSERT_EQUAL(s.requests_in_progress, r.requests_in_progress);
        CPPUNIT_ASSERT_EQUAL(s.warmup_ms, r.warmup_ms);
        CPPUNIT_ASSERT(r.restarting);
        CPPUNIT_ASSERT(r.flows_complete);
        CPPUNIT_ASSERT_EQUAL(s.opening_room, r.opening_room);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, r.route_times.size());
        CPPUNIT_ASSERT(r.route_times[0].destination == address(4, 443));
        CPPUNIT_ASSERT(r.route_times[0].service_time ==
                       s.route_times[0].service_time);
    }

    /// Agents of earlier versions send neither; they must not count as limited.
    void status_without_room_is_not_limited()
    {
        CPPUNIT_ASSERT_EQUAL(unlimited_openings,
                             round_trip(agent_status()).opening_room);
    }

    void queries_and_answers_round_trip()
    {
        flow_query q;
        q.balancer = address(9, 7720);
        q.id = 5;
        q.flows = {{address(1, 0).address, address(2, 0).address, 40001, 443,
                    transport::tcp}};
        const flow_query read_query = round_trip(q);
        CPPUNIT_ASSERT(read_query.balancer == q.balancer);
        CPPUNIT_ASSERT(read_query.flows == q.flows);
        flow_answer a;
        a.agent = address(3, 8172);
        a.id = 5;
        a.complete = true;
        a.held = {0, 900};
        const flow_answer read_answer = round_trip(a);
        CPPUNIT_ASSERT(read_answer.agent == a.agent);
        CPPUNIT_ASSERT(read_answer.complete);
        CPPUNIT_ASSERT(read_answer.held == a.held);
    }

    /// Larger datagrams are fragmented or dropped on the way.
    void full_query_fits_a_datagram()
    {
        flow_query q;
        q.balancer = address(9, 7720);
        q.id = 0xffffffff;
        std::array<std::uint8_t, 16> bytes{};
        for (std::size_t i = 0; i < flow_query_queue::options().max_flows; ++i)
        {
            bytes.fill(static_cast<std::uint8_t>(100 + i));
            const ip_address a = ip_address::from_v6(bytes.data());
            q.flows.push_back({a, a, 40001, 443, transport::tcp});
        }
        CPPUNIT_ASSERT(encode_dispatch_message(q).size() < 1200);
    }

    void notice_carries_evacuations_and_warmup_limits()
    {
        balancer_notice n;
        n.evacuations = {2, 530, {"zone-b"}};
        n.warmup_limits = {{"datum-live", 4.5F, std::chrono::seconds(2)}};
        const balancer_notice r = round_trip(n);
        CPPUNIT_ASSERT_EQUAL(n.evacuations.era, r.evacuations.era);
        CPPUNIT_ASSERT_EQUAL(n.evacuations.revision, r.evacuations.revision);
        CPPUNIT_ASSERT(r.evacuations.zones == n.evacuations.zones);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, r.warmup_limits.size());
        CPPUNIT_ASSERT_EQUAL(4.5F, r.warmup_limits[0].per_second);
        CPPUNIT_ASSERT(r.warmup_limits[0].warmup == std::chrono::seconds(2));
    }

    void held_flow_round_trips()
    {
        flow_held_message m;
        m.key = {address(1, 0).address, address(2, 0).address, 40001, 443,
                 transport::tcp};
        m.agent = address(3, 8172);
        const flow_held_message r = round_trip(m);
        CPPUNIT_ASSERT(r.key == m.key);
        CPPUNIT_ASSERT(r.agent == m.agent);
    }

    void notice_round_trips_and_fits_a_datagram()
    {
        balancer_notice n;
        n.relay = address(9, 7720);
        n.config_version = 12;
        n.incarnation = 77;
        for (std::uint8_t i = 0; i < 40; ++i)
        {
            n.balancers.push_back(address(i, 7720));
            n.agents.push_back(address(i, 8172));
        }
        const balancer_notice r = round_trip(n);
        CPPUNIT_ASSERT(r.balancers == n.balancers);
        CPPUNIT_ASSERT(r.agents == n.agents);
        CPPUNIT_ASSERT_EQUAL(n.incarnation, r.incarnation);
        constexpr std::size_t packet_limit = 2048; // Of a relay socket.
        CPPUNIT_ASSERT(encode_dispatch_message(n).size() < packet_limit);
    }

    void truncated_messages_are_rejected()
    {
        agent_status s;
        s.service = "datum-live";
        const std::string encoded = encode_dispatch_message(s);
        for (std::size_t size = 0; size < encoded.size(); ++size)
            CPPUNIT_ASSERT(!decode_dispatch_message(encoded.substr(0, size)));
    }

    void frames_round_trip()
    {
        std::vector<std::uint8_t> buffer(relay_frame_overhead + 5, 7);
        const byte_span packet = byte_span(buffer.data(), buffer.size())
                                     .drop_front(relay_frame_overhead);
        const byte_span forward = write_forward_frame(
            packet, {forward_mode::search, make_service_tag("a")});
        const auto forward_frame = read_relay_frame(forward);
        CPPUNIT_ASSERT(forward_frame &&
                       forward_frame.value().kind == frame_kind::forward);
        CPPUNIT_ASSERT(forward_frame.value().info.mode == forward_mode::search);
        CPPUNIT_ASSERT_EQUAL(make_service_tag("a"),
                             forward_frame.value().info.service);
        CPPUNIT_ASSERT(forward_frame.value().body.data() == packet.data());
        const auto return_frame = read_relay_frame(
            write_return_frame(packet, {return_reason::silent, 0}));
        CPPUNIT_ASSERT(return_frame &&
                       return_frame.value().kind == frame_kind::return_packet);
        CPPUNIT_ASSERT(return_frame.value().returned.reason ==
                       return_reason::silent);
        CPPUNIT_ASSERT(return_frame.value().body.data() == packet.data());
        const auto overload_frame = read_relay_frame(
            write_return_frame(packet, {return_reason::busy, 700}));
        CPPUNIT_ASSERT(overload_frame && overload_frame.value().kind ==
                                             frame_kind::return_packet);
        CPPUNIT_ASSERT(overload_frame.value().returned.reason ==
                       return_reason::busy);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{700},
                             overload_frame.value().returned.requests);
        CPPUNIT_ASSERT(overload_frame.value().body.data() == packet.data());
    }

    void malformed_frames_are_rejected()
    {
        std::uint8_t bytes[] = {2, 0, 0, 0, 0, 0};
        CPPUNIT_ASSERT(read_relay_frame({bytes, 6}));
        for (std::size_t size = 0; size < 6; ++size)
            CPPUNIT_ASSERT(!read_relay_frame({bytes, size}));
        bytes[1] = static_cast<std::uint8_t>(forward_mode::count_);
        CPPUNIT_ASSERT(!read_relay_frame({bytes, 6}));
        bytes[0] = 3;
        bytes[1] = static_cast<std::uint8_t>(return_reason::count_);
        CPPUNIT_ASSERT(!read_relay_frame({bytes, 6}));
        bytes[0] = 4;
        CPPUNIT_ASSERT(read_relay_frame({bytes, 3}));
        CPPUNIT_ASSERT(!read_relay_frame({bytes, 2}));
        for (const std::uint8_t kind :
             {std::uint8_t{0}, std::uint8_t{5}, std::uint8_t{255}})
        {
            bytes[0] = kind;
            CPPUNIT_ASSERT(!read_relay_frame({bytes, 6}));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatch_messages_test);

} // namespace
