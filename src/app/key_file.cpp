#include "key_file.hpp"

#include "settings.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace briarfield::app
{

namespace
{

constexpr std::size_t min_key_size = 16; // Bytes.
constexpr std::uint8_t binary_key_id = 1;

bool is_text(std::string_view content)
{
    return std::all_of(content.begin(), content.end(),
                       [](unsigned char c)
                       { return std::isprint(c) != 0 || c == '\n'; });
}

bool read_hex(std::string_view digits, std::string& out)
{
    if (digits.size() % 2 != 0)
        return false;
    for (std::size_t i = 0; i < digits.size(); i += 2)
    {
        std::uint8_t byte = 0;
        const char* end = digits.data() + i + 2;
        const auto parsed = std::from_chars(digits.data() + i, end, byte, 16);
        if (parsed.ec != std::errc{} || parsed.ptr != end)
            return false;
        out.push_back(static_cast<char>(byte));
    }
    return true;
}

bool read_line(std::string_view line, secret_key& out)
{
    if (!line.empty() && line.back() == '\n')
        line.remove_suffix(1);
    const char* end = line.data() + line.size();
    const auto id = std::from_chars(line.data(), end, out.id);
    if (id.ec != std::errc{} || id.ptr == end || *id.ptr != ' ')
        return false;
    const auto used = static_cast<std::size_t>(id.ptr - line.data()) + 1;
    return read_hex(line.substr(used), out.bytes) &&
           out.bytes.size() >= min_key_size;
}

} // namespace

result<secret_key> parse_key_file(std::string_view content,
                                  const std::string& file)
{
    if (!is_text(content) && content.size() >= min_key_size)
        return secret_key{binary_key_id, std::string(content)};
    secret_key key;
    if (is_text(content) && read_line(content, key))
        return key;
    return fail(errc::settings_bad_value,
                file + ": found no key, expected a line of an id from 0 to "
                       "255, a space and 32 or more hexadecimal digits");
}

result<secret_key> read_key_file(const std::string& file)
{
    auto content = read_secret(file);
    if (!content)
        return fail(content.error().code, content.error().detail);
    return parse_key_file(content.value(), file);
}

} // namespace briarfield::app
