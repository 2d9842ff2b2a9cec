#ifndef BRIARFIELD_CONTROL_ANNOUNCEMENT_HPP
#define BRIARFIELD_CONTROL_ANNOUNCEMENT_HPP

#include "briarfield/control/membership.hpp"
#include "briarfield/core/byte_span.hpp"
#include "briarfield/core/endpoint.hpp"
#include "briarfield/core/error.hpp"
#include "briarfield/route/service_table.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace briarfield
{

/// \brief Serving state of a backend server.
enum class serving_state : std::uint8_t
{
    starting, ///< Not ready for flows.
    serving,
    draining, ///< Accepts no new flows; existing ones are completed.
    stopped,  ///< Final state of an incarnation.
    count_
};

/// \brief Name of \a state in metrics and status.
std::string_view serving_state_name(serving_state state) noexcept;

/// \brief Sent by an agent to announce itself and its backend server.
struct announcement
{
    std::string instance;
    std::string zone;
    std::string region;
    std::string team;
    std::string service;
    endpoint overlay;              ///< Address for overlay datagrams.
    std::uint64_t incarnation = 0; ///< Increases with each start.
    std::uint64_t sequence = 0;    ///< Increases with each announcement.
    serving_state state = serving_state::starting;
    double capacity = 0;    ///< Requests per second it can serve; 0: unknown.
    double in_progress = 0; ///< Requests per second that arrive.
    std::uint32_t open_flows = 0;
    map_version applied_map; ///< Newest bucket map that the agent has applied.
    /// Buckets handed over in applied_map that have no flows left.
    bucket_bitmap released;
};

/// \brief Reply of a balancer to an announcement.
struct service_grant
{
    std::string instance;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< Sequence of the answered announcement.
    service_id service = 0;
    std::uint64_t config_version = 0;
    std::uint32_t bucket_count = 0;
    std::vector<service_address> addresses; ///< To serve; may be empty.
    map_version map;     ///< Zero if not newer than the map the agent has.
    bucket_bitmap owned; ///< Buckets that this instance owns in \ref map.
    std::vector<endpoint> observers; ///< Balancers to send announcements to.
};

/// \brief Part of a \ref peer_message that belongs to one section.
struct section_message
{
    std::string name;
    std::uint64_t hash = 0; ///< Hash of the sender's digest.
    std::string digest;     ///< Empty if not needed.
    std::string delta;      ///< Empty if the sender has nothing newer.
};

/// \brief Message between balancers; also a heartbeat of its sender.
struct peer_message
{
    balancer_record sender;
    /// Increases with each message to any balancer.
    std::uint64_t sequence = 0;
    std::vector<section_message> sections;
    std::uint8_t round = 0; ///< Round of the exchange; 0 is a hello message.
};

/// \brief Time since a balancer last received an announcement of an agent.
struct observation
{
    instance_id instance = 0;
    std::uint64_t incarnation = 0;
    duration time_since_heartbeat{0};
};

/// \brief Queries or reports observations of agents.
struct observation_report
{
    instance_id sender = 0;
    bool query = false; ///< Queries the receiver's observations of the items.
    std::vector<observation> items;
};

/// \brief Payload of a control datagram.
using control_datagram =
    std::variant<announcement, service_grant, peer_message, observation_report>;

/// \brief Encodes \a datagram as one Cap'n Proto message.
std::string encode_control_datagram(const control_datagram& datagram);

/// \brief Decodes a message of \ref encode_control_datagram.
///
/// Errors: errc::message_malformed, errc::message_too_large.
result<control_datagram> decode_control_datagram(std::string_view bytes);

/// \brief Authenticates control datagrams by HMAC-SHA-256, truncated to 16
/// bytes.
class message_authenticator
{
public:
    static constexpr std::size_t tag_size = 16; // Bytes.

    explicit message_authenticator(std::string key) : key_(std::move(key)) {}

    /// \brief Also accepts messages authenticated with \a key, during a key
    /// rotation.
    void set_other_key(std::string key) { other_key_ = std::move(key); }

    /// \brief Returns \a body followed by its authentication tag.
    std::string seal(std::string_view body) const;

    /// \brief Verifies a sealed message and returns its body.
    ///
    /// Errors: errc::header_mac, errc::packet_truncated.
    result<std::string_view> open(std::string_view sealed) const;

private:
    static std::string tag(const std::string& key, std::string_view body);

    std::string key_;
    std::optional<std::string> other_key_;
};

} // namespace briarfield

#endif
