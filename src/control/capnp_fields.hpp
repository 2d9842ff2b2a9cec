#ifndef BRIARFIELD_SRC_CONTROL_CAPNP_FIELDS_HPP
#define BRIARFIELD_SRC_CONTROL_CAPNP_FIELDS_HPP

#include "control.capnp.h"

#include "briarfield/control/membership.hpp"
#include "briarfield/core/endpoint.hpp"

#include <algorithm>
#include <string>
#include <string_view>

namespace briarfield
{

constexpr std::size_t wire_address_size = 16; // Bytes.

inline capnp::Data::Reader data_reader(std::string_view bytes)
{
    return kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()),
                        bytes.size());
}

inline std::string string_of(capnp::Data::Reader data)
{
    return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

inline void write_endpoint(wire::Address::Builder writer,
                           const endpoint& target)
{
    auto out = writer.initAddress(wire_address_size);
    std::copy(target.address.bytes().begin(), target.address.bytes().end(),
              out.begin());
    writer.setPort(target.port);
}

/// Errors: errc::message_malformed.
inline result<endpoint> read_endpoint(wire::Address::Reader reader)
{
    const auto address = reader.getAddress();
    if (address.size() != wire_address_size)
        return fail(errc::message_malformed, "invalid address size");
    return endpoint{ip_address::from_v6(address.begin()), reader.getPort()};
}

void write_record(wire::BalancerRecord::Builder writer,
                  const balancer_record& record);

/// Errors: errc::message_malformed.
result<balancer_record> read_record(wire::BalancerRecord::Reader reader);

} // namespace briarfield

#endif
