#ifndef BRIARFIELD_CONTROL_SYNC_SECTION_HPP
#define BRIARFIELD_CONTROL_SYNC_SECTION_HPP

#include "briarfield/core/error.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace briarfield
{

/// \brief State that balancers synchronize by exchanging digests and deltas.
///
/// Implemented by the configuration, the membership and the bucket maps. The
/// peer exchange carries the bytes without interpreting them. Merging must be
/// idempotent and commutative and must never replace an item by an older
/// version.
class sync_section
{
public:
    virtual ~sync_section() = default;

    /// \brief Name of the section on the wire.
    virtual std::string_view name() const = 0;

    /// \brief Short digest of the local items and their versions.
    virtual std::string digest() const = 0;

    /// \brief Finer digest of the parts that differ from \a peer_digest.
    ///
    /// Finds the few items that differ in a section of many. \a peer_digest is
    /// the result of \ref digest or \ref detail of the peer.
    ///
    /// \param limit Approximate maximum size in bytes.
    virtual std::string detail(std::string_view peer_digest,
                               std::size_t limit) const
    {
        (void)peer_digest;
        (void)limit;
        return digest();
    }

    /// \brief Local items that are newer than in \a peer_digest.
    ///
    /// If \a peer_digest is empty, all items.
    ///
    /// \param limit Maximum size in bytes; the remaining items follow in later
    /// exchanges.
    virtual std::string delta(std::string_view peer_digest,
                              std::size_t limit) const = 0;

    /// \brief Merges the items of \a delta that are newer than the local ones.
    ///
    /// Errors: errc::message_malformed; then no item is merged.
    virtual result<void> merge(std::string_view delta) = 0;
};

} // namespace briarfield

#endif
