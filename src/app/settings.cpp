#include "settings.hpp"

#include "key_file.hpp"
#include "setting_row.hpp"

#include "briarfield/core/nearest_name.hpp"

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <ini.h>
#include <map>
#include <sstream>
#include <sys/stat.h>

namespace briarfield::app
{

namespace
{

constexpr int line_limit = 8192;               // Bytes.
constexpr std::size_t file_limit = 1U << 20U;  // Bytes.
constexpr std::size_t error_limit = 50;        // Errors reported per file.
constexpr std::size_t quoted_text_limit = 200; // Bytes of a value in an error.

std::vector<std::string> all_paths()
{
    std::vector<std::string> paths;
    for (const auto* r = setting_rows_begin(); r != setting_rows_end(); ++r)
        paths.push_back(r->path());
    return paths;
}

/// Whether nobody has filled in a placeholder of \a value.
bool is_unfilled(const std::string& value)
{
    return value.find("{{") != std::string::npos;
}

/// Passes a text to inih line by line, since inih reports no line numbers to
/// its value handler.
class settings_parser
{
public:
    settings_parser(std::string_view text, std::string file, daemon_role role)
        : rest_(text), file_(std::move(file)), role_(role)
    {
        report_.values = default_settings();
        report_.values.source_file = file_;
        report_.values.role = role;
    }

    settings_report run(const environment_lookup& environment)
    {
        use_heap_lines();
        const int syntax_error_line =
            ini_parse_stream(read_line, this, on_pair, this);
        if (syntax_error_line > 0)
            fail_at(syntax_error_line, errc::settings_syntax,
                    "found neither a [section], a key = value nor a comment");
        if (syntax_error_line < 0)
            fail_at(line_, errc::settings_syntax, "the file is too large");
        if (environment)
            read_variables(environment);
        check_required();
        return std::move(report_);
    }

private:
    /// The stack buffer of inih is too short for a list of balancers.
    static void use_heap_lines()
    {
        ini_use_stack = false;
        ini_allow_realloc = false;
        ini_initial_alloc = line_limit;
        ini_max_line = line_limit;
    }

    static char* read_line(char* out, int size, void* user)
    {
        return static_cast<settings_parser*>(user)->next_line(out, size);
    }

    static int on_pair(void* user,
                       const char* section,
                       const char* name,
                       const char* value)
    {
        static_cast<settings_parser*>(user)->set_key(
            std::string(section) + "." + name, value);
        return 1;
    }

    char* next_line(char* out, int size)
    {
        if (rest_.empty())
            return nullptr;
        ++line_;
        const std::size_t end = std::min(rest_.find('\n'), rest_.size() - 1);
        std::string_view line = rest_.substr(0, end + 1);
        rest_.remove_prefix(line.size());
        const std::size_t capacity = static_cast<std::size_t>(size) - 2;
        if (line.size() > capacity || line.find('\0') != std::string_view::npos)
        {
            fail_at(line_, errc::settings_syntax,
                    "found a line of binary data or of more than " +
                        std::to_string(line_limit - 2) + " bytes");
            line = "\n";
        }
        continued_ = !line.empty() && (line[0] == ' ' || line[0] == '\t');
        std::memcpy(out, line.data(), line.size());
        out[line.size()] = '\0';
        return out;
    }

    void set_key(const std::string& path, std::string value)
    {
        const setting_row* r = find_setting_row(path);
        if (r == nullptr)
            return fail_at(line_, errc::settings_unknown_key,
                           "found key '" + path + "', expected a known key" +
                               did_you_mean(path, all_paths()));
        const auto previous = lines_.find(path);
        if (previous != lines_.end() && !continued_)
            return fail_at(line_, errc::settings_bad_value,
                           path +
                               ": found a second value, expected one; the "
                               "first is in line " +
                               std::to_string(previous->second));
        if (previous != lines_.end())
            value = print_value(*r, report_.values) + " " + value;
        lines_.emplace(path, line_);
        // A template leaves a value empty if the platform does not give it.
        if (value.empty() && is_optional(*r))
            return;
        if (value.size() > quoted_text_limit &&
            !std::holds_alternative<std::vector<endpoint> settings::*>(
                r->member))
            return fail_at(line_, errc::settings_bad_value,
                           path + ": found " + std::to_string(value.size()) +
                               " bytes, expected " + expected_value(*r));
        auto outcome = set_value(*r, report_.values, value);
        if (!outcome)
            fail_at(line_, outcome.error().code,
                    path + ": " + outcome.error().detail);
    }

