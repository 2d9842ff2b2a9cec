#ifndef BRIARFIELD_FUZZ_FUZZ_INPUT_HPP
#define BRIARFIELD_FUZZ_FUZZ_INPUT_HPP

#include "briarfield/packet/overlay_header.hpp"

#include <algorithm>
#include <cstdlib>
#include <vector>

namespace briarfield
{

/// Aborts if \a condition is false, so that libFuzzer saves the input.
inline void require(bool condition)
{
    if (!condition)
        std::abort();
}

/// A copy of an input with headroom for an overlay header.
class fuzz_packet
{
public:
    fuzz_packet(const std::uint8_t* data, std::size_t size)
        : buffer_(overlay_max_size + size), size_(size)
    {
        std::copy(data, data + size, buffer_.begin() + overlay_max_size);
    }

    byte_span bytes() { return {buffer_.data() + overlay_max_size, size_}; }

private:
    std::vector<std::uint8_t> buffer_;
    std::size_t size_;
};

/// Keys with which the harnesses sign datagrams.
inline const overlay_keyring& fuzz_keys()
{
    static const overlay_keyring keys = []
    {
        overlay_keyring k;
        k.set_signing_key(1, {1, 2, 3});
        return k;
    }();
    return keys;
}

/// A signed datagram: the header is derived from the first bytes of the input,
/// and the packet is the rest. It is empty if the input is too short.
///
/// The header can have any content that a holder of the key could send.
class fuzz_datagram
{
public:
    fuzz_datagram(const std::uint8_t* data, std::size_t size)
        : packet_(data + std::min(size, header_field_bytes),
                  size - std::min(size, header_field_bytes))
    {
        if (size < header_field_bytes)
            return;
        header_.type = static_cast<overlay_type>(data[0]);
        header_.hop = data[1] & 3U;
        header_.chain_length =
            static_cast<std::uint8_t>(header_.hop + 1 + (data[2] & 3U));
        header_.chain_length = std::min<std::uint8_t>(
            header_.chain_length, std::uint8_t{max_chain_length});
        header_.flags = data[3];
        header_.bucket = data[4];
        header_.service_id = data[5] & 1U;
        header_.map_version = data[6];
        header_.traced = (data[7] & 1U) != 0;
        for (std::size_t i = 0; i < header_.chain_length; ++i)
        {
            const std::uint8_t v4[4] = {192, 0, 2, data[8 + i]};
            header_.chain[i] = {ip_address::from_v4(v4), data[8 + i]};
        }
        if ((data[7] & 2U) != 0)
            header_.chain[0].address = ip_address::from_v6(data);
        datagram_ = encode_overlay(header_, packet_.bytes(), fuzz_keys());
    }

    const overlay_header& header() const { return header_; }
    byte_span packet() { return packet_.bytes(); }
    byte_span bytes() const { return datagram_; }

private:
    static constexpr std::size_t header_field_bytes = 16;

    fuzz_packet packet_;
    overlay_header header_;
    byte_span datagram_;
};

} // namespace briarfield

#endif
