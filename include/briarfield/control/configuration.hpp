#ifndef BRIARFIELD_CONTROL_CONFIGURATION_HPP
#define BRIARFIELD_CONTROL_CONFIGURATION_HPP

#include "briarfield/control/resources.hpp"

#include <map>
#include <string>
#include <string_view>

namespace briarfield
{

/// \brief State of an object on this instance.
struct object_report
{
    std::uint64_t generation = 0;          ///< Generation of the latest spec.
    std::uint64_t in_force_generation = 0; ///< 0 if no spec is in force.
    error problem{errc::ok, {}};           ///< Why it is not fully in force.
};

/// \brief Immutable snapshot of the operators' objects in force.
struct configuration
{
    std::uint64_t version = 0; ///< Highest version of its objects.
    std::map<std::string, team_spec> teams;
    std::map<object_key, backend_pool_spec> pools;
    /// Each with only the addresses that are assigned to it by
    /// resolve_address_claims().
    std::map<service_id, service_spec> services;
    std::map<object_key, object_report> reports;

    /// \brief Whether the backend server \a instance may serve \a s.
    ///
    /// A service without a pool admits every server of its team; a service
    /// whose pool does not exist admits none.
    bool admits(const service_spec& s,
                std::string_view instance,
                std::string_view zone) const;
};

/// \brief A service and the object from which its spec was parsed.
struct service_claim
{
    const stored_object* object = nullptr;
    service_spec spec;
};

/// \brief Assigns each address to one of the services that claim it.
///
/// The service whose status records the address as held since the lowest
/// version has precedence; without such a record, the service that was created
/// first, then the one whose team and name sort first. Hence an older service
/// cannot take an address in use by adding it to its spec. Addresses assigned
/// to another service are removed from the specs and reported in \a problems
/// as errc::object_address_conflict.
void resolve_address_claims(std::vector<service_claim>& claims,
                            std::map<object_key, error>& problems);

/// \brief The status member that records held addresses.
///
/// \param former Previous status of the service.
/// \param now Version recorded for addresses that \a former does not record.
nlohmann::json address_claims(const std::vector<service_address>& held,
                              const nlohmann::json& former,
                              std::uint64_t now);

} // namespace briarfield

#endif
