#include "agent_network.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace briarfield;
using namespace std::chrono_literals;
using test::packet_buffer;

constexpr std::uint32_t buckets = 8;

endpoint agent_at(std::uint16_t port)
{
    return {ip_address::parse("192.0.2.1").value(), port};
}

/// One agent whose output is recorded.
class agent_core_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(agent_core_test);
    CPPUNIT_TEST(no_flow_before_the_first_map);
    CPPUNIT_TEST(older_map_is_ignored);
    CPPUNIT_TEST(handed_over_bucket_accepts_no_flow_from_older_map);
    CPPUNIT_TEST(restarted_agent_accepts_no_flow_from_older_map);
    CPPUNIT_TEST(bucket_is_released_after_hold_when_empty);
    CPPUNIT_TEST(stale_packet_is_redirected_to_newer_chain);
    CPPUNIT_TEST(concurrent_owner_is_added_to_chain);
    CPPUNIT_TEST(damaged_packet_opens_no_flow);
    CPPUNIT_TEST(draining_agent_rejects_new_flows_after_grace);
    CPPUNIT_TEST(new_flow_is_dropped_without_lease);
    CPPUNIT_TEST(activity_is_observed);
    CPPUNIT_TEST(forged_or_foreign_datagrams_never_reach_the_server);
    CPPUNIT_TEST(unknown_segment_is_held_until_the_server_answers);
    CPPUNIT_TEST(segment_unknown_to_all_servers_is_reset);
    CPPUNIT_TEST(unresponsive_server_causes_no_reset);
    CPPUNIT_TEST(server_packets_recover_flows);
    CPPUNIT_TEST(youngest_agent_recovers_unknown_udp_flow);
    CPPUNIT_TEST(stalled_flow_is_probed_then_reset);
    CPPUNIT_TEST(answered_probe_keeps_the_flow);
    CPPUNIT_TEST(idle_flow_expires_after_a_day);
    CPPUNIT_TEST(removed_address_closes_its_flows);
    CPPUNIT_TEST(reopened_tuple_is_a_new_flow);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        keys_.set_signing_key(1, overlay_keyring::key_type{9});
        agent_core::options opts;
        opts.service = 7;
        opts.local_address = agent_at(1);
        opts.addresses = {{{address(), 80}, transport::tcp},
                          {{address(), 81}, transport::udp}};
        opts.bucket_count = buckets;
        agent_ = std::make_unique<agent_core>(opts, clock_, keys_);
        agent_->to_server = [this](const_byte_span p)
        {
            ++delivered_;
            to_server_.emplace_back(p.begin(), p.end());
        };
        agent_->to_fabric = [this](const_byte_span p)
        { to_fabric_.emplace_back(p.begin(), p.end()); };
        agent_->to_agent = [this](const endpoint& to, const_byte_span d)
        {
            packet_buffer copy(d);
            byte_span inner;
            CPPUNIT_ASSERT(decode_overlay(copy.span(), keys_, sent_, inner) ==
                           errc::ok);
            sent_to_ = to;
            ++forwarded_;
        };
        delivered_ = forwarded_ = 0;
        to_fabric_.clear();
        to_server_.clear();
    }

    void no_flow_before_the_first_map()
    {
        receive(header({1}), syn(1));
        CPPUNIT_ASSERT_EQUAL(0U, delivered_);
        CPPUNIT_ASSERT(to_fabric_.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             count(agent_event::dropped_no_map));
        agent_->on_map({5}, all());
        receive(header({1}), syn(1));
        CPPUNIT_ASSERT_EQUAL(1U, delivered_);
    }

    void older_map_is_ignored()
    {
        agent_->on_map({9}, all());
        agent_->on_map({8}, bucket_bitmap(buckets));
        CPPUNIT_ASSERT(agent_->applied_map() == map_version{9});
        receive(header({1}, 9), syn(1));
        CPPUNIT_ASSERT_EQUAL(1U, delivered_);
    }

    void handed_over_bucket_accepts_no_flow_from_older_map()
    {
        agent_->on_map({9}, bucket_bitmap(buckets));
        receive(header({1}, 8), syn(1));
        CPPUNIT_ASSERT_EQUAL(0U, delivered_);
        CPPUNIT_ASSERT(to_fabric_.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             count(agent_event::dropped_stale_map));
    }

    /// An earlier run may have handed the bucket over after map 8.
    void restarted_agent_accepts_no_flow_from_older_map()
    {
        agent_->on_map({9}, all());
        receive(header({1}, 8), syn(1));
        CPPUNIT_ASSERT_EQUAL(0U, delivered_);
        CPPUNIT_ASSERT(to_fabric_.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             count(agent_event::dropped_stale_map));
    }

    void bucket_is_released_after_hold_when_empty()
    {
        agent_->on_map({1}, all());
        receive(header({1}), syn(1));
        agent_->on_map({9}, bucket_bitmap(buckets));
        CPPUNIT_ASSERT(!agent_->released().test(0));
        clock_.advance(30min);
        CPPUNIT_ASSERT(agent_->released().test(0));
        CPPUNIT_ASSERT(!agent_->released().test(3)); // It has the flow.
        agent_->on_map({10}, all());
        CPPUNIT_ASSERT(!agent_->released().test(0));
    }

    void stale_packet_is_redirected_to_newer_chain()
    {
        agent_->on_map({1}, all());
        receive(header({2, 1}, 9, 1), syn(1)); // Handed over to agent 2.
        CPPUNIT_ASSERT_EQUAL(1U, forwarded_);
        receive(header({1}, 8), syn(2));
        CPPUNIT_ASSERT_EQUAL(2U, forwarded_);
        CPPUNIT_ASSERT(sent_to_ == agent_at(2));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, sent_.map_version);
        CPPUNIT_ASSERT_EQUAL(2, int{sent_.chain_length});
        CPPUNIT_ASSERT_EQUAL(0, int{sent_.flags});
        CPPUNIT_ASSERT_EQUAL(0U, delivered_);
    }

    void concurrent_owner_is_added_to_chain()
    {
        agent_->on_map({1}, all());
        const std::uint64_t first = map_version{1}.next(1).value;
        const std::uint64_t second = map_version{1}.next(2).value;
        receive(header({2, 1}, first, 1), syn(1)); // Handed over to agent 2.
        receive(header({3, 1}, second, 1), syn(1));
        CPPUNIT_ASSERT(sent_to_ == agent_at(2));
        CPPUNIT_ASSERT_EQUAL(3, int{sent_.chain_length});
        CPPUNIT_ASSERT_EQUAL(2, int{sent_.hop});
    }

    void damaged_packet_opens_no_flow()
    {
        agent_->on_map({1}, all());
        std::vector<std::uint8_t> damaged = syn(1);
        damaged[21] ^= 1U; // Source port.
        receive(header({1}), damaged);
        CPPUNIT_ASSERT_EQUAL(0U, delivered_);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             count(agent_event::dropped_checksum));
    }

    void draining_agent_rejects_new_flows_after_grace()
    {
        agent_->on_map({1}, all());
        agent_->set_draining(true);
        receive(header({1}), syn(1));
        CPPUNIT_ASSERT_EQUAL(1U, delivered_);
        clock_.advance(3s);
        receive(header({1}), syn(2));
        receive(header({1}), syn(1));
        CPPUNIT_ASSERT_EQUAL(2U, delivered_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, to_fabric_.size());
    }

    void new_flow_is_dropped_without_lease()
    {
        bool leased = true;
        agent_->leased = [&leased] { return leased; };
        agent_->on_map({1}, all());
        receive(header({1}), syn(1));
        leased = false;
        receive(header({1}), syn(2));
        CPPUNIT_ASSERT_EQUAL(1U, delivered_);
        CPPUNIT_ASSERT(to_fabric_.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             count(agent_event::dropped_no_lease));
        receive(header({1}), syn(1)); // Existing flows continue.
        CPPUNIT_ASSERT_EQUAL(2U, delivered_);
    }

    void activity_is_observed()
    {
        std::vector<flow_activity> seen;
        agent_->observe = [&](const flow_observation& o)
        { seen.push_back(o.activity); };
        agent_->on_map({1}, all());
        receive(header({1}), syn(1));
        from_server(1, tcp_flags::syn | tcp_flags::ack, "");
        receive(header({1}), segment(1, tcp_flags::ack, "ask"));
        from_server(1, tcp_flags::ack, "answer");
        from_server(1, tcp_flags::rst, "");
        receive(header({1}), syn(2));
        from_server(2, tcp_flags::rst | tcp_flags::ack, "");
        const std::vector<flow_activity> expected = {
            flow_activity::accepted,        flow_activity::request_bytes,
            flow_activity::answer_bytes,    flow_activity::server_reset,
            flow_activity::closed,          flow_activity::accepted,
            flow_activity::server_rejected, flow_activity::closed};
        CPPUNIT_ASSERT(seen == expected);
    }

    void forged_or_foreign_datagrams_never_reach_the_server()
    {
        agent_->on_map({1}, all());
        overlay_header other = header({1});
        other.service_id = 8;
        receive(other, syn(1));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             count(agent_event::dropped_wrong_service));
        overlay_keyring forger;
        forger.set_signing_key(1, overlay_keyring::key_type{66});
        std::swap(forger, keys_);
        const std::vector<std::uint8_t> packet = syn(1);
        packet_buffer buffer({packet.data(), packet.size()});
        const byte_span forged =
            encode_overlay(header({1}), buffer.span(), keys_);
        std::swap(forger, keys_);
        agent_->on_overlay(forged);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, count(agent_event::dropped_mac));
        CPPUNIT_ASSERT_EQUAL(0U, delivered_);
    }

    void unknown_segment_is_held_until_the_server_answers()
    {
        agent_->on_map({1}, all());
        receive(header({1}), segment(1, tcp_flags::ack, "ask"));
        CPPUNIT_ASSERT_EQUAL(std::string(), payload_of(to_server_.back()));
        from_server(1, tcp_flags::ack, "");
        CPPUNIT_ASSERT_EQUAL(std::string("ask"), payload_of(to_server_.back()));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, agent_->flows().size());
        receive(header({1}), segment(1, tcp_flags::ack, "more"));
        CPPUNIT_ASSERT_EQUAL(std::string("more"),
                             payload_of(to_server_.back()));
    }

    void segment_unknown_to_all_servers_is_reset()
    {
        agent_->on_map({1}, all());
        overlay_header h = header({1, 2});
        h.flags = overlay_flags::searched;
        receive(h, segment(1, tcp_flags::ack, "ask"));
        from_server(1, tcp_flags::rst, "");
        CPPUNIT_ASSERT(to_fabric_.empty());
        CPPUNIT_ASSERT(sent_to_ == agent_at(2));
        h = header({2, 1}, 5, 1);
        h.flags = overlay_flags::recover;
        receive(h, segment(1, tcp_flags::ack, "ask"));
        from_server(1, tcp_flags::rst, "");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, to_fabric_.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             count(agent_event::reset_unknown_flow));
    }

    void unresponsive_server_causes_no_reset()
    {
        agent_->on_map({1}, all());
        receive(header({1}), segment(1, tcp_flags::ack, "ask"));
        clock_.advance(1s);
        agent_->expire();
        CPPUNIT_ASSERT(to_fabric_.empty());
        receive(header({1}), segment(1, tcp_flags::ack, "ask"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                             count(agent_event::asked_server));
    }

    void server_packets_recover_flows()
    {
        agent_->hash = [](const flow_key&) { return 11U; };
        agent_->on_map({1}, all());
        from_server(1, tcp_flags::ack, "correction");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, to_fabric_.size());
        CPPUNIT_ASSERT_EQUAL(1U, agent_->flows().bucket_size(3));
        from_server(2, tcp_flags::fin | tcp_flags::ack, "");
        clock_.advance(30min);
        from_server(3, tcp_flags::ack, "late");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, to_fabric_.size());
    }

    void youngest_agent_recovers_unknown_udp_flow()
    {
        agent_->on_map({1}, all());
        clock_.advance(20s); // Now in age class 4.
        const auto send_udp =
            [this](overlay_header h, unsigned flags, unsigned age)
        {
            h.flags =
                static_cast<std::uint8_t>(flags | overlay_flags::ambiguous |
                                          age << overlay_flags::age_shift);
            flow_key flow = key(++udp_flow_count_);
            flow.destination_port = 81;
            flow.protocol = transport::udp;
            receive(h, build_udp_packet(flow, {}));
            return delivered_;
        };
        const overlay_header owner = header({1, 2});
        CPPUNIT_ASSERT_EQUAL(1U, send_udp(owner, overlay_flags::searched, 6));
        CPPUNIT_ASSERT_EQUAL(1U, send_udp(owner, overlay_flags::searched, 2));
        CPPUNIT_ASSERT(sent_to_ == agent_at(2));
        CPPUNIT_ASSERT((sent_.flags & overlay_flags::recover) != 0);
        const overlay_header earlier = header({2, 1}, 9, 1);
        CPPUNIT_ASSERT_EQUAL(1U, send_udp(earlier, overlay_flags::recover, 2));
        CPPUNIT_ASSERT_EQUAL(2U, send_udp(earlier, overlay_flags::recover, 4));
    }

    void stalled_flow_is_probed_then_reset()
    {
        open_flow();
        from_server(1, tcp_flags::ack, "correction");
        to_fabric_.clear();
        to_server_.clear();
        run_for(14s);
        CPPUNIT_ASSERT(to_fabric_.empty());
        run_for(60s);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3},
                             count(agent_event::probed_silent));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, to_fabric_.size());
        CPPUNIT_ASSERT_EQUAL(int{tcp_flags::rst}, bits_of(to_fabric_.back()));
        CPPUNIT_ASSERT_EQUAL(int{tcp_flags::rst}, bits_of(to_server_.back()));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, agent_->flows().size());
    }

    void answered_probe_keeps_the_flow()
    {
        open_flow();
        for (int i = 0; i < 10; ++i)
        {
            from_server(1, tcp_flags::ack, "correction");
            run_for(21s);
            receive(header({1}), segment(1, tcp_flags::ack, ""));
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                             count(agent_event::reset_silent));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, agent_->flows().size());
    }

    void idle_flow_expires_after_a_day()
    {
        open_flow();
        run_for(10h);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, agent_->flows().size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                             count(agent_event::probed_silent));
        run_for(15h);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, agent_->flows().size());
    }

    void removed_address_closes_its_flows()
    {
        open_flow();
        to_fabric_.clear();
        agent_->set_addresses({{{address(), 81}, transport::udp}});
        CPPUNIT_ASSERT_EQUAL(int{tcp_flags::rst}, bits_of(to_server_.back()));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, agent_->flows().size());
        from_server(1, tcp_flags::ack, "late");
        receive(header({1}), segment(1, tcp_flags::ack, "late"));
        CPPUNIT_ASSERT(to_fabric_.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             count(agent_event::dropped_wrong_address));
    }

    void reopened_tuple_is_a_new_flow()
    {
        open_flow();
        receive(header({1}), segment(1, tcp_flags::fin | tcp_flags::ack, ""));
        from_server(1, tcp_flags::fin | tcp_flags::ack, "");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, agent_->flows().size());
        const unsigned before = delivered_;
        receive(header({2, 1}, 9, 1), syn(1)); // Now agent 2 owns the bucket.
        CPPUNIT_ASSERT_EQUAL(before, delivered_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, agent_->flows().size());
        CPPUNIT_ASSERT(sent_to_ == agent_at(2));
    }

