#include "briarfield/core/byte_order.hpp"
#include "briarfield/packet/ip_packet.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <rapidcheck.h>

namespace
{

using namespace briarfield;
using bytes = std::vector<std::uint8_t>;

flow_key key_of(const char* from, const char* to, transport protocol)
{
    return {ip_address::parse(from).value(), ip_address::parse(to).value(),
            4000, 80, protocol};
}

bytes tcp4()
{
    return build_tcp_packet(
        {key_of("203.0.113.1", "198.51.100.1", transport::tcp),
         1,
         2,
         tcp_flags::ack,
         {}});
}

bytes tcp6()
{
    return build_tcp_packet(
        {key_of("2001:db8::1", "2001:db8::2", transport::tcp),
         1,
         2,
         tcp_flags::ack,
         {}});
}

bytes udp4()
{
    static const std::uint8_t payload[] = {1, 2, 3};
    return build_udp_packet(
        key_of("203.0.113.1", "198.51.100.1", transport::udp), {payload, 3});
}

void fix_checksum(bytes& p)
{
    store_be16(&p[10], 0);
    store_be16(&p[10], internet_checksum({p.data(), 20}));
}

/// A corruption of a valid packet and the result expected of the parser.
struct parse_case
{
    const char* name;
    std::function<bytes()> make;
    std::function<void(bytes&)> corrupt;
    errc expected;
};

const parse_case parse_cases[] = {
    {"whole tcp4", tcp4, [](bytes&) {}, errc::ok},
    {"whole tcp6", tcp6, [](bytes&) {}, errc::ok},
    {"whole udp4", udp4, [](bytes&) {}, errc::ok},
    {"empty", tcp4, [](bytes& p) { p.clear(); }, errc::packet_truncated},
    {"version 5", tcp4, [](bytes& p) { p[0] = 0x55; }, errc::packet_malformed},
    {"short ipv4 header", tcp4, [](bytes& p) { p.resize(19); },
     errc::packet_truncated},
    {"header length 4 words", tcp4, [](bytes& p) { p[0] = 0x44; },
     errc::packet_malformed},
    {"total length past the end", tcp4,
     [](bytes& p)
     {
         store_be16(&p[2], 41);
         fix_checksum(p);
     },
     errc::packet_truncated},
    {"total length below the header", tcp4,
     [](bytes& p)
     {
         store_be16(&p[2], 19);
         fix_checksum(p);
     },
     errc::packet_malformed},
    {"ipv4 checksum", tcp4, [](bytes& p) { p[8] ^= 1U; },
     errc::packet_checksum},
    {"first fragment", tcp4,
     [](bytes& p)
     {
         store_be16(&p[6], 0x2000);
         fix_checksum(p);
     },
     errc::packet_fragment},
    {"later fragment", tcp4,
     [](bytes& p)
     {
         store_be16(&p[6], 3);
         fix_checksum(p);
     },
     errc::packet_fragment},
    {"icmp", tcp4,
     [](bytes& p)
     {
         p[9] = 1;
         fix_checksum(p);
     },
     errc::packet_unsupported},
    {"tcp cut short", tcp4,
     [](bytes& p)
     {
         store_be16(&p[2], 39);
         fix_checksum(p);
     },
     errc::packet_truncated},
    {"tcp data offset 4", tcp4, [](bytes& p) { p[32] = 0x40; },
     errc::packet_malformed},
    {"tcp data offset past the end", tcp4, [](bytes& p) { p[32] = 0x60; },
     errc::packet_malformed},
    {"udp length 7", udp4, [](bytes& p) { store_be16(&p[24], 7); },
     errc::packet_malformed},
    {"udp length past the end", udp4, [](bytes& p) { store_be16(&p[24], 99); },
     errc::packet_malformed},
    {"short ipv6 header", tcp6, [](bytes& p) { p.resize(39); },
     errc::packet_truncated},
    {"ipv6 length past the end", tcp6, [](bytes& p) { store_be16(&p[4], 99); },
     errc::packet_truncated},
    {"ipv6 fragment", tcp6, [](bytes& p) { p[6] = 44; }, errc::packet_fragment},
    {"ipv6 hop-by-hop", tcp6, [](bytes& p) { p[6] = 0; },
     errc::packet_unsupported},
};

class ip_packet_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ip_packet_test);
    CPPUNIT_TEST(each_fault_gives_its_error_code);
    CPPUNIT_TEST(transport_checksum_detects_corruption);
    CPPUNIT_TEST(reset_sequence_numbers_follow_rfc_9293);
    CPPUNIT_TEST(icmp_error_quotes_the_packet);
    CPPUNIT_TEST(arbitrary_bytes_are_parsed_safely);
    CPPUNIT_TEST_SUITE_END();

