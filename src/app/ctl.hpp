#ifndef BRIARFIELD_SRC_APP_CTL_HPP
#define BRIARFIELD_SRC_APP_CTL_HPP

#include "briarfield/control/object_store.hpp"
#include "briarfield/core/error.hpp"

#include <iosfwd>
#include <string>
#include <vector>

namespace briarfield::app
{

/// Parses a JSON object or a list of them, the input of `ctl apply`.
///
/// \param origin Name of the file, for errors.
///
/// Errors: errc::object_invalid, errc::object_unknown_field; the detail names
/// file, object and field.
result<std::vector<stored_object>> parse_manifest(const std::string& text,
                                                  const std::string& origin);

/// Lists the top-level fields in which two specs differ, one per line: "-" with
/// the value in \a before, "+" with the value in \a after.
std::string spec_difference(const nlohmann::json& before,
                            const nlohmann::json& after);

/// Writes objects as a table with a heading.
void print_table(const std::vector<stored_object>& objects, std::ostream& out);

/// Runs `briarfield ctl` with the arguments after it; returns an exit code.
int run_ctl(const std::vector<std::string>& words);

} // namespace briarfield::app

#endif
