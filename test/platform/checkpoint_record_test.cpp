#include "checkpoint_record.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace
{

using namespace briarfield;
using namespace briarfield::platform;

class checkpoint_record_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(checkpoint_record_test);
    CPPUNIT_TEST(checkpoint_is_read_as_written);
    CPPUNIT_TEST(malformed_records_yield_no_probes);
    CPPUNIT_TEST_SUITE_END();

    static std::vector<std::uint8_t> bytes_of(const short_packet& p)
    {
        return {p.span().begin(), p.span().end()};
    }

    void checkpoint_is_read_as_written()
    {
        CPPUNIT_ASSERT(rc::check(
            "a checkpoint is read as it was written",
            []
            {
                flow_checkpoint::probes all;
                const auto count = *rc::gen::inRange(0, 20);
                for (int i = 0; i < count; ++i)
                {
                    const auto size = static_cast<std::size_t>(
                        *rc::gen::inRange(1, 1 + int(short_packet::capacity)));
                    const auto bytes =
                        *rc::gen::container<std::vector<std::uint8_t>>(
                            size, rc::gen::arbitrary<std::uint8_t>());
                    all.emplace_back(
                        const_byte_span(bytes.data(), bytes.size()));
                }
                const auto read = read_checkpoint(write_checkpoint(all));
                RC_ASSERT(read.size() == all.size());
                for (std::size_t i = 0; i < all.size(); ++i)
                    RC_ASSERT(bytes_of(read[i]) == bytes_of(all[i]));
            }));
    }

    void malformed_records_yield_no_probes()
    {
        for (const char* text :
             {"null", "[]", "{}", R"({"Packets":7})", R"({"Packets":[1,null]})",
              R"({"Packets":["","=","====","a","!!!!"]})"})
            CPPUNIT_ASSERT(
                read_checkpoint(nlohmann::json::parse(text)).empty());
        const std::string long_text(4096, 'A');
        CPPUNIT_ASSERT(
            read_checkpoint(nlohmann::json{{"Packets", {long_text}}}).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(checkpoint_record_test);

} // namespace
