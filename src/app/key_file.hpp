#ifndef BRIARFIELD_SRC_APP_KEY_FILE_HPP
#define BRIARFIELD_SRC_APP_KEY_FILE_HPP

#include "briarfield/core/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace briarfield::app
{

/// A secret key and the id that identifies it in messages.
struct secret_key
{
    std::uint8_t id = 0;
    std::string bytes;
};

/// Parses the content of a key file.
///
/// The content is either one line with an id (0 to 255), a space and at least
/// 32 hexadecimal digits, or at least 16 bytes of binary data with the id 1.
/// Errors name \a file and never quote the content.
///
/// Errors: errc::settings_bad_value.
result<secret_key> parse_key_file(std::string_view content,
                                  const std::string& file);

/// Reads a key file; see \ref parse_key_file and \ref read_secret.
result<secret_key> read_key_file(const std::string& file);

} // namespace briarfield::app

#endif
