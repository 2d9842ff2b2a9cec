#include "briarfield/control/announcement.hpp"

#include "capnp_codec.hpp"
#include "capnp_fields.hpp"

#include <algorithm>
#include <cmath>
#include <openssl/crypto.h>
#include <openssl/hmac.h>

namespace briarfield
{

namespace
{

constexpr std::string_view state_names[] = {"starting", "serving", "draining",
                                            "stopped"};

constexpr std::size_t address_size = 16; // Bytes.
constexpr std::size_t name_limit = 253;  // Bytes.

} // namespace

std::string_view serving_state_name(serving_state state) noexcept
{
    return state_names[static_cast<std::size_t>(state)];
}

namespace
{

void write_address(const ip_address& address, capnp::Data::Builder out)
{
    std::copy(address.bytes().begin(), address.bytes().end(), out.begin());
}

capnp::Data::Reader data_of(const bucket_bitmap& bitmap)
{
    return kj::arrayPtr(bitmap.bytes().data(), bitmap.bytes().size());
}

bucket_bitmap bitmap_of(capnp::Data::Reader data)
{
    return bucket_bitmap(std::vector<std::uint8_t>(data.begin(), data.end()));
}

void write(wire::Announcement::Builder writer, const announcement& source)
{
    writer.setInstance(source.instance);
    writer.setZone(source.zone);
    writer.setRegion(source.region);
    writer.setTeam(source.team);
    writer.setService(source.service);
    write_address(source.overlay.address,
                  writer.initOverlayAddress(address_size));
    writer.setOverlayPort(source.overlay.port);
    writer.setIncarnation(source.incarnation);
    writer.setSequence(source.sequence);
    writer.setState(static_cast<wire::ServingState>(source.state));
    writer.setCapacity(source.capacity);
    writer.setInProgress(source.in_progress);
    writer.setOpenFlows(source.open_flows);
    writer.setMapVersion(source.applied_map.value);
    writer.setReleased(data_of(source.released));
}

void write(wire::ServiceGrant::Builder writer, const service_grant& grant)
{
    writer.setInstance(grant.instance);
    writer.setIncarnation(grant.incarnation);
    writer.setSequence(grant.sequence);
    writer.setService(grant.service);
    writer.setConfigVersion(grant.config_version);
    writer.setBucketCount(grant.bucket_count);
    writer.setMapVersion(grant.map.value);
    writer.setOwned(data_of(grant.owned));
    auto observers =
        writer.initObservers(static_cast<unsigned>(grant.observers.size()));
    for (unsigned i = 0; i < observers.size(); ++i)
        write_endpoint(observers[i], grant.observers[i]);
    auto list =
        writer.initAddresses(static_cast<unsigned>(grant.addresses.size()));
    for (unsigned i = 0; i < list.size(); ++i)
    {
        const service_address& address = grant.addresses[i];
        write_address(address.destination.address,
                      list[i].initAddress(address_size));
        list[i].setPort(address.destination.port);
        list[i].setProtocol(static_cast<std::uint8_t>(address.protocol));
    }
}

/// Whether \a text can be used in a log line, a metric label or an object name.
bool is_printable(capnp::Text::Reader text)
{
    return text.size() <= name_limit &&
           std::all_of(text.begin(), text.end(),
                       [](char c) { return c > ' ' && c <= '~'; });
}

bool is_amount(double value)
{
    return std::isfinite(value) && value >= 0;
}

bool is_valid(wire::Announcement::Reader reader)
{
    return reader.getOverlayAddress().size() == address_size &&
           reader.getInstance().size() != 0 &&
           is_printable(reader.getInstance()) &&
           is_printable(reader.getZone()) && is_printable(reader.getRegion()) &&
           is_printable(reader.getTeam()) &&
           is_printable(reader.getService()) &&
           reader.getState() <= wire::ServingState::STOPPED &&
           is_amount(reader.getCapacity()) && is_amount(reader.getInProgress());
}

bool is_valid(wire::ServiceAddress::Reader reader)
{
    const auto protocol = static_cast<transport>(reader.getProtocol());
    return reader.getAddress().size() == address_size &&
           (protocol == transport::tcp || protocol == transport::udp);
}

result<announcement> read(wire::Announcement::Reader reader)
{
    if (!is_valid(reader))
        return fail(errc::message_malformed, "invalid announcement");
    const auto address = reader.getOverlayAddress();
    announcement received;
    received.instance = reader.getInstance().cStr();
    received.zone = reader.getZone().cStr();
    received.region = reader.getRegion().cStr();
    received.team = reader.getTeam().cStr();
    received.service = reader.getService().cStr();
    received.overlay = {ip_address::from_v6(address.begin()),
                        reader.getOverlayPort()};
    received.incarnation = reader.getIncarnation();
    received.sequence = reader.getSequence();
    received.state = static_cast<serving_state>(reader.getState());
    received.capacity = reader.getCapacity();
    received.in_progress = reader.getInProgress();
    received.open_flows = reader.getOpenFlows();
    received.applied_map = {reader.getMapVersion()};
    received.released = bitmap_of(reader.getReleased());
    return received;
}

result<service_grant> read(wire::ServiceGrant::Reader reader)
{
    if (!is_printable(reader.getInstance()))
        return fail(errc::message_malformed, "invalid instance name in grant");
    service_grant grant;
    grant.instance = reader.getInstance().cStr();
    grant.incarnation = reader.getIncarnation();
    grant.sequence = reader.getSequence();
    grant.service = reader.getService();
    grant.config_version = reader.getConfigVersion();
    grant.bucket_count = reader.getBucketCount();
    grant.map = {reader.getMapVersion()};
    grant.owned = bitmap_of(reader.getOwned());
    for (const auto item : reader.getAddresses())
    {
        if (!is_valid(item))
            return fail(errc::message_malformed,
                        "invalid service address in grant");
        const auto address = item.getAddress();
        grant.addresses.push_back(
            {{ip_address::from_v6(address.begin()), item.getPort()},
             static_cast<transport>(item.getProtocol())});
    }
    for (const auto item : reader.getObservers())
    {
        auto observer = read_endpoint(item);
        if (!observer)
            return fail(observer.error().code, observer.error().detail);
        grant.observers.push_back(observer.value());
    }
    return grant;
}

void write(wire::PeerMessage::Builder writer, const peer_message& message)
{
    write_record(writer.initSender(), message.sender);
    writer.setSequence(message.sequence);
    writer.setRound(message.round);
    auto sections =
        writer.initSections(static_cast<unsigned>(message.sections.size()));
    for (unsigned i = 0; i < sections.size(); ++i)
    {
        const section_message& section = message.sections[i];
        sections[i].setName(section.name);
        sections[i].setHash(section.hash);
        sections[i].setDigest(data_reader(section.digest));
        sections[i].setDelta(data_reader(section.delta));
    }
}

result<peer_message> read(wire::PeerMessage::Reader reader)
{
    auto sender = read_record(reader.getSender());
    if (!sender)
        return fail(sender.error().code, sender.error().detail);
    peer_message message;
    message.sender = std::move(sender.value());
    message.sequence = reader.getSequence();
    message.round = reader.getRound();
    for (const auto item : reader.getSections())
        message.sections.push_back({item.getName(), item.getHash(),
                                    string_of(item.getDigest()),
                                    string_of(item.getDelta())});
    return message;
}

void write(wire::ObservationReport::Builder writer,
           const observation_report& report)
{
    using std::chrono::milliseconds;
    writer.setSender(report.sender);
    writer.setQuery(report.query);
    auto items = writer.initItems(static_cast<unsigned>(report.items.size()));
    for (unsigned i = 0; i < items.size(); ++i)
    {
        const observation& item = report.items[i];
        const auto time_since_heartbeat =
            std::chrono::duration_cast<milliseconds>(item.time_since_heartbeat);
        items[i].setInstance(item.instance);
        items[i].setIncarnation(item.incarnation);
        items[i].setSilence(
            static_cast<std::uint32_t>(time_since_heartbeat.count()));
    }
}

result<observation_report> read(wire::ObservationReport::Reader reader)
{
    observation_report report;
    report.sender = reader.getSender();
    report.query = reader.getQuery();
    for (const auto item : reader.getItems())
        report.items.push_back({item.getInstance(), item.getIncarnation(),
                                std::chrono::milliseconds(item.getSilence())});
    return report;
}

/// Reads one type of message and wraps it in the variant.
template <class Reader>
result<control_datagram> read_as_datagram(Reader reader)
{
    auto value = read(reader);
    if (!value)
        return fail(value.error().code, value.error().detail);
    return control_datagram(std::move(value.value()));
}

} // namespace

std::string encode_control_datagram(const control_datagram& datagram)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::ControlDatagram>();
    if (const auto* source = std::get_if<announcement>(&datagram))
        write(root.initAnnouncement(), *source);
    else if (const auto* grant = std::get_if<service_grant>(&datagram))
        write(root.initGrant(), *grant);
    else if (const auto* peer = std::get_if<peer_message>(&datagram))
        write(root.initPeer(), *peer);
    else
        write(root.initObservations(), std::get<observation_report>(datagram));
    return encode_message(message);
}

