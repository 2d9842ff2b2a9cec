#include "briarfield/packet/overlay_header.hpp"

#include "briarfield/core/byte_order.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <numeric>
#include <openssl/evp.h>
#include <rapidcheck.h>
#include <vector>

namespace
{

using namespace briarfield;

overlay_header sample_header()
{
    overlay_header h;
    h.flags = overlay_flags::searched;
    h.bucket = 77;
    h.service_id = 0x1122334455667788ULL;
    h.map_version = 99;
    h.chain_length = 2;
    h.chain[0] = {ip_address::parse("192.0.2.1").value(), 7001};
    h.chain[1] = {ip_address::parse("192.0.2.2").value(), 7002};
    return h;
}

/// A signed datagram that carries a packet of \a size bytes.
class signed_datagram
{
public:
    signed_datagram(const overlay_header& header,
                    std::size_t size,
                    const overlay_keyring& keys)
        : bytes_(overlay_max_size + size, 'x')
    {
        datagram_ = encode_overlay(
            header, {bytes_.data() + overlay_max_size, size}, keys);
    }

    byte_span span() const { return datagram_; }

private:
    std::vector<std::uint8_t> bytes_;
    byte_span datagram_;
};

class overlay_header_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(overlay_header_test);
    CPPUNIT_TEST(header_round_trips);
    CPPUNIT_TEST(changed_byte_is_rejected);
    CPPUNIT_TEST(truncated_datagram_is_rejected);
    CPPUNIT_TEST(keys_rotate);
    CPPUNIT_TEST(batch_and_single_macs_agree);
    CPPUNIT_TEST(arbitrary_bytes_are_parsed_safely);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        keys_ = {};
        keys_.set_signing_key(1, overlay_keyring::key_type{1});
    }

    void header_round_trips()
    {
        for (const char* address : {"192.0.2.9", "2001:db8::9"})
        {
            overlay_header h = sample_header();
            h.chain[1].address = ip_address::parse(address).value();
            h.traced = true;
            h.trace.span_id[3] = 4;
            const signed_datagram d(h, 100, keys_);
            overlay_header read;
            byte_span packet;
            CPPUNIT_ASSERT(decode(d.span(), read, packet) == errc::ok);
            CPPUNIT_ASSERT_EQUAL(std::size_t{100}, packet.size());
            CPPUNIT_ASSERT_EQUAL(h.service_id, read.service_id);
            CPPUNIT_ASSERT_EQUAL(h.map_version, read.map_version);
            CPPUNIT_ASSERT_EQUAL(h.bucket, read.bucket);
            CPPUNIT_ASSERT_EQUAL(h.flags, read.flags);
            CPPUNIT_ASSERT(h.chain[1] == read.chain[1]);
            CPPUNIT_ASSERT(h.trace.span_id == read.trace.span_id);
        }
    }

    void changed_byte_is_rejected()
    {
        const signed_datagram d(sample_header(), 100, keys_);
        const std::size_t header = d.span().size() - 100;
        for (std::size_t i = 0; i < header + overlay_mac_payload; ++i)
        {
            d.span()[i] ^= 0x10U;
            CPPUNIT_ASSERT(decode(d.span()) != errc::ok);
            d.span()[i] ^= 0x10U;
        }
        CPPUNIT_ASSERT(decode(d.span()) == errc::ok);
    }

    void truncated_datagram_is_rejected()
    {
        const signed_datagram d(sample_header(), 100, keys_);
        for (std::size_t size = 0; size < d.span().size(); ++size)
            CPPUNIT_ASSERT(decode(d.span().take_front(size)) != errc::ok);
    }

    void keys_rotate()
    {
        const signed_datagram old_datagram(sample_header(), 50, keys_);
        overlay_keyring next;
        next.set_signing_key(2, overlay_keyring::key_type{2});
        const signed_datagram new_datagram(sample_header(), 50, next);
        CPPUNIT_ASSERT(decode(new_datagram.span()) == errc::header_key_unknown);
        keys_.set_other_key(2, overlay_keyring::key_type{2});
        CPPUNIT_ASSERT(decode(new_datagram.span()) == errc::ok);
        keys_ = next;
        keys_.set_other_key(1, overlay_keyring::key_type{1});
        CPPUNIT_ASSERT(decode(old_datagram.span()) == errc::ok);
        keys_.clear_other_key();
        CPPUNIT_ASSERT(decode(old_datagram.span()) == errc::header_key_unknown);
        keys_.set_other_key(1, overlay_keyring::key_type{3});
        CPPUNIT_ASSERT(decode(old_datagram.span()) == errc::header_mac);
    }

    void batch_and_single_macs_agree()
    {
        std::vector<std::uint8_t> bytes(overlay_max_covered);
        std::iota(bytes.begin(), bytes.end(), std::uint8_t{0});
        std::vector<overlay_mac_input> inputs;
        for (std::size_t size = 0; size <= bytes.size(); ++size)
            inputs.push_back({{bytes.data(), size},
                              static_cast<std::uint32_t>(1000 + size)});
        std::vector<overlay_mac> many(inputs.size());
        CPPUNIT_ASSERT(
            keys_.authenticate(1, inputs.data(), many.data(), many.size()));
        for (std::size_t i = 0; i < inputs.size(); ++i)
        {
            overlay_mac one;
            CPPUNIT_ASSERT(keys_.authenticate(1, &inputs[i], &one, 1));
            CPPUNIT_ASSERT(one == many[i]);
            CPPUNIT_ASSERT(one == library_cmac(inputs[i]));
        }
        CPPUNIT_ASSERT(!keys_.authenticate(9, inputs.data(), many.data(), 3));
    }

    void arbitrary_bytes_are_parsed_safely()
    {
        CPPUNIT_ASSERT(rc::check(
            "arbitrary bytes are never a valid datagram",
            [this](std::vector<std::uint8_t> bytes)
            {
                if (!bytes.empty())
                    bytes[0] = overlay_version;
                RC_ASSERT(decode({bytes.data(), bytes.size()}) != errc::ok);
            }));
    }

private:
    /// AES-CMAC computed by OpenSSL over the length block and the covered
    /// bytes.
    static overlay_mac library_cmac(const overlay_mac_input& input)
    {
        std::vector<std::uint8_t> message(16);
        store_be32(message.data(), input.datagram_size);
        message.insert(message.end(), input.covered.begin(),
                       input.covered.end());
        const overlay_keyring::key_type key{1};
        std::size_t written = 0;
        overlay_mac mac;
        EVP_Q_mac(nullptr, "CMAC", nullptr, "AES-128-CBC", nullptr, key.data(),
                  key.size(), message.data(), message.size(), mac.data(),
                  mac.size(), &written);
        CPPUNIT_ASSERT_EQUAL(mac.size(), written);
        return mac;
    }

    errc decode(byte_span datagram) const
    {
        overlay_header header;
        byte_span packet;
        return decode(datagram, header, packet);
    }

    errc
    decode(byte_span datagram, overlay_header& header, byte_span& packet) const
    {
        return decode_overlay(datagram, keys_, header, packet);
    }

    overlay_keyring keys_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(overlay_header_test);

} // namespace