    /// Whether the daemon starts without a value of \a r.
    bool is_optional(const setting_row& r) const
    {
        return !r.default_value.empty() ||
               (role_ != daemon_role::any && !r.needed_by(role_));
    }

    void read_variables(const environment_lookup& environment)
    {
        for (const auto* r = setting_rows_begin(); r != setting_rows_end(); ++r)
        {
            const auto value = environment(r->variable());
            if (value && !value->empty())
                set_from_variable(*r, *value);
        }
    }

    void set_from_variable(const setting_row& r, const std::string& value)
    {
        settings& s = report_.values;
        if (is_unfilled(value))
            return s.unfilled_variables.push_back(r.variable());
        lines_.emplace(r.path(), 0);
        auto outcome = set_value(r, s, value);
        if (outcome)
            s.environment_keys.push_back(r.path());
        else
            add_error(outcome.error().code,
                      r.variable() + ": " + outcome.error().detail);
    }

    void check_required()
    {
        for (const auto* r = setting_rows_begin(); r != setting_rows_end(); ++r)
            if (r->needed_by(role_) && lines_.count(r->path()) == 0)
                fail_at(line_, errc::settings_missing_key,
                        r->path() + ": found nothing, expected " +
                            expected_value(*r));
    }

    void fail_at(int line, errc code, const std::string& text)
    {
        add_error(code, file_ + ":" + std::to_string(line) + ": " + text);
    }

    void add_error(errc code, const std::string& text)
    {
        if (report_.errors.size() < error_limit)
            report_.errors.emplace_back(code, text);
    }