result<control_datagram> decode_control_datagram(std::string_view bytes)
{
    return decode_message<wire::ControlDatagram, control_datagram>(
        bytes,
        [](wire::ControlDatagram::Reader reader) -> result<control_datagram>
        {
            if (reader.isAnnouncement())
                return read_as_datagram(reader.getAnnouncement());
            if (reader.isGrant())
                return read_as_datagram(reader.getGrant());
            if (reader.isPeer())
                return read_as_datagram(reader.getPeer());
            if (reader.isObservations())
                return read_as_datagram(reader.getObservations());
            return fail(errc::message_malformed,
                        "unknown type of control datagram");
        });
}

std::string message_authenticator::tag(const std::string& key,
                                       std::string_view body)
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char*>(body.data()), body.size(),
         digest, &size);
    return {reinterpret_cast<const char*>(digest), tag_size};
}

std::string message_authenticator::seal(std::string_view body) const
{
    return std::string(body) + tag(key_, body);
}

result<std::string_view>
message_authenticator::open(std::string_view sealed) const
{
    if (sealed.size() < tag_size)
        return fail(errc::packet_truncated, "control message");
    const std::string_view body = sealed.substr(0, sealed.size() - tag_size);
    const std::string_view received = sealed.substr(body.size());
    const auto matches = [&](const std::string& key)
    {
        const std::string expected = tag(key, body);
        return CRYPTO_memcmp(expected.data(), received.data(), tag_size) == 0;
    };
    if (matches(key_) || (other_key_ && matches(*other_key_)))
        return body;
    return fail(errc::header_mac, "control message");
}

} // namespace briarfield
