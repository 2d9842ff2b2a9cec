#ifndef BRIARFIELD_CORE_ENDPOINT_HPP
#define BRIARFIELD_CORE_ENDPOINT_HPP

#include "briarfield/core/error.hpp"

#include <array>
#include <cstdint>
#include <cstring>
#include <functional>
#include <string>
#include <string_view>

namespace briarfield
{

/// \brief An IPv4 or IPv6 address.
///
/// An IPv4 address is stored as an IPv4-mapped IPv6 address (RFC 4291), so that
/// comparison and hashing need not distinguish the families.
class ip_address
{
public:
    /// \brief Bytes of the address in network byte order; IPv4 is mapped.
    using bytes_type = std::array<std::uint8_t, 16>;

    ip_address() = default;

    /// \brief IPv4 address from 4 bytes in network byte order.
    static ip_address from_v4(const std::uint8_t* p)
    {
        ip_address a;
        a.bytes_[10] = 0xff;
        a.bytes_[11] = 0xff;
        std::memcpy(a.bytes_.data() + 12, p, 4);
        return a;
    }

    /// \brief IPv6 address from 16 bytes in network byte order.
    static ip_address from_v6(const std::uint8_t* p)
    {
        ip_address a;
        std::memcpy(a.bytes_.data(), p, 16);
        return a;
    }

    /// \brief Parses an address such as "192.0.2.1" or "2001:db8::1".
    ///
    /// Errors: errc::settings_bad_value.
    static result<ip_address> parse(std::string_view text);

    bool is_v4() const
    {
        constexpr std::uint8_t mapped[4] = {0, 0, 0xff, 0xff};
        return half(0) == 0 &&
               std::memcmp(bytes_.data() + 8, mapped, sizeof mapped) == 0;
    }

    /// \brief The 4 bytes of an IPv4 address; undefined for IPv6.
    const std::uint8_t* v4_bytes() const { return bytes_.data() + 12; }

    const bytes_type& bytes() const { return bytes_; }

    std::string to_string() const;

    friend bool operator==(const ip_address& a, const ip_address& b)
    {
        return a.half(0) == b.half(0) && a.half(1) == b.half(1);
    }
    friend bool operator!=(const ip_address& a, const ip_address& b)
    {
        return !(a == b);
    }
    friend bool operator<(const ip_address& a, const ip_address& b)
    {
        return a.bytes_ < b.bytes_;
    }

private:
    /// 8 bytes of the address, 0 for the first half and 1 for the second.
    /// Comparing two words is faster than a call of memcmp.
    std::uint64_t half(std::size_t index) const
    {
        std::uint64_t word = 0;
        std::memcpy(&word, bytes_.data() + 8 * index, sizeof word);
        return word;
    }

    bytes_type bytes_{};
};

/// \brief An IP address with a UDP or TCP port.
struct endpoint
{
    ip_address address;
    std::uint16_t port = 0;

    /// \brief Parses an endpoint such as "192.0.2.1:80" or "[2001:db8::1]:80".
    ///
    /// Errors: errc::settings_bad_value.
    static result<endpoint> parse(std::string_view text);

    std::string to_string() const;

    friend bool operator==(const endpoint& a, const endpoint& b)
    {
        return a.port == b.port && a.address == b.address;
    }
    friend bool operator!=(const endpoint& a, const endpoint& b)
    {
        return !(a == b);
    }
    friend bool operator<(const endpoint& a, const endpoint& b)
    {
        return a.address != b.address ? a.address < b.address : a.port < b.port;
    }
};

/// \brief Hash of an \ref endpoint for the standard containers.
struct endpoint_hash
{
    std::size_t operator()(const endpoint& e) const
    {
        std::uint64_t low = 0;
        std::uint64_t high = 0;
        std::memcpy(&high, e.address.bytes().data(), 8);
        std::memcpy(&low, e.address.bytes().data() + 8, 8);
        std::uint64_t h = (high ^ (low * 0x9e3779b97f4a7c15ULL)) + e.port;
        h ^= h >> 32U;
        h *= 0xd6e8feb86659fd93ULL;
        return h ^ (h >> 32U);
    }
};

} // namespace briarfield

#endif
