#include "chain_codec.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace briarfield
{

namespace
{

/// Number of bits of an index below \a count; 0 if \a count is 1.
unsigned index_bits(std::size_t count)
{
    unsigned bits = 0;
    while ((std::size_t{1} << bits) < count)
        ++bits;
    return bits;
}

/// Collects the distinct chains, then writes them and each bucket's position.
class chain_writer
{
public:
    explicit chain_writer(const std::vector<bucket_owners>& buckets)
    {
        for (const bucket_owners& owners : buckets)
            positions_.push_back(position_of(owners));
        bytes_ += static_cast<char>(index_bits(buckets.size()));
        write_u16(chains_.size());
        for (const bucket_owners* owners : chains_)
            write_chain(*owners);
        write_positions();
    }

    const std::string& bytes() const { return bytes_; }

private:
    using chain_key = std::pair<std::uint8_t, decltype(bucket_owners::target)>;

    std::size_t position_of(const bucket_owners& owners)
    {
        chain_key key{owners.length, {}};
        std::copy_n(owners.target.begin(), owners.length, key.second.begin());
        const auto [entry, inserted] =
            chain_index_.try_emplace(key, chains_.size());
        if (inserted)
            chains_.push_back(&owners);
        return entry->second;
    }

    void write_u16(std::size_t value)
    {
        bytes_ += static_cast<char>(value & 0xffU);
        bytes_ += static_cast<char>(value >> 8U & 0xffU);
    }

    void write_chain(const bucket_owners& owners)
    {
        bytes_ += static_cast<char>(owners.length);
        for (std::size_t i = 0; i < owners.length; ++i)
            write_u16(owners.target[i]);
    }

    void write_positions()
    {
        const unsigned bits = index_bits(chains_.size());
        std::uint64_t pending = 0;
        unsigned bit_count = 0;
        for (const std::size_t position : positions_)
        {
            pending |= std::uint64_t{position} << bit_count;
            for (bit_count += bits; bit_count >= 8;
                 bit_count -= 8, pending >>= 8U)
                bytes_ += static_cast<char>(pending & 0xffU);
        }
        if (bit_count > 0)
            bytes_ += static_cast<char>(pending & 0xffU);
    }

    std::map<chain_key, std::size_t> chain_index_;
    std::vector<const bucket_owners*> chains_;
    std::vector<std::size_t> positions_;
    std::string bytes_;
};

/// Reads the output of chain_writer; never reads past the end.
class chain_reader
{
public:
    chain_reader(const_byte_span bytes, std::size_t targets)
        : bytes_(bytes), targets_(targets)
    {
    }

    result<void> read(std::vector<bucket_owners>& buckets)
    {
        const unsigned bucket_log = read_byte();
        const std::size_t count = read_u16();
        if (bucket_log > max_bucket_log || count == 0)
            return fail(errc::message_malformed,
                        "invalid number of buckets or chains");
        for (std::size_t i = 0; i < count && !failed_; ++i)
            chains_.push_back(read_chain());
        read_positions(std::size_t{1} << bucket_log, buckets);
        if (failed_ || offset_ != bytes_.size())
            return fail(errc::message_malformed, "invalid owner chains");
        return ok();
    }

private:
    static constexpr unsigned max_bucket_log = 16;

    unsigned read_byte()
    {
        failed_ = failed_ || offset_ >= bytes_.size();
        return failed_ ? 0U : bytes_[offset_++];
    }

    std::uint16_t read_u16()
    {
        const unsigned low = read_byte();
        return static_cast<std::uint16_t>(read_byte() << 8U | low);
    }

    bucket_owners read_chain()
    {
        bucket_owners owners;
        owners.length = static_cast<std::uint8_t>(read_byte());
        failed_ = failed_ || owners.length > max_chain_length;
        for (std::size_t i = 0; i < owners.length && !failed_; ++i)
        {
            owners.target[i] = read_u16();
            failed_ = failed_ || owners.target[i] >= targets_;
        }
        return owners;
    }

    void read_positions(std::size_t count, std::vector<bucket_owners>& buckets)
    {
        const unsigned bits = index_bits(chains_.size());
        std::uint64_t pending = 0;
        unsigned bit_count = 0;
        for (std::size_t b = 0; b < count && !failed_; ++b)
        {
            for (; bit_count < bits; bit_count += 8)
                pending |= std::uint64_t{read_byte()} << bit_count;
            const std::size_t position =
                pending & ((std::uint64_t{1} << bits) - 1);
            pending >>= bits;
            bit_count -= bits;
            failed_ = failed_ || position >= chains_.size();
            if (!failed_)
                buckets.push_back(chains_[position]);
        }
    }

    const_byte_span bytes_;
    std::size_t targets_;
    std::size_t offset_ = 0;
    bool failed_ = false;
    std::vector<bucket_owners> chains_;
};

} // namespace

std::string encode_chains(const std::vector<bucket_owners>& buckets)
{
    return chain_writer(buckets).bytes();
}

result<void> decode_chains(const_byte_span bytes,
                           std::size_t targets,
                           std::vector<bucket_owners>& buckets)
{
    return chain_reader(bytes, targets).read(buckets);
}

} // namespace briarfield
