#ifndef BRIARFIELD_SRC_CONTROL_CONFIG_CODEC_HPP
#define BRIARFIELD_SRC_CONTROL_CONFIG_CODEC_HPP

#include "briarfield/control/object_store.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Encoding of the configuration digests and deltas that balancers exchange.
/// The format is CBOR, written by the JSON library, since objects are JSON.
namespace briarfield::config_codec
{

/// Versions and content hash of the objects of a kind on one instance.
/// \sa config_follower
struct kind_digest
{
    object_kind kind = object_kind::team;
    std::uint64_t seen_version = 0;
    bool complete = false;
    std::uint64_t purged_version = 0;
    std::uint64_t hash = 0;
};

/// An object or a tombstone in a delta.
struct item
{
    stored_object latest;
    bool deleted = false;
    std::uint64_t changed_version = 0;
    std::optional<stored_object> accepted; ///< Version in force if it is older.
};

/// Changes of a kind that a peer has not received.
struct kind_delta
{
    object_kind kind = object_kind::team;
    std::uint64_t from = 0;         ///< Changes after this version ...
    std::uint64_t seen_version = 0; ///< ... up to this one are included.
    bool complete = false;
    std::uint64_t purged_version = 0;
    std::vector<item> items;
};

/// FNV-1a (Fowler, Noll, Vo), 64 bits; independent of the platform.
std::uint64_t hash(std::string_view text);

/// Encoded size of an item in bytes.
std::size_t encoded_size(const item& object);

std::string encode(const std::vector<kind_digest>& rows);
std::string encode(const std::vector<kind_delta>& parts);

/// Errors of both: errc::message_malformed.
result<std::vector<kind_digest>> decode_digest(std::string_view bytes);
result<std::vector<kind_delta>> decode_delta(std::string_view bytes);

} // namespace briarfield::config_codec

#endif
