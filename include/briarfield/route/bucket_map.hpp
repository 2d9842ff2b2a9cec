#ifndef BRIARFIELD_ROUTE_BUCKET_MAP_HPP
#define BRIARFIELD_ROUTE_BUCKET_MAP_HPP

#include "briarfield/core/endpoint.hpp"
#include "briarfield/packet/overlay_header.hpp"

#include <array>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

namespace briarfield
{

/// \brief Identity of a service: a hash of "team/name".
using service_id = std::uint64_t;

/// \brief Identity of an agent's instance: a hash of its name.
using instance_id = std::uint64_t;

/// \brief Identity of a service from its team and name.
service_id make_service_id(std::string_view team, std::string_view name);

/// \brief Identity of an instance from its name.
instance_id make_instance_id(std::string_view name);

/// \brief Version of a bucket map: a counter, then the author's tie-breaker.
///
/// Versions of one service are totally ordered. Versions that two authors
/// derive from the same version differ in the low bits.
struct map_version
{
    static constexpr unsigned author_bits = 20;

    std::uint64_t value = 0;

    /// \brief Next version after this one by \a author.
    map_version next(instance_id author) const
    {
        const std::uint64_t counter = (value >> author_bits) + 1;
        const std::uint64_t mask = (std::uint64_t{1} << author_bits) - 1;
        return {(counter << author_bits) | (author & mask)};
    }

    friend bool operator==(map_version a, map_version b)
    {
        return a.value == b.value;
    }
    friend bool operator!=(map_version a, map_version b) { return !(a == b); }
    friend bool operator<(map_version a, map_version b)
    {
        return a.value < b.value;
    }
};

/// \brief Set of buckets, one bit each; bucket 0 is bit 0 of byte 0.
class bucket_bitmap
{
public:
    bucket_bitmap() = default;
    explicit bucket_bitmap(std::size_t buckets) : bytes_((buckets + 7) / 8) {}
    explicit bucket_bitmap(std::vector<std::uint8_t> bytes)
        : bytes_(std::move(bytes))
    {
    }

    void set(std::size_t bucket)
    {
        bytes_[bucket / 8] |= static_cast<std::uint8_t>(1U << bucket % 8);
    }

    /// \brief Whether \a bucket is in the set; false past the end.
    bool test(std::size_t bucket) const
    {
        return bucket / 8 < bytes_.size() &&
               (bytes_[bucket / 8] >> bucket % 8 & 1U) != 0;
    }

    const std::vector<std::uint8_t>& bytes() const { return bytes_; }

    friend bool operator==(const bucket_bitmap& a, const bucket_bitmap& b)
    {
        return a.bytes_ == b.bytes_;
    }

private:
    std::vector<std::uint8_t> bytes_;
};

/// \brief A backend server in a bucket map.
struct map_target
{
    instance_id instance = 0;
    endpoint agent; ///< Overlay address of its agent.
};

/// \brief Owners of a bucket as positions in bucket_map::targets.
///
/// The current owner comes first, followed by earlier owners that may still
/// have flows in the bucket, most recent first.
struct bucket_owners
{
    std::array<std::uint16_t, max_chain_length> target{};
    std::uint8_t length = 0;

    friend bool operator==(const bucket_owners& a, const bucket_owners& b)
    {
        if (a.length != b.length)
            return false;
        for (std::size_t i = 0; i < a.length; ++i)
            if (a.target[i] != b.target[i])
                return false;
        return true;
    }
};

/// \brief Assignment of the buckets of a service to its backend servers.
///
/// A value type. The number of buckets is a power of two and never changes
/// while a service exists, since agents count flows by bucket.
struct bucket_map
{
    service_id service = 0;
    map_version version;
    std::vector<map_target> targets;
    std::vector<bucket_owners> buckets; ///< Empty, or a power of two.

    bool empty() const { return buckets.empty() || targets.empty(); }
};

} // namespace briarfield

#endif
