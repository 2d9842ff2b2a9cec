#include "briarfield/route/service_table.hpp"

#include "briarfield/core/byte_order.hpp"

#include <cstring>
#include <utility>

#define XXH_INLINE_ALL // Keys are too short to justify a call.
#include <xxhash.h>

namespace briarfield
{

namespace
{

constexpr std::size_t first_slot_count = 16;
constexpr std::size_t flow_key_bytes = 16 + 16 + 2 + 2 + 1;

} // namespace

std::uint64_t service_table::hash(const endpoint& destination,
                                  transport protocol) noexcept
{
    return endpoint_hash{}(destination) + static_cast<std::uint64_t>(protocol);
}

void service_table::insert(const service_address& address,
                           std::shared_ptr<service_entry> entry)
{
    if ((size_ + 1) * 2 > slots_.size())
        grow();
    const std::size_t mask = slots_.size() - 1;
    std::size_t i = hash(address.destination, address.protocol) & mask;
    while (slots_[i].entry && !(slots_[i].address == address))
        i = (i + 1) & mask;
    if (!slots_[i].entry)
        ++size_;
    slots_[i] = {address, std::move(entry)};
}

void service_table::grow()
{
    std::vector<slot> old = std::move(slots_);
    slots_.assign(old.empty() ? first_slot_count : old.size() * 2, slot{});
    size_ = 0;
    for (slot& s : old)
        if (s.entry)
            insert(s.address, std::move(s.entry));
}

void service_table::prefetch(const flow_key& key) const noexcept
{
    if (slots_.empty())
        return;
    const endpoint destination{key.destination, key.destination_port};
    __builtin_prefetch(
        &slots_[hash(destination, key.protocol) & (slots_.size() - 1)]);
}

const service_entry* service_table::find(const flow_key& key) const noexcept
{
    if (slots_.empty())
        return nullptr;
    const endpoint destination{key.destination, key.destination_port};
    const std::size_t mask = slots_.size() - 1;
    std::size_t i = hash(destination, key.protocol) & mask;
    while (slots_[i].entry)
    {
        const slot& s = slots_[i];
        if (s.address.protocol == key.protocol &&
            s.address.destination == destination)
            return s.entry.get();
        i = (i + 1) & mask;
    }
    return nullptr;
}

flow_hasher::flow_hasher(const_byte_span seed_key)
{
    for (std::size_t offset = 0; offset < secret_.size(); offset += 8)
        store_be64(
            &secret_[offset],
            XXH3_64bits_withSeed(seed_key.data(), seed_key.size(), offset));
}

std::uint64_t flow_hasher::operator()(const flow_key& key) const noexcept
{
    std::uint8_t bytes[flow_key_bytes];
    std::memcpy(bytes, key.source.bytes().data(), 16);
    std::memcpy(bytes + 16, key.destination.bytes().data(), 16);
    store_be16(bytes + 32, key.source_port);
    store_be16(bytes + 34, key.destination_port);
    bytes[36] = static_cast<std::uint8_t>(key.protocol);
    return XXH3_64bits_withSecret(bytes, sizeof bytes, secret_.data(),
                                  secret_.size());
}

} // namespace briarfield