private:
    void open_flow()
    {
        agent_->on_map({1}, all());
        receive(header({1}), syn(1));
        from_server(1, tcp_flags::syn | tcp_flags::ack, "");
        receive(header({1}), segment(1, tcp_flags::ack, ""));
    }

    void run_for(std::chrono::seconds span)
    {
        for (std::chrono::seconds i{0}; i < span; ++i)
        {
            clock_.advance(1s);
            agent_->expire();
        }
    }

    static ip_packet_view view_of(const std::vector<std::uint8_t>& packet)
    {
        ip_packet_view view;
        CPPUNIT_ASSERT(parse_ip_packet({packet.data(), packet.size()}, view) ==
                       errc::ok);
        return view;
    }

    static int bits_of(const std::vector<std::uint8_t>& packet)
    {
        return view_of(packet).tcp_bits;
    }

    static std::string payload_of(const std::vector<std::uint8_t>& packet)
    {
        return {packet.begin() + view_of(packet).payload_offset, packet.end()};
    }

    static ip_address address()
    {
        return ip_address::parse("198.51.100.10").value();
    }

    static flow_key key(std::uint16_t port)
    {
        return {ip_address::parse("203.0.113.1").value(), address(), port, 80,
                transport::tcp};
    }

    static std::vector<std::uint8_t>
    segment(std::uint16_t port, std::uint8_t bits, const std::string& payload)
    {
        return build_tcp_packet(
            {key(port),
             100,
             200,
             bits,
             {reinterpret_cast<const std::uint8_t*>(payload.data()),
              payload.size()}});
    }

    static std::vector<std::uint8_t> syn(std::uint16_t port)
    {
        return segment(port, tcp_flags::syn, "");
    }

    void from_server(std::uint16_t port,
                     std::uint8_t bits,
                     const std::string& payload)
    {
        const std::vector<std::uint8_t> packet = build_tcp_packet(
            {key(port).reversed(),
             200,
             100,
             bits,
             {reinterpret_cast<const std::uint8_t*>(payload.data()),
              payload.size()}});
        packet_buffer buffer({packet.data(), packet.size()});
        agent_->on_server_packet(buffer.span());
    }

    static overlay_header header(std::initializer_list<std::uint16_t> chain,
                                 std::uint64_t version = 5,
                                 std::uint8_t hop = 0)
    {
        overlay_header h;
        h.service_id = 7;
        h.bucket = 3;
        h.map_version = version;
        h.hop = hop;
        for (const std::uint16_t port : chain)
            h.chain[h.chain_length++] = agent_at(port);
        return h;
    }

    static bucket_bitmap all()
    {
        return bucket_bitmap(std::vector<std::uint8_t>{0xff});
    }

    void receive(const overlay_header& h,
                 const std::vector<std::uint8_t>& packet)
    {
        packet_buffer buffer({packet.data(), packet.size()});
        agent_->on_overlay(encode_overlay(h, buffer.span(), keys_));
    }

    std::uint64_t count(agent_event e) const
    {
        return agent_->counters().value(e);
    }

    manual_clock clock_;
    overlay_keyring keys_;
    std::unique_ptr<agent_core> agent_;
    overlay_header sent_;
    endpoint sent_to_;
    unsigned delivered_ = 0;
    std::uint16_t udp_flow_count_ = 0;
    unsigned forwarded_ = 0;
    std::vector<std::vector<std::uint8_t>> to_fabric_;
    std::vector<std::vector<std::uint8_t>> to_server_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(agent_core_test);

} // namespace
