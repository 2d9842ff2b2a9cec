#ifndef BRIARFIELD_CORE_BYTE_ORDER_HPP
#define BRIARFIELD_CORE_BYTE_ORDER_HPP

#include <cstdint>

namespace briarfield
{

/// \brief Reads a 2-byte integer in network byte order at \a p.
inline std::uint16_t load_be16(const std::uint8_t* p)
{
    return static_cast<std::uint16_t>((p[0] << 8U) | p[1]);
}

/// \brief Reads a 4-byte integer in network byte order at \a p.
inline std::uint32_t load_be32(const std::uint8_t* p)
{
    return (static_cast<std::uint32_t>(load_be16(p)) << 16U) | load_be16(p + 2);
}

/// \brief Reads an 8-byte integer in network byte order at \a p.
inline std::uint64_t load_be64(const std::uint8_t* p)
{
    return (static_cast<std::uint64_t>(load_be32(p)) << 32U) | load_be32(p + 4);
}

/// \brief Writes a 2-byte integer in network byte order at \a p.
inline void store_be16(std::uint8_t* p, std::uint16_t v)
{
    p[0] = static_cast<std::uint8_t>(v >> 8U);
    p[1] = static_cast<std::uint8_t>(v);
}

/// \brief Writes a 4-byte integer in network byte order at \a p.
inline void store_be32(std::uint8_t* p, std::uint32_t v)
{
    store_be16(p, static_cast<std::uint16_t>(v >> 16U));
    store_be16(p + 2, static_cast<std::uint16_t>(v));
}

/// \brief Writes an 8-byte integer in network byte order at \a p.
inline void store_be64(std::uint8_t* p, std::uint64_t v)
{
    store_be32(p, static_cast<std::uint32_t>(v >> 32U));
    store_be32(p + 4, static_cast<std::uint32_t>(v));
}

} // namespace briarfield

#endif
