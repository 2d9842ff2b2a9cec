#include "briarfield/core/byte_order.hpp"
#include "briarfield/packet/overlay_header.hpp"

#include <algorithm>
#include <cstring>
#include <openssl/evp.h>

namespace briarfield
{

namespace
{

constexpr std::size_t block_size = 16; // Bytes.

/// Blocks of the longest message: one with the length, then the covered bytes.
constexpr std::size_t max_blocks =
    1 + (overlay_max_covered + block_size - 1) / block_size;

/// Maximum number of messages encrypted in parallel.
constexpr std::size_t lane_count = 64;

/// AES-128 encryption with one key in one mode of OpenSSL, without padding.
class block_cipher
{
public:
    block_cipher(const EVP_CIPHER* mode, const std::uint8_t* key)
        : context_(EVP_CIPHER_CTX_new())
    {
        constexpr std::uint8_t zero_iv[block_size] = {};
        EVP_EncryptInit_ex(context_, mode, nullptr, key, zero_iv);
        EVP_CIPHER_CTX_set_padding(context_, 0);
    }
    ~block_cipher() { EVP_CIPHER_CTX_free(context_); }
    block_cipher(const block_cipher&) = delete;
    block_cipher& operator=(const block_cipher&) = delete;

    /// Resets the chaining value of CBC to zero.
    void restart() const noexcept
    {
        constexpr std::uint8_t zero_iv[block_size] = {};
        EVP_EncryptInit_ex(context_, nullptr, nullptr, nullptr, zero_iv);
    }

    void encrypt(std::uint8_t* blocks, std::size_t count) const noexcept
    {
        int written = 0;
        EVP_EncryptUpdate(context_, blocks, &written, blocks,
                          static_cast<int>(count * block_size));
    }

private:
    EVP_CIPHER_CTX* context_;
};

/// Doubling in GF(2^128), which derives the subkeys (RFC 4493, section 2.3).
overlay_mac gf128_double(const overlay_mac& in)
{
    constexpr std::uint8_t polynomial = 0x87;
    overlay_mac out;
    for (std::size_t i = 0; i < block_size; ++i)
    {
        const unsigned next = i + 1 < block_size ? in[i + 1] >> 7U : 0U;
        out[i] = static_cast<std::uint8_t>(in[i] << 1U | next);
    }
    if ((in[0] & 0x80U) != 0)
        out[block_size - 1] ^= polynomial;
    return out;
}

void xor_block(std::uint8_t* into, const std::uint8_t* from) noexcept
{
    std::uint64_t a[2];
    std::uint64_t b[2];
    std::memcpy(a, into, block_size);
    std::memcpy(b, from, block_size);
    a[0] ^= b[0];
    a[1] ^= b[1];
    std::memcpy(into, a, block_size);
}

std::size_t block_count(const overlay_mac_input& input) noexcept
{
    return 1 + (input.covered.size() + block_size - 1) / block_size;
}

} // namespace

/// Cipher contexts and CMAC subkeys derived from one key.
struct overlay_keyring::schedule
{
    explicit schedule(const key_type& key)
        : ecb(EVP_aes_128_ecb(), key.data()), cbc(EVP_aes_128_cbc(), key.data())
    {
        overlay_mac zero{};
        ecb.encrypt(zero.data(), 1);
        full_subkey = gf128_double(zero);
        padded_subkey = gf128_double(full_subkey);
    }

    /// XORs block \a index of a message into \a state, and the subkey if it is
    /// the last block.
    void add_block(const overlay_mac_input& input,
                   std::size_t index,
                   std::uint8_t* state) const noexcept
    {
        if (index == 0)
        {
            std::uint8_t length[block_size] = {};
            store_be32(length, input.datagram_size);
            xor_block(state, length);
            if (input.covered.empty())
                xor_block(state, full_subkey.data());
            return;
        }
        const std::size_t offset = (index - 1) * block_size;
        const std::size_t available = input.covered.size() - offset;
        if (available >= block_size)
        {
            xor_block(state, input.covered.data() + offset);
            if (available == block_size)
                xor_block(state, full_subkey.data());
            return;
        }
        std::uint8_t padded[block_size] = {};
        std::memcpy(padded, input.covered.data() + offset, available);
        padded[available] = 0x80;
        xor_block(state, padded);
        xor_block(state, padded_subkey.data());
    }

