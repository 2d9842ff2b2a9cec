#include "app/runtime_service.hpp"

#include "support/temporary_directory.hpp"

#include <array>
#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace briarfield;
using namespace briarfield::app;

const std::string hex_a = std::string(64, 'a');
const std::string hex_b = std::string(64, 'b');

class reload_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(reload_test);
    CPPUNIT_TEST(overlay_key_is_rotated_by_files);
    CPPUNIT_TEST(control_key_is_rotated_by_files);
    CPPUNIT_TEST(any_error_rejects_the_whole_reload);
    CPPUNIT_TEST(overlay_key_cannot_change_while_it_keys_the_flow_hash);
    CPPUNIT_TEST(equal_key_ids_are_rejected);
    CPPUNIT_TEST_SUITE_END();

    temporary_directory directory_;

    void write_settings(const std::string& more) const
    {
        const std::string overlay = directory_.write("overlay", "1 " + hex_a);
        const std::string control = directory_.write("control", "1 " + hex_a);
        directory_.write("b.ini",
                         "[instance]\nname = b\nzone = a\nregion = r\n"
                         "[store]\naddress = 127.0.0.1:1\n"
                         "[balancer]\nfabric = 127.0.0.1:2\n"
                         "overlay = 127.0.0.1:3\ncontrol = 127.0.0.1:4\n"
                         "[http]\naddress = 127.0.0.1:5\n"
                         "[keys]\noverlay = " +
                             overlay + "\ncontrol = " + control + "\n" + more);
    }

    runtime_service* start(kernel& k)
    {
        auto s =
            load_settings(directory_.path() + "/b.ini", daemon_role::balancer);
        CPPUNIT_ASSERT(s.has_value());
        CPPUNIT_ASSERT(
            k.add(std::make_unique<runtime_service>(s.value())).has_value());
        CPPUNIT_ASSERT(k.start().has_value());
        return k.find<runtime_service>(runtime_service::service_name);
    }

    /// Whether \a receiver accepts a header signed by \a sender.
    static bool accepts(const overlay_keyring& receiver,
                        const overlay_keyring& sender)
    {
        std::array<std::uint8_t, overlay_max_size> buffer{};
        overlay_header header;
        header.chain_length = 1;
        const byte_span datagram =
            encode_overlay(header, {buffer.data() + buffer.size(), 0}, sender);
        byte_span packet;
        return decode_overlay(datagram, receiver, header, packet) == errc::ok;
    }

    std::string flow_hash_line() const
    {
        return "flow_hash = " + directory_.write("hash", "1 " + hex_a) + "\n";
    }

public:
    void overlay_key_is_rotated_by_files()
    {
        write_settings(flow_hash_line());
        kernel k;
        runtime_service* r = start(k);
        const std::uint8_t first_secret = *r->flow_secret().data();
        const overlay_keyring before = r->keys();
        bool notified = false;
        r->on_reload([&notified] { notified = true; });
        const std::string other = directory_.write("other", "1 " + hex_a);
        write_settings(flow_hash_line() + "overlay_other = " + other + "\n");
        directory_.write("overlay", "2 " + hex_b);
        r->reload();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, r->reloads());
        CPPUNIT_ASSERT(notified);
        CPPUNIT_ASSERT_EQUAL(2, int{r->keys().signing_id()});
        CPPUNIT_ASSERT(accepts(r->keys(), before));
        CPPUNIT_ASSERT_EQUAL(first_secret, *r->flow_secret().data());
    }

    void control_key_is_rotated_by_files()
    {
        write_settings("");
        kernel k;
        runtime_service* r = start(k);
        const std::string before = r->authenticator().seal("body");
        const std::string other = directory_.write("other", "1 " + hex_a);
        write_settings("control_other = " + other + "\n");
        directory_.write("control", "2 " + hex_b);
        r->reload();
        CPPUNIT_ASSERT(r->authenticator().seal("body") != before);
        CPPUNIT_ASSERT(r->authenticator().open(before).has_value());
        write_settings("");
        directory_.write("control", "2 " + hex_b);
        r->reload();
        CPPUNIT_ASSERT(r->authenticator().open(before).has_error());
    }

    void any_error_rejects_the_whole_reload()
    {
        write_settings(flow_hash_line());
        kernel k;
        runtime_service* r = start(k);
        write_settings(flow_hash_line() + "[log]\nlevel = debug\n");
        directory_.write("overlay", "2 " + hex_b);
        directory_.set_mode("control", 0644);
        r->reload();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, r->reloads_refused());
        CPPUNIT_ASSERT_EQUAL(1, int{r->keys().signing_id()});
        CPPUNIT_ASSERT_EQUAL(std::string("info"), r->config().log_level);
    }

    void overlay_key_cannot_change_while_it_keys_the_flow_hash()
    {
        write_settings("");
        kernel k;
        runtime_service* r = start(k);
        directory_.write("overlay", "2 " + hex_b);
        r->reload();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, r->reloads_refused());
        CPPUNIT_ASSERT_EQUAL(1, int{r->keys().signing_id()});
    }

    void equal_key_ids_are_rejected()
    {
        write_settings(flow_hash_line());
        kernel k;
        runtime_service* r = start(k);
        const std::string other = directory_.write("other", "1 " + hex_b);
        write_settings(flow_hash_line() + "overlay_other = " + other + "\n");
        r->reload();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, r->reloads_refused());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(reload_test);

} // namespace
