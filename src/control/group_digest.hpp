#ifndef BRIARFIELD_SRC_CONTROL_GROUP_DIGEST_HPP
#define BRIARFIELD_SRC_CONTROL_GROUP_DIGEST_HPP

#include <array>
#include <bitset>
#include <cstdint>
#include <cstring>
#include <map>
#include <string>
#include <string_view>

namespace briarfield
{

/// Hashes two numbers into one; not cryptographic.
inline std::uint64_t mix_hash(std::uint64_t a, std::uint64_t b)
{
    std::uint64_t hash = a * 0x9e3779b97f4a7c15ULL + b;
    hash = (hash ^ (hash >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    hash = (hash ^ (hash >> 27U)) * 0x94d049bb133111ebULL;
    return hash ^ (hash >> 31U);
}

/// Digest of keyed items: one hash per group of keys.
///
/// The hash of a group is the XOR of its items' hashes. A changed item is
/// removed with its old state and added with its new one, without iterating
/// over all items.
template <std::size_t Groups>
class group_digest
{
public:
    static constexpr std::size_t encoded_size = Groups * 4; // Bytes.

    static std::size_t group_of(std::uint64_t key)
    {
        return mix_hash(key, 0) % Groups;
    }

    /// Adds an item, or removes it if it was added before.
    void toggle(std::uint64_t key, std::uint64_t state)
    {
        hashes_[group_of(key)] ^=
            static_cast<std::uint32_t>(mix_hash(key, state));
    }

    std::string encode() const
    {
        std::string bytes(encoded_size, '\0');
        std::memcpy(bytes.data(), hashes_.data(), encoded_size);
        return bytes;
    }

    /// Whether the encoded digest \a peer differs in the group of \a key.
    ///
    /// A digest of the wrong size differs in all groups.
    bool differs(std::string_view peer, std::uint64_t key) const
    {
        return group_differs(peer, group_of(key));
    }

    bool group_differs(std::string_view peer, std::size_t group) const
    {
        if (peer.size() != encoded_size)
            return true;
        return std::memcmp(peer.data() + group * 4, &hashes_[group], 4) != 0;
    }

private:
    std::array<std::uint32_t, Groups> hashes_{};
};

/// Finer digest: the individual items of some groups.
///
/// Encoded as a marker byte, the number of groups minus 1, the group numbers (1
/// byte each), then key and state of each item (8 bytes each).
template <std::size_t Groups>
class item_digest
{
public:
    static_assert(Groups <= 256, "a group number is one byte");

    static constexpr std::size_t item_size = 16; // Bytes.

    /// Reads \a bytes; returns false if they are not an item digest.
    bool read(std::string_view bytes)
    {
        if (bytes.size() < 2 || bytes[0] != mark)
            return false;
        const std::size_t count = static_cast<std::uint8_t>(bytes[1]) + 1U;
        if (bytes.size() < 2 + count || (bytes.size() - 2 - count) % item_size)
            return false;
        for (std::size_t i = 0; i < count; ++i)
            groups_.set(static_cast<std::uint8_t>(bytes[2 + i]) % Groups);
        for (std::size_t offset = 2 + count; offset < bytes.size();
             offset += item_size)
        {
            std::uint64_t item[2];
            std::memcpy(item, bytes.data() + offset, item_size);
            items_[item[0]] = item[1];
        }
        return true;
    }

    /// Whether the items in the group of \a key are listed.
    bool lists(std::uint64_t key) const
    {
        return groups_.test(group_digest<Groups>::group_of(key));
    }

    bool lists_group(std::size_t group) const { return groups_.test(group); }

    /// State of item \a key in the digest; 0 if not listed.
    std::uint64_t state(std::uint64_t key) const
    {
        const auto found = items_.find(key);
        return found == items_.end() ? 0 : found->second;
    }

    void add_group(std::size_t group) { groups_.set(group); }

    void add_item(std::uint64_t key, std::uint64_t state)
    {
        items_[key] = state;
    }

    std::string encode() const
    {
        if (groups_.none())
            return {};
        std::string bytes{mark, static_cast<char>(groups_.count() - 1)};
        for (std::size_t g = 0; g < Groups; ++g)
            if (groups_.test(g))
                bytes += static_cast<char>(g);
        for (const auto& [key, state] : items_)
        {
            const std::uint64_t item[2] = {key, state};
            bytes.append(reinterpret_cast<const char*>(item), item_size);
        }
        return bytes;
    }

private:
    static constexpr char mark = 'i';

    std::bitset<Groups> groups_;
    std::map<std::uint64_t, std::uint64_t> items_;
};

/// Encodes an item digest of \a items, which are pairs of key and state.
///
/// If \a peer is an item digest, includes the groups listed there, otherwise
/// the groups that differ from the group digest \a peer. Groups beyond about
/// \a limit bytes are omitted; they follow once the first ones are equal.
template <std::size_t Groups, class Items>
std::string
detail_against(std::string_view peer, const Items& items, std::size_t limit)
{
    group_digest<Groups> own;
    std::array<std::size_t, Groups> count{};
    for (const auto& [key, state] : items)
    {
        own.toggle(key, state);
        ++count[group_digest<Groups>::group_of(key)];
    }
    item_digest<Groups> requested;
    const bool listed = requested.read(peer);
    item_digest<Groups> out;
    std::bitset<Groups> chosen;
    std::size_t size = 0;
    for (std::size_t g = 0; g < Groups && size < limit; ++g)
    {
        const bool wanted =
            listed ? requested.lists_group(g) : own.group_differs(peer, g);
        if (!wanted)
            continue;
        size += 1 + count[g] * item_digest<Groups>::item_size;
        chosen.set(g);
        out.add_group(g);
    }
    for (const auto& [key, state] : items)
        if (chosen.test(group_digest<Groups>::group_of(key)))
            out.add_item(key, state);
    return out.encode();
}

} // namespace briarfield

#endif
