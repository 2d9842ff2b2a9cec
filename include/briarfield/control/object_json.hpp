#ifndef BRIARFIELD_CONTROL_OBJECT_JSON_HPP
#define BRIARFIELD_CONTROL_OBJECT_JSON_HPP

#include "briarfield/control/object_store.hpp"

#include <optional>

namespace briarfield
{

/// \brief API group and version of all objects.
constexpr std::string_view object_api_version = "briarfield.dev/v1";

/// \brief Kind with the name \a name, such as "Service", if any.
std::optional<object_kind> object_kind_of_name(std::string_view name) noexcept;

/// \brief Kind with the path component \a plural, such as "services", if any.
std::optional<object_kind>
object_kind_of_plural(std::string_view plural) noexcept;

/// \brief JSON of the object in the object API.
nlohmann::json object_to_json(const stored_object& object);

/// \brief Parses an object and its metadata; spec and status are not validated.
///
/// Errors: errc::object_invalid, errc::object_unknown_field; the detail starts
/// with the path of the field.
result<stored_object> object_from_json(const nlohmann::json& item);

} // namespace briarfield

#endif
