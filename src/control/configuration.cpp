#include "briarfield/control/configuration.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace briarfield
{

namespace
{

using json = nlohmann::json;

constexpr std::uint64_t never = std::numeric_limits<std::uint64_t>::max();

std::string claim_name(const service_address& a)
{
    return a.destination.to_string() +
           (a.protocol == transport::tcp ? "/tcp" : "/udp");
}

/// Version since which the service has held \a a according to \a status;
/// the largest value if not recorded.
std::uint64_t held_since(const json& status, const service_address& a)
{
    const auto claims = status.find("claims");
    if (claims == status.end() || !claims->is_object())
        return never;
    const auto found = claims->find(claim_name(a));
    return found != claims->end() && found->is_number_integer()
               ? found->get<std::uint64_t>()
               : never;
}

using claim_rank = std::tuple<std::uint64_t, std::string, object_key>;

claim_rank rank_of(const stored_object& object, const service_address& a)
{
    return {held_since(object.status, a), object.created, object.key};
}

} // namespace

bool configuration::admits(const service_spec& s,
                           std::string_view instance,
                           std::string_view zone) const
{
    if (s.pool.empty())
        return true;
    const auto found = pools.find({object_kind::backend_pool, s.team, s.pool});
    return found != pools.end() && pool_admits(found->second, instance, zone);
}

void resolve_address_claims(std::vector<service_claim>& claims,
                            std::map<object_key, error>& problems)
{
    std::map<service_address, claim_rank> winners;
    for (const service_claim& c : claims)
        for (const service_address& a : c.spec.addresses)
        {
            claim_rank rank = rank_of(*c.object, a);
            const auto [found, first] = winners.try_emplace(a, rank);
            if (!first && rank < found->second)
                found->second = std::move(rank);
        }
    for (service_claim& c : claims)
    {
        auto& addresses = c.spec.addresses;
        const auto lost = [&](const service_address& a)
        {
            const object_key& winner = std::get<2>(winners.at(a));
            if (winner == c.object->key)
                return false;
            problems[c.object->key] = {errc::object_address_conflict,
                                       "spec.addresses: " + claim_name(a) +
                                           " is claimed by " +
                                           winner.to_string()};
            return true;
        };
        addresses.erase(
            std::remove_if(addresses.begin(), addresses.end(), lost),
            addresses.end());
    }
}

json address_claims(const std::vector<service_address>& held,
                    const json& former,
                    std::uint64_t now)
{
    json claims = json::object();
    for (const service_address& a : held)
        claims[claim_name(a)] = std::min(held_since(former, a), now);
    return claims;
}

} // namespace briarfield