public:
    void each_fault_gives_its_error_code()
    {
        for (const parse_case& f : parse_cases)
        {
            bytes packet = f.make();
            f.corrupt(packet);
            ip_packet_view view;
            const errc found =
                parse_ip_packet({packet.data(), packet.size()}, view);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(f.name,
                                         std::string(errc_name(f.expected)),
                                         std::string(errc_name(found)));
        }
    }

    void transport_checksum_detects_corruption()
    {
        for (const auto& make : {tcp4, tcp6, udp4})
        {
            bytes packet = make();
            ip_packet_view view;
            parse_ip_packet({packet.data(), packet.size()}, view);
            const const_byte_span whole(packet.data(), packet.size());
            CPPUNIT_ASSERT(transport_checksum_valid(whole, view));
            packet[view.transport_offset] ^= 1U;
            CPPUNIT_ASSERT(!transport_checksum_valid(whole, view));
        }
    }

    void reset_sequence_numbers_follow_rfc_9293()
    {
        const flow_key key =
            key_of("203.0.113.1", "198.51.100.1", transport::tcp);
        const ip_packet_view to_syn =
            reset_of(build_tcp_packet({key, 10, 0, tcp_flags::syn, {}}));
        CPPUNIT_ASSERT(to_syn.key == key.reversed());
        CPPUNIT_ASSERT_EQUAL(11U, to_syn.tcp_acknowledgment);
        CPPUNIT_ASSERT_EQUAL(0U, to_syn.tcp_sequence);
        const ip_packet_view to_ack =
            reset_of(build_tcp_packet({key, 10, 77, tcp_flags::ack, {}}));
        CPPUNIT_ASSERT_EQUAL(77U, to_ack.tcp_sequence);
        CPPUNIT_ASSERT_EQUAL(int{tcp_flags::rst}, int{to_ack.tcp_bits});
    }

    void icmp_error_quotes_the_packet()
    {
        const bytes packet = udp4();
        ip_packet_view view;
        parse_ip_packet({packet.data(), packet.size()}, view);
        const bytes error =
            build_icmp_error({packet.data(), packet.size()}, view,
                             icmp_reason::packet_too_big, 1400);
        CPPUNIT_ASSERT_EQUAL(3, int{error[20]});
        CPPUNIT_ASSERT_EQUAL(4, int{error[21]});
        CPPUNIT_ASSERT_EQUAL(1400, int{load_be16(&error[26])});
        CPPUNIT_ASSERT_EQUAL(
            std::uint16_t{0},
            internet_checksum({&error[20], error.size() - 20}));
        CPPUNIT_ASSERT(std::equal(packet.begin(), packet.begin() + 28,
                                  error.begin() + 28));
    }

    void arbitrary_bytes_are_parsed_safely()
    {
        CPPUNIT_ASSERT(rc::check(
            "offsets stay within the packet",
            [](std::vector<std::uint8_t> packet, bool v6)
            {
                if (!packet.empty())
                    packet[0] = v6 ? 0x60 : 0x45;
                ip_packet_view view;
                const errc found =
                    parse_ip_packet({packet.data(), packet.size()}, view);
                if (found != errc::ok)
                    return;
                RC_ASSERT(view.total_length <= packet.size());
                RC_ASSERT(view.payload_offset <= view.total_length);
            }));
    }

private:
    static ip_packet_view reset_of(const bytes& packet)
    {
        ip_packet_view view;
        parse_ip_packet({packet.data(), packet.size()}, view);
        const bytes reset =
            build_tcp_reset({packet.data(), packet.size()}, view);
        ip_packet_view out;
        CPPUNIT_ASSERT(parse_ip_packet({reset.data(), reset.size()}, out) ==
                       errc::ok);
        return out;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ip_packet_test);

} // namespace
