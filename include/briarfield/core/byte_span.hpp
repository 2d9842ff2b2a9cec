#ifndef BRIARFIELD_CORE_BYTE_SPAN_HPP
#define BRIARFIELD_CORE_BYTE_SPAN_HPP

#include <cstddef>
#include <cstdint>

namespace briarfield
{

/// \brief Non-owning view of contiguous bytes; replaces std::span in C++17.
///
/// \a Byte is `std::uint8_t` or `const std::uint8_t`. The view is invalid once
/// the owner has released or moved the bytes.
template <class Byte>
class basic_byte_span
{
public:
    basic_byte_span() = default;
    basic_byte_span(Byte* data, std::size_t size) : data_(data), size_(size) {}

    /// \brief Converts a span of mutable bytes to one of constant bytes.
    template <class Other>
    basic_byte_span(const basic_byte_span<Other>& other)
        : data_(other.data()), size_(other.size())
    {
    }

    Byte* data() const { return data_; }
    std::size_t size() const { return size_; }
    bool empty() const { return size_ == 0; }
    Byte* begin() const { return data_; }
    Byte* end() const { return data_ + size_; }
    Byte& operator[](std::size_t i) const { return data_[i]; }

    /// \brief The bytes from \a offset to the end; \a offset must not exceed
    /// \ref size.
    basic_byte_span drop_front(std::size_t offset) const
    {
        return {data_ + offset, size_ - offset};
    }

    /// \brief The first \a count bytes; \a count must not exceed \ref size.
    basic_byte_span take_front(std::size_t count) const
    {
        return {data_, count};
    }

private:
    Byte* data_ = nullptr;
    std::size_t size_ = 0;
};

using byte_span = basic_byte_span<std::uint8_t>;
using const_byte_span = basic_byte_span<const std::uint8_t>;

} // namespace briarfield

#endif
