#include "packet_header.hpp"

#include <array>
#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace briarfield;
using namespace briarfield::platform;

/// SYN from 100.64.0.7:40001 to 198.18.0.1:443, seq 0x11223344: the example of
/// the platform's protocol specification.
std::array<std::uint8_t, 36> opening_example()
{
    return {0x00, 0x00, 0x00, 0x00, 0x44, 0x33, 0x22, 0x11, 0x00,
            0x00, 0x00, 0x00, 0xbb, 0x01, 0x01, 0x00, 0x12, 0xc6,
            0x07, 0x00, 0x40, 0x64, 0x41, 0x9c, 0x00, 0x00, 0x80,
            0x00, 0x00, 0x00, 0x00, 0x00, 0xd5, 0xc3, 0xb2, 0xa1};
}

/// The specification's example of a reset that the load balancer sends for the
/// same flow.
std::vector<std::uint8_t> reset_example()
{
    return {0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
            0x00, 0x00, 0x00, 0x41, 0x9c, 0x07, 0x00, 0x40, 0x64,
            0x01, 0x00, 0x12, 0xc6, 0xbb, 0x01, 0x00, 0x00, 0x10,
            0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00};
}

constexpr std::size_t flags_offset = 26;
constexpr std::size_t len_offset = 24;

class packet_header_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(packet_header_test);
    CPPUNIT_TEST(opening_is_read);
    CPPUNIT_TEST(reset_is_built);
    CPPUNIT_TEST(kinds_follow_the_flags);
    CPPUNIT_TEST(retransmissions_are_counted);
    CPPUNIT_TEST(server_s_answer_has_the_caller_s_flow_key);
    CPPUNIT_TEST(returned_packet_has_the_caller_s_flow_key);
    CPPUNIT_TEST(cleared_marks_restore_the_packet);
    CPPUNIT_TEST(wrong_lengths_are_rejected);
    CPPUNIT_TEST_SUITE_END();

    packet_codec codec_ = make_packet_codec();

    template <class Bytes>
    static byte_span span(Bytes& bytes)
    {
        return {bytes.data(), bytes.size()};
    }

    flow_packet read(std::array<std::uint8_t, 36> bytes)
    {
        const auto p = codec_.decode_caller(span(bytes));
        CPPUNIT_ASSERT(p);
        return p.value();
    }

    void opening_is_read()
    {
        const flow_packet p = read(opening_example());
        CPPUNIT_ASSERT(p.kind == packet_kind::opening);
        CPPUNIT_ASSERT_EQUAL(std::string("100.64.0.7"),
                             p.key.source.to_string());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t(40001), p.key.source_port);
        CPPUNIT_ASSERT_EQUAL(std::string("198.18.0.1"),
                             p.key.destination.to_string());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t(443), p.key.destination_port);
        CPPUNIT_ASSERT_EQUAL(0U, p.retransmission_count);
        CPPUNIT_ASSERT(!p.accepts && !p.returned);
    }

    void reset_is_built()
    {
        const flow_packet p = read(opening_example());
        CPPUNIT_ASSERT(codec_.build_reset(p.key, 0) == reset_example());
    }

    void kinds_follow_the_flags()
    {
        const std::pair<int, packet_kind> cases[] = {
            {128, packet_kind::opening},    {2, packet_kind::segment},
            {64 | 2, packet_kind::closing}, {16, packet_kind::reset},
            {16 | 2, packet_kind::reset},   {0, packet_kind::segment}};
        for (const auto& [flags, kind] : cases)
        {
            auto bytes = opening_example();
            bytes[flags_offset] = static_cast<std::uint8_t>(flags);
            CPPUNIT_ASSERT(read(bytes).kind == kind);
        }
    }

    void retransmissions_are_counted()
    {
        auto bytes = opening_example();
        bytes[8] = 2;
        CPPUNIT_ASSERT_EQUAL(2U, read(bytes).retransmission_count);
    }

    void server_s_answer_has_the_caller_s_flow_key()
    {
        auto bytes = opening_example();
        bytes[flags_offset] = 128 | 2;
        const auto p = codec_.decode_server(span(bytes));
        CPPUNIT_ASSERT(p && p.value().accepts);
        CPPUNIT_ASSERT_EQUAL(std::string("198.18.0.1"),
                             p.value().key.source.to_string());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t(443), p.value().key.source_port);
    }

    void returned_packet_has_the_caller_s_flow_key()
    {
        auto bytes = opening_example();
        bytes[flags_offset] = 128 | 1;
        const auto p = codec_.decode_server(span(bytes));
        CPPUNIT_ASSERT(p && p.value().returned);
        CPPUNIT_ASSERT(p.value().kind == packet_kind::opening);
        CPPUNIT_ASSERT(p.value().key == read(opening_example()).key);
    }

    void cleared_marks_restore_the_packet()
    {
        auto bytes = opening_example();
        codec_.put_tag(span(bytes), 0xdeadbeef);
        CPPUNIT_ASSERT_EQUAL(0xdeadbeefU, codec_.tag(span(bytes)));
        bytes[flags_offset] |= 1;
        bytes[29] = 7;
        codec_.clear_marks(span(bytes));
        CPPUNIT_ASSERT(bytes == opening_example());
    }

    void wrong_lengths_are_rejected()
    {
        auto bytes = opening_example();
        CPPUNIT_ASSERT(!codec_.decode_caller(span(bytes).take_front(35)));
        bytes[len_offset] = 1; // Exceeds the actual payload by one byte.
        CPPUNIT_ASSERT(!codec_.decode_caller(span(bytes)));
        std::vector<std::uint8_t> large(36 + 1201);
        std::copy(bytes.begin(), bytes.end(), large.begin());
        large[len_offset] = 1201 & 0xff;
        large[len_offset + 1] = 1201 >> 8;
        CPPUNIT_ASSERT(!codec_.decode_caller(span(large)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(packet_header_test);

} // namespace
