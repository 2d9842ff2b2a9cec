#ifndef BRIARFIELD_ROUTE_SERVICE_TABLE_HPP
#define BRIARFIELD_ROUTE_SERVICE_TABLE_HPP

#include "briarfield/packet/ip_packet.hpp"
#include "briarfield/route/bucket_map.hpp"

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

namespace briarfield
{

/// \brief Address, port and protocol at which callers reach a service.
struct service_address
{
    endpoint destination;
    transport protocol = transport::tcp;

    friend bool operator==(const service_address& a, const service_address& b)
    {
        return a.protocol == b.protocol && a.destination == b.destination;
    }
    friend bool operator<(const service_address& a, const service_address& b)
    {
        return a.protocol != b.protocol ? a.protocol < b.protocol
                                        : a.destination < b.destination;
    }
};

/// \brief Data of a service that the data path uses.
struct service_entry
{
    service_id service = 0;
    std::shared_ptr<const bucket_map> map; ///< Null until one is received.
};

/// \brief Hash table from destinations of packets to services.
///
/// Open addressing with linear probing over a power of two; lookups neither
/// allocate nor lock. Rebuilt as a whole when the configuration changes.
class service_table
{
public:
    /// \brief Inserts the entry of \a address; replaces an existing one.
    void insert(const service_address& address,
                std::shared_ptr<service_entry> entry);

    /// \brief Prefetches the memory that \ref find reads for \a key.
    void prefetch(const flow_key& key) const noexcept;

    /// \brief Entry of the packet's destination, or null.
    const service_entry* find(const flow_key& key) const noexcept;

    std::size_t size() const { return size_; }

private:
    struct slot
    {
        service_address address;
        std::shared_ptr<service_entry> entry;
    };

    static std::uint64_t hash(const endpoint& destination,
                              transport protocol) noexcept;
    void grow();

    std::vector<slot> slots_;
    std::size_t size_ = 0;
};

/// \brief Keyed hash of a flow, identical on all balancers with the same
/// secret.
///
/// XXH3 with a secret (Collet). Without the secret, a caller cannot choose the
/// bucket of a flow.
class flow_hasher
{
public:
    static constexpr std::size_t secret_size = 192; // Bytes.

    /// \brief Derives the secret from \a seed_key, of any length.
    explicit flow_hasher(const_byte_span seed_key);

    std::uint64_t operator()(const flow_key& key) const noexcept;

private:
    std::array<std::uint8_t, secret_size> secret_{};
};

} // namespace briarfield

#endif