    std::string_view rest_;
    std::string file_;
    daemon_role role_;
    int line_ = 0;
    bool continued_ = false; ///< The line continues the previous value.
    std::map<std::string, int> lines_; ///< Line of each key.
    settings_report report_;
};

result<std::string> read_file(const std::string& file)
{
    std::ifstream in(file, std::ios::binary);
    struct stat info;
    if (!in || stat(file.c_str(), &info) != 0 || !S_ISREG(info.st_mode))
        return fail(errc::file_unreadable, file);
    if (static_cast<std::size_t>(info.st_size) > file_limit)
        return fail(errc::file_unreadable, file + ": larger than 1 MiB");
    std::ostringstream content;
    content << in.rdbuf();
    return content.str();
}

std::string restart_needed(const std::string& before, const std::string& after)
{
    std::string text = ": found '" + after;
    text += "', expected '" + before;
    text += "': a change requires a restart";
    return text;
}

std::string markdown_row(const setting_row& r)
{
    std::string needed = "no";
    if (r.needed_by(daemon_role::balancer) && r.needed_by(daemon_role::agent))
        needed = "both";
    else if (r.needed_by(daemon_role::balancer))
        needed = "balancer";
    else if (r.needed_by(daemon_role::agent))
        needed = "agent";
    const std::string default_value =
        r.default_value.empty() ? "none"
                                : "`" + std::string(r.default_value) + "`";
    return "| `" + std::string(r.key) + "` | " + std::string(r.text) + " | " +
           expected_value(r) + " | " + default_value + " | " + needed + " | " +
           (r.reloadable ? "yes" : "no") + " |\n";
}

} // namespace

settings default_settings()
{
    settings s;
    for (const auto* r = setting_rows_begin(); r != setting_rows_end(); ++r)
        if (!r->default_value.empty())
            (void)set_value(*r, s, r->default_value);
    return s;
}

std::optional<std::string> process_environment(const std::string& name)
{
    const char* value = std::getenv(name.c_str());
    if (value == nullptr)
        return std::nullopt;
    return std::string(value);
}

settings_report parse_settings(std::string_view text,
                               const std::string& file,
                               daemon_role role,
                               const environment_lookup& environment)
{
    return settings_parser(text, file, role).run(environment);
}

settings_report read_settings(const std::string& file,
                              daemon_role role,
                              const environment_lookup& environment)
{
    auto text = read_file(file);
    if (text)
        return parse_settings(text.value(), file, role, environment);
    settings_report report;
    report.errors.push_back(text.error());
    return report;
}

result<settings> load_settings(const std::string& file,
                               daemon_role role,
                               const environment_lookup& environment)
{
    settings_report report = read_settings(file, role, environment);
    if (report.errors.empty())
        return std::move(report.values);
    const error& first = report.errors.front();
    return fail(first.code, first.detail);
}

result<void> apply_reload(settings& current, const settings& changed)
{
    for (const auto* r = setting_rows_begin(); r != setting_rows_end(); ++r)
    {
        const std::string before = print_value(*r, current);
        const std::string after = print_value(*r, changed);
        if (!r->reloadable && before != after)
            return fail(errc::settings_bad_value,
                        r->path() + restart_needed(before, after));
    }
    settings next = changed;
    next.source_file = current.source_file;
    next.log_level_option = current.log_level_option;
    next.log_format_option = current.log_format_option;
    current = std::move(next);
    return ok();
}

std::string effective_settings(const settings& s)
{
    std::string text;
    std::string_view section;
    for (const auto* r = setting_rows_begin(); r != setting_rows_end(); ++r)
    {
        const std::string value = print_value(*r, s);
        if (value.empty())
            continue;
        if (section != r->section)
        {
            text += (section.empty() ? "[" : "\n[") + std::string(r->section) +
                    "]\n";
            section = r->section;
        }
        text += std::string(r->key) + " = " + value + "\n";
    }
    return text;
}

std::string settings_reference()
{
    std::string text =
        "# Settings\n\n"
        "Printed by `briarfield check --reference`; a test keeps this page "
        "equal to it.\n\n"
        "The file is INI: `[section]` lines, `key = value` lines, comments "
        "after `;` or `#`. A\nlist may continue on the next line, indented. "
        "\"Needed by\" names the daemons that do not\nstart without the key; "
        "\"Reload\" tells whether SIGHUP applies a change.\n\n"
        "The environment variable `BRIARFIELD_SECTION_KEY`, in capitals, sets "
        "a key as well,\nand takes precedence: "
        "`BRIARFIELD_RELAY_SEED_PORT=8166`. A variable that is empty,\nor "
        "still holds a placeholder in double braces, is passed over; so is an "
        "empty value\nof a key that the daemon does not need.\n";
    std::string_view section;
    for (const auto* r = setting_rows_begin(); r != setting_rows_end(); ++r)
    {
        if (section != r->section)
            text += "\n## [" + std::string(r->section) +
                    "]\n\n| Key | Meaning | Value | Default | Needed by | "
                    "Reload |\n|---|---|---|---|---|---|\n";
        section = r->section;
        text += markdown_row(*r);
    }
    return text;
}

result<std::string> read_secret(const std::string& file)
{
    struct stat info;
    if (stat(file.c_str(), &info) != 0)
        return fail(errc::file_unreadable, file);
    if ((info.st_mode & (S_IRWXG | S_IRWXO)) != 0)
        return fail(
            errc::file_permissions,
            file + ": found permissions for group or others, expected mode "
                   "0600");
    return read_file(file);
}

result<void> check_secrets(const settings& s)
{
    for (const auto* r = setting_rows_begin(); r != setting_rows_end(); ++r)
    {
        const std::string file = print_value(*r, s);
        if (r->form != text_form::secret_file || file.empty())
            continue;
        auto key = read_key_file(file);
        if (!key)
            return fail(key.error().code,
                        r->path() + ": " + key.error().detail);
    }
    return ok();
}

} // namespace briarfield::app
