#ifndef BRIARFIELD_SRC_CONTROL_CHAIN_CODEC_HPP
#define BRIARFIELD_SRC_CONTROL_CHAIN_CODEC_HPP

#include "briarfield/core/byte_span.hpp"
#include "briarfield/core/error.hpp"
#include "briarfield/route/bucket_map.hpp"

#include <string>
#include <vector>

namespace briarfield
{

/// Encodes the owner chains of all buckets.
///
/// Compact because most buckets share a few distinct chains. Format, all
/// integers little-endian: log2 of the number of buckets (1 byte); number of
/// distinct chains (2 bytes); each chain as its length (1 byte) and targets (2
/// bytes each); then for each bucket the position of its chain, bit-packed from
/// the lowest bit.
std::string encode_chains(const std::vector<bucket_owners>& buckets);

/// Decodes the output of encode_chains() for a map with \a targets targets.
///
/// Errors: errc::message_malformed; \a buckets is then unspecified.
result<void> decode_chains(const_byte_span bytes,
                           std::size_t targets,
                           std::vector<bucket_owners>& buckets);

} // namespace briarfield

#endif