    /// MAC of one message; encrypts all of its blocks with one call in CBC
    /// mode.
    void mac_single(const overlay_mac_input& input,
                    overlay_mac& out) const noexcept
    {
        std::uint8_t blocks[max_blocks * block_size] = {};
        const std::size_t count = block_count(input);
        for (std::size_t i = 0; i < count; ++i)
            add_block(input, i, blocks + i * block_size);
        cbc.restart();
        cbc.encrypt(blocks, count);
        std::memcpy(out.data(), blocks + (count - 1) * block_size, block_size);
    }

    /// MACs of up to \ref lane_count messages; one call encrypts the block of
    /// the same index of all messages. CBC chaining is done here, over ECB.
    void mac_batch(const overlay_mac_input* inputs,
                   overlay_mac* macs,
                   std::size_t count) const noexcept
    {
        std::uint8_t states[lane_count * block_size] = {};
        std::size_t lanes[lane_count];
        std::size_t index = 0;
        std::size_t active = 0;
        for (; active < count; ++active)
            lanes[active] = active;
        for (const std::size_t end = shared_inner_blocks(inputs, count);
             index < end; ++index)
        {
            for (std::size_t i = 0; i < count; ++i)
                add_inner_block(inputs[i], index, states + i * block_size);
            ecb.encrypt(states, count);
        }
        for (; active > 0; ++index)
        {
            for (std::size_t i = 0; i < active; ++i)
                add_block(inputs[lanes[i]], index, states + i * block_size);
            ecb.encrypt(states, active);
            std::size_t remaining = 0;
            for (std::size_t i = 0; i < active; ++i)
            {
                const std::uint8_t* state = states + i * block_size;
                const std::size_t lane = lanes[i];
                if (index + 1 == block_count(inputs[lane]))
                {
                    std::memcpy(macs[lane].data(), state, block_size);
                    continue;
                }
                std::memmove(states + remaining * block_size, state,
                             block_size);
                lanes[remaining++] = lane;
            }
            active = remaining;
        }
    }

    /// Number of blocks that all messages have before their last one.
    static std::size_t shared_inner_blocks(const overlay_mac_input* inputs,
                                           std::size_t count) noexcept
    {
        std::size_t min_count = max_blocks;
        for (std::size_t i = 0; i < count; ++i)
            min_count = std::min(min_count, block_count(inputs[i]) - 1);
        return count == 0 ? 0 : min_count;
    }

    /// Like \ref add_block, for a block that is not the last of its message.
    static void add_inner_block(const overlay_mac_input& input,
                                std::size_t index,
                                std::uint8_t* state) noexcept
    {
        if (index == 0)
            return store_be32(state, input.datagram_size);
        xor_block(state, input.covered.data() + (index - 1) * block_size);
    }

    block_cipher ecb;
    block_cipher cbc;
    overlay_mac full_subkey;   ///< For a complete last block (K1).
    overlay_mac padded_subkey; ///< For a padded last block (K2).
};

void overlay_keyring::set_signing_key(std::uint8_t id, const key_type& key)
{
    signing_ = {id, std::make_shared<const schedule>(key)};
}

void overlay_keyring::set_other_key(std::uint8_t id, const key_type& key)
{
    other_ = {id, std::make_shared<const schedule>(key)};
}

void overlay_keyring::clear_other_key()
{
    other_ = {};
}

const overlay_keyring::schedule*
overlay_keyring::find(std::uint8_t id) const noexcept
{
    if (signing_.keys && signing_.id == id)
        return signing_.keys.get();
    if (other_.keys && other_.id == id)
        return other_.keys.get();
    return nullptr;
}

bool overlay_keyring::authenticate(std::uint8_t id,
                                   const overlay_mac_input* inputs,
                                   overlay_mac* macs,
                                   std::size_t count) const noexcept
{
    const schedule* keys = find(id);
    if (keys == nullptr)
        return false;
    if (count == 1)
    {
        keys->mac_single(*inputs, *macs);
        return true;
    }
    for (std::size_t first = 0; first < count; first += lane_count)
        keys->mac_batch(inputs + first, macs + first,
                        std::min(lane_count, count - first));
    return true;
}

} // namespace briarfield
