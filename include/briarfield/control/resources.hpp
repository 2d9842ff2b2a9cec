#ifndef BRIARFIELD_CONTROL_RESOURCES_HPP
#define BRIARFIELD_CONTROL_RESOURCES_HPP

#include "briarfield/control/object_store.hpp"
#include "briarfield/route/service_table.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace briarfield
{

/// \brief Urgency of the requests of a service.
enum class urgency : std::uint8_t
{
    background,  ///< Downloads, reports.
    standard,    ///< Web pages, office work.
    interactive, ///< Sessions with users who wait for responses.
    critical,    ///< Corrections, score submissions.
    count_
};

/// \brief Name of \a u in specs.
std::string_view urgency_name(urgency u) noexcept;

/// \brief Spec of a Team, parsed and validated.
struct team_spec
{
    std::string name;
    std::string description;
};

/// \brief Spec of a Service, parsed and validated.
struct service_spec
{
    std::string team;
    std::string name;
    std::vector<service_address> addresses;
    std::string pool; ///< BackendPool of the same team; empty: every server.
    urgency urgency_class = urgency::standard;
    double share = 1.0; ///< Relative share under contention.
    /// A power of two; cannot be changed after creation.
    std::uint32_t bucket_count = 256;

    service_id id() const { return make_service_id(team, name); }
};

/// \brief Selects backend servers by name and availability zone.
struct server_selector
{
    std::vector<std::string> instances;
    std::vector<std::string> instance_prefixes;
    std::vector<std::string> zones; ///< If empty, every zone.
};

/// \brief Spec of a BackendPool, parsed and validated.
struct backend_pool_spec
{
    std::string team;
    std::string name;
    std::vector<server_selector> selectors; ///< At least one must match.
};

/// \brief Whether \a pool admits the backend server \a instance in \a zone.
///
/// A selector without instances and prefixes matches every instance in its
/// zones.
bool pool_admits(const backend_pool_spec& pool,
                 std::string_view instance,
                 std::string_view zone);

/// \brief Parses the spec of a Team object.
///
/// Errors: errc::object_invalid, errc::object_unknown_field; the detail starts
/// with the path of the field.
result<team_spec> parse_team(const stored_object& object);

/// \brief Parses the spec of a Service object. Errors: as for \ref parse_team.
result<service_spec> parse_service(const stored_object& object);

/// \brief Parses the spec of a BackendPool object. Errors: as for
/// \ref parse_team.
result<backend_pool_spec> parse_backend_pool(const stored_object& object);

/// \brief Validates an object of any kind, without references to others.
///
/// Errors: as for \ref parse_team.
result<void> validate_object(const stored_object& object);

/// \brief JSON schema of the objects of \a kind.
nlohmann::json object_schema(object_kind kind);

} // namespace briarfield

#endif
