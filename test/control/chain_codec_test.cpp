#include "control/chain_codec.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace
{

using namespace briarfield;

constexpr std::size_t targets = 300;

std::vector<bucket_owners> generate_buckets()
{
    std::vector<bucket_owners> buckets(std::size_t{1}
                                       << *rc::gen::inRange(0, 11));
    const auto target_limit = *rc::gen::inRange<std::uint16_t>(1, targets);
    for (bucket_owners& owners : buckets)
    {
        owners.length = *rc::gen::inRange<std::uint8_t>(0, 5);
        for (std::size_t i = 0; i < owners.length; ++i)
            owners.target[i] =
                *rc::gen::inRange<std::uint16_t>(0, target_limit);
    }
    return buckets;
}

result<void> decode(const std::string& bytes,
                    std::vector<bucket_owners>& buckets)
{
    return decode_chains(
        {reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()},
        targets, buckets);
}

class chain_codec_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(chain_codec_test);
    CPPUNIT_TEST(decoding_restores_encoded_chains);
    CPPUNIT_TEST(arbitrary_bytes_give_only_valid_targets);
    CPPUNIT_TEST(truncated_or_extended_bytes_are_rejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void decoding_restores_encoded_chains()
    {
        CPPUNIT_ASSERT(
            rc::check("decoding gives what was encoded",
                      []
                      {
                          const auto buckets = generate_buckets();
                          std::vector<bucket_owners> read;
                          RC_ASSERT(bool(decode(encode_chains(buckets), read)));
                          RC_ASSERT(read == buckets);
                      }));
    }

    void arbitrary_bytes_give_only_valid_targets()
    {
        CPPUNIT_ASSERT(rc::check("targets stay within the map",
                                 [](const std::string& bytes)
                                 {
                                     std::vector<bucket_owners> read;
                                     if (!decode(bytes, read))
                                         return;
                                     for (const bucket_owners& o : read)
                                         for (std::size_t i = 0; i < o.length;
                                              ++i)
                                             RC_ASSERT(o.target[i] < targets);
                                 }));
    }

    void truncated_or_extended_bytes_are_rejected()
    {
        std::vector<bucket_owners> buckets(256);
        for (std::size_t b = 0; b < buckets.size(); ++b)
            buckets[b] = {{static_cast<std::uint16_t>(b % 7)}, 1};
        const std::string whole = encode_chains(buckets);
        for (std::size_t size = 0; size < whole.size(); ++size)
        {
            std::vector<bucket_owners> read;
            CPPUNIT_ASSERT(!decode(whole.substr(0, size), read));
        }
        std::vector<bucket_owners> read;
        CPPUNIT_ASSERT(!decode(whole + "x", read));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(chain_codec_test);

} // namespace
