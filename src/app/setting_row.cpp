#include "setting_row.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <iterator>
#include <limits>
#include <sstream>

namespace briarfield::app
{

namespace
{

constexpr std::size_t name_limit = 63; // Characters.

struct unit_row
{
    std::string_view suffix;
    duration length;
};

/// Longest unit first, so that values are printed in the largest unit that
/// divides them.
constexpr unit_row units[] = {{"h", std::chrono::hours(1)},
                              {"min", std::chrono::minutes(1)},
                              {"s", std::chrono::seconds(1)},
                              {"ms", std::chrono::milliseconds(1)},
                              {"us", std::chrono::microseconds(1)}};

std::vector<std::string> words_of(std::string_view text)
{
    std::string spaced(text);
    std::replace(spaced.begin(), spaced.end(), ',', ' ');
    std::istringstream in(spaced);
    std::vector<std::string> out;
    std::string word;
    while (in >> word)
        out.push_back(word);
    return out;
}

bool is_name(std::string_view text)
{
    const auto allowed = [](unsigned char c)
    { return std::isalnum(c) != 0 || c == '-' || c == '.' || c == '_'; };
    return !text.empty() && text.size() <= name_limit &&
           std::all_of(text.begin(), text.end(), allowed);
}

template <class Integer>
bool read_integer(std::string_view text, Integer& out)
{
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, out);
    return parsed.ec == std::errc{} && parsed.ptr == end;
}

bool read(std::string_view text, std::uint32_t& out)
{
    return read_integer(text, out);
}

bool read(std::string_view text, double& out)
{
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, out);
    return parsed.ec == std::errc{} && parsed.ptr == end && std::isfinite(out);
}

bool read(std::string_view text, duration& out)
{
    const auto digits =
        std::find_if_not(text.begin(), text.end(),
                         [](unsigned char c) { return std::isdigit(c) != 0; });
    const auto count = static_cast<std::size_t>(digits - text.begin());
    std::int64_t number = 0;
    if (!read_integer(text.substr(0, count), number))
        return false;
    for (const unit_row& unit : units)
    {
        if (unit.suffix != text.substr(count))
            continue;
        if (number > duration::max().count() / unit.length.count())
            return false;
        out = unit.length * number;
        return true;
    }
    return false;
}

bool read(std::string_view text, bool& out)
{
    out = text == "true";
    return out || text == "false";
}

bool read(std::string_view text, endpoint& out)
{
    auto parsed = endpoint::parse(text);
    if (!parsed)
        return false;
    out = parsed.value();
    return true;
}

bool read(std::string_view text, std::vector<endpoint>& out)
{
    std::vector<endpoint> list;
    for (const std::string& word : words_of(text))
    {
        endpoint item;
        if (!read(word, item))
            return false;
        list.push_back(item);
    }
    out = std::move(list);
    return true;
}

/// Whether \a value lies in the range of the row.
template <class Ordered>
bool in_range(const setting_row& r, const Ordered& value)
{
    Ordered bound{};
    if (!r.min_value.empty() && read(r.min_value, bound) && value < bound)
        return false;
    return r.max_value.empty() || !read(r.max_value, bound) || !(bound < value);
}

bool in_range(const setting_row&, const endpoint&)
{
    return true;
}

bool in_range(const setting_row&, const std::vector<endpoint>&)
{
    return true;
}

bool accepts_text(const setting_row& r, std::string_view value)
{
    if (!r.choices.empty())
    {
        const auto words = words_of(r.choices);
        return std::find(words.begin(), words.end(), value) != words.end();
    }
    return r.form == text_form::name ? is_name(value) : !value.empty();
}

std::string print(const std::string& value)
{
    return value;
}

std::string print(const endpoint& value)
{
    return value == endpoint{} ? "" : value.to_string();
}

std::string print(const std::vector<endpoint>& values)
{
    std::string out;
    for (const endpoint& value : values)
        out += (out.empty() ? "" : " ") + value.to_string();
    return out;
}

std::string print(duration value)
{
    for (const unit_row& unit : units)
        if (value.count() != 0 && value % unit.length == duration{0})
            return std::to_string(value / unit.length) +
                   std::string(unit.suffix);
    return "0s";
}

std::string print(std::uint32_t value)
{
    return std::to_string(value);
}

std::string print(double value)
{
    char text[32];
    const auto end = std::to_chars(std::begin(text), std::end(text), value).ptr;
    return {std::begin(text), end};
}

std::string print(bool value)
{
    return value ? "true" : "false";
}

std::string text_syntax(const setting_row& r)
{
    if (!r.choices.empty())
    {
        std::string out;
        for (const std::string& word : words_of(r.choices))
            out += (out.empty() ? "" : " or ") + word;
        return out;
    }
    if (r.form == text_form::name)
        return "a name of letters, digits, '.', '_' and '-'";
    return r.form == text_form::file ? "the path of a file"
                                     : "the path of a file of mode 0600";
}

struct syntax_of
{
    const setting_row* r;

    std::string operator()(std::string settings::*) const
    {
        return text_syntax(*r);
    }
    std::string operator()(endpoint settings::*) const
    {
        return "an address and port such as 192.0.2.1:80 or [2001:db8::1]:80";
    }
    std::string operator()(std::vector<endpoint> settings::*) const
    {
        return "addresses and ports such as 192.0.2.1:80 192.0.2.2:80";
    }
    std::string operator()(duration settings::*) const
    {
        return "a duration such as 250ms, 30s, 5min or 2h";
    }
    std::string operator()(std::uint32_t settings::*) const
    {
        return "a whole number";
    }
    std::string operator()(double settings::*) const { return "a number"; }
    std::string operator()(bool settings::*) const { return "true or false"; }
};

} // namespace

std::string setting_row::path() const
{
    return std::string(section) + "." + std::string(key);
}

std::string setting_row::variable() const
{
    std::string name =
        "BRIARFIELD_" + std::string(section) + "_" + std::string(key);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c)
                   { return static_cast<char>(std::toupper(c)); });
    return name;
}

const setting_row* find_setting_row(const std::string& path)
{
    const auto* found = std::find_if(setting_rows_begin(), setting_rows_end(),
                                     [&path](const setting_row& r)
                                     { return r.path() == path; });
    return found == setting_rows_end() ? nullptr : found;
}

std::string expected_value(const setting_row& r)
{
    std::string text = std::visit(syntax_of{&r}, r.member);
    if (!r.unit.empty())
        text += " of " + std::string(r.unit);
    if (!r.min_value.empty())
        text += ", from " + std::string(r.min_value);
    if (!r.max_value.empty())
        text += " to " + std::string(r.max_value);
    return text;
}

result<void>
set_value(const setting_row& r, settings& s, std::string_view value)
{
    const auto try_set = [&](auto member)
    {
        using type = std::decay_t<decltype(s.*member)>;
        if constexpr (std::is_same_v<type, std::string>)
        {
            if (!accepts_text(r, value))
                return false;
            s.*member = std::string(value);
            return true;
        }
        else
        {
            type parsed{};
            if (!read(value, parsed) || !in_range(r, parsed))
                return false;
            s.*member = parsed;
            return true;
        }
    };
    if (std::visit(try_set, r.member))
        return ok();
    return fail(errc::settings_bad_value, "found '" + std::string(value) +
                                              "', expected " +
                                              expected_value(r));
}

std::string print_value(const setting_row& r, const settings& s)
{
    return std::visit([&](auto member) { return print(s.*member); }, r.member);
}

} // namespace briarfield::app
