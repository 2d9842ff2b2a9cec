#include "briarfield/core/endpoint.hpp"

#include <arpa/inet.h>
#include <charconv>

namespace briarfield
{

result<ip_address> ip_address::parse(std::string_view text)
{
    const std::string copy(text);
    std::uint8_t raw[16];
    if (inet_pton(AF_INET, copy.c_str(), raw) == 1)
        return from_v4(raw);
    if (inet_pton(AF_INET6, copy.c_str(), raw) == 1)
        return from_v6(raw);
    return fail(errc::settings_bad_value,
                "'" + copy + "' is not an IP address");
}

std::string ip_address::to_string() const
{
    char text[INET6_ADDRSTRLEN];
    if (is_v4())
        inet_ntop(AF_INET, v4_bytes(), text, sizeof text);
    else
        inet_ntop(AF_INET6, bytes_.data(), text, sizeof text);
    return text;
}

result<endpoint> endpoint::parse(std::string_view text)
{
    const auto malformed = [&]
    {
        return fail(errc::settings_bad_value,
                    "'" + std::string(text) +
                        "' is not of the form address:port");
    };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon + 1 == text.size())
        return malformed();
    std::string_view host = text.substr(0, colon);
    const std::string_view digits = text.substr(colon + 1);
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    else if (host.find(':') != std::string_view::npos)
        return malformed();
    unsigned port = 0;
    const auto parsed =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (parsed.ec != std::errc{} ||
        parsed.ptr != digits.data() + digits.size() || port > 65535)
        return malformed();
    auto address = ip_address::parse(host);
    if (!address)
        return malformed();
    return endpoint{address.value(), static_cast<std::uint16_t>(port)};
}

std::string endpoint::to_string() const
{
    const std::string host = address.to_string();
    if (address.is_v4())
        return host + ":" + std::to_string(port);
    return "[" + host + "]:" + std::to_string(port);
}

} // namespace briarfield
