#ifndef BRIARFIELD_SRC_APP_SETTING_ROW_HPP
#define BRIARFIELD_SRC_APP_SETTING_ROW_HPP

#include "settings.hpp"

#include <cstdint>
#include <variant>

namespace briarfield::app
{

/// Kind of value that a text setting holds.
enum class text_form : std::uint8_t
{
    name,       ///< Letters, digits, '.', '_' and '-'; at most 63.
    file,       ///< Path of a file.
    secret_file ///< Path of a file that only its owner may read.
};

/// Member of \ref settings that a row describes; its type determines the syntax
/// of the value.
using setting_member = std::variant<std::string settings::*,
                                    endpoint settings::*,
                                    std::vector<endpoint> settings::*,
                                    duration settings::*,
                                    std::uint32_t settings::*,
                                    double settings::*,
                                    bool settings::*>;

/// One key of the settings file.
///
/// Rows are written as `row(section, key, member).needed(...).range(...)`;
/// a new key needs one member of \ref settings and one row.
struct setting_row
{
    std::string_view section;
    std::string_view key;
    setting_member member;
    text_form form = text_form::name;
    std::string_view choices{};       ///< Allowed words, separated by spaces.
    std::string_view unit{};          ///< Unit of a plain number.
    std::string_view default_value{}; ///< Default value, in the file's syntax.
    std::string_view min_value{};     ///< Smallest value, in the file's syntax.
    std::string_view max_value{};     ///< Largest value, in the file's syntax.
    std::uint8_t roles = 0;           ///< Daemons that require the key.
    bool reloadable = false;          ///< Whether a reload applies a change.
    std::string_view text{};          ///< Description for the reference page.

    constexpr setting_row is_file() const
    {
        setting_row r = *this;
        r.form = text_form::file;
        return r;
    }
    constexpr setting_row is_secret() const
    {
        setting_row r = *this;
        r.form = text_form::secret_file;
        return r;
    }
    constexpr setting_row one_of(std::string_view words) const
    {
        setting_row r = *this;
        r.choices = words;
        return r;
    }
    constexpr setting_row in(std::string_view name) const
    {
        setting_row r = *this;
        r.unit = name;
        return r;
    }
    constexpr setting_row by_default(std::string_view value) const
    {
        setting_row r = *this;
        r.default_value = value;
        return r;
    }
    constexpr setting_row range(std::string_view low,
                                std::string_view high) const
    {
        setting_row r = *this;
        r.min_value = low;
        r.max_value = high;
        return r;
    }
    constexpr setting_row needed(daemon_role role) const
    {
        setting_row r = *this;
        r.roles = static_cast<std::uint8_t>(r.roles |
                                            static_cast<std::uint8_t>(role));
        return r;
    }
    constexpr setting_row reload() const
    {
        setting_row r = *this;
        r.reloadable = true;
        return r;
    }
    constexpr setting_row doc(std::string_view description) const
    {
        setting_row r = *this;
        r.text = description;
        return r;
    }

    /// Whether a daemon of \a role requires the key.
    constexpr bool needed_by(daemon_role role) const
    {
        return (roles & static_cast<std::uint8_t>(role)) != 0;
    }

    /// "section.key".
    std::string path() const;

    /// Environment variable that sets the key: BRIARFIELD_SECTION_KEY.
    std::string variable() const;
};

/// Starts a row; the type of \a member determines the syntax of the value.
template <class Member>
constexpr setting_row
row(std::string_view section, std::string_view key, Member settings::*member)
{
    return setting_row{section, key, member};
}

/// First row of the table.
const setting_row* setting_rows_begin();

/// One past the last row of the table.
const setting_row* setting_rows_end();

/// Row of the key "section.key"; null if there is none.
const setting_row* find_setting_row(const std::string& path);

/// Describes the valid values of \a r: "a duration such as 250ms, 30s, 5min or
/// 2h, from 1s to 24h".
std::string expected_value(const setting_row& r);

/// Parses \a value into the member of \a r.
///
/// Errors: errc::settings_bad_value; the detail has the value found and the
/// values expected.
result<void>
set_value(const setting_row& r, settings& s, std::string_view value);

/// Value of the member of \a r in the syntax of the settings file.
std::string print_value(const setting_row& r, const settings& s);

} // namespace briarfield::app

#endif
