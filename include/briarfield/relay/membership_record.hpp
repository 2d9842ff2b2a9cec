#ifndef BRIARFIELD_RELAY_MEMBERSHIP_RECORD_HPP
#define BRIARFIELD_RELAY_MEMBERSHIP_RECORD_HPP

#include "briarfield/core/endpoint.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace briarfield
{

/// \brief Kind of a process that has a record in the store.
enum class member_kind : std::uint8_t
{
    agent,
    balancer,
    count_
};

/// \brief Label of \a kind in logs.
std::string_view member_kind_name(member_kind kind) noexcept;

/// \brief Record of a process in the store.
struct membership_record
{
    std::string name; ///< Of the instance.
    endpoint relay;   ///< Address at which the process receives frames.
    /// Differs with each start of the process; 0 if it is not recorded.
    std::uint64_t incarnation = 0;
    std::uint64_t revision = 0; ///< Of the store.
};

/// \brief All records of a kind.
using record_list = std::vector<membership_record>;

} // namespace briarfield

#endif
