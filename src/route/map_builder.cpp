#include "briarfield/route/map_builder.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <optional>

namespace briarfield
{

namespace
{

constexpr std::uint16_t no_target = 0xffff;

/// Working state of one build; indexes are positions in `targets_`.
class map_build
{
public:
    map_build(const bucket_map& previous, const build_input& input)
        : previous_(previous), input_(input), targets_(input.targets)
    {
        std::sort(targets_.begin(), targets_.end(),
                  [](const build_target& a, const build_target& b)
                  { return a.instance < b.instance; });
        for (std::size_t i = 0; i < targets_.size(); ++i)
            index_[targets_[i].instance] = static_cast<std::uint16_t>(i);
    }

    bucket_map run()
    {
        carry_over();
        find_quotas();
        assign_unowned_buckets();
        move_surplus();
        return finish();
    }

private:
    bool alive(std::uint16_t target) const
    {
        return target != no_target && !targets_[target].dead;
    }

    std::uint16_t translate(std::uint16_t previous_target) const
    {
        const auto found =
            index_.find(previous_.targets[previous_target].instance);
        return found == index_.end() ? no_target : found->second;
    }

    /// Translates the previous owners; omits dead ones and earlier owners that
    /// have released the bucket.
    void carry_over()
    {
        const std::size_t count = previous_.buckets.empty()
                                      ? input_.bucket_count
                                      : previous_.buckets.size();
        buckets_.resize(count);
        for (std::size_t b = 0; b < previous_.buckets.size(); ++b)
            buckets_[b] = carry_bucket(static_cast<std::uint32_t>(b));
    }

    bucket_owners carry_bucket(std::uint32_t bucket) const
    {
        const bucket_owners& old = previous_.buckets[bucket];
        bucket_owners kept;
        if (old.length == 0)
            return kept;
        const std::uint16_t owner = translate(old.target[0]);
        kept.target[0] = alive(owner) ? owner : no_target;
        kept.length = 1;
        for (std::size_t i = 1; i < old.length; ++i)
        {
            const std::uint16_t earlier = translate(old.target[i]);
            if (!alive(earlier) || earlier == kept.target[0])
                continue;
            const instance_id id = targets_[earlier].instance;
            if (input_.released && input_.released(bucket, id))
                continue;
            kept.target[kept.length++] = earlier;
        }
        return kept;
    }

    double weight(std::size_t target) const
    {
        const build_target& t = targets_[target];
        return t.dead ? 0.0 : std::max(0.0, t.weight);
    }

    void count_owned()
    {
        owned_.assign(targets_.size(), 0);
        for (const bucket_owners& owners : buckets_)
            if (owners.length > 0 && owners.target[0] != no_target)
                ++owned_[owners.target[0]];
    }

    /// Each target's exact share, rounded down or up. Targets that already own
    /// more than the rounded-down share are rounded up first, to avoid a move;
    /// then those with the largest remainder.
    void find_quotas()
    {
        count_owned();
        quota_ = owned_;
        double total = 0;
        for (std::size_t i = 0; i < targets_.size(); ++i)
            total += weight(i);
        if (total <= 0)
            return;
        std::vector<double> remainder(targets_.size());
        std::uint32_t assigned = 0;
        for (std::size_t i = 0; i < targets_.size(); ++i)
        {
            const double exact =
                weight(i) / total * static_cast<double>(buckets_.size());
            quota_[i] = static_cast<std::uint32_t>(std::floor(exact));
            remainder[i] = exact - std::floor(exact);
            assigned += quota_[i];
        }
        const auto exceeds_quota = [&](std::size_t i)
        { return remainder[i] > 0 && owned_[i] > quota_[i]; };
        std::vector<std::size_t> order(targets_.size());
        std::iota(order.begin(), order.end(), 0U);
        std::stable_sort(order.begin(), order.end(),
                         [&](std::size_t a, std::size_t b)
                         {
                             if (exceeds_quota(a) != exceeds_quota(b))
                                 return exceeds_quota(a);
                             return remainder[a] > remainder[b];
                         });
        for (std::size_t i = 0; assigned < buckets_.size(); ++i, ++assigned)
            ++quota_[order[i % order.size()]];
    }

    /// The target furthest below its quota, or no_target.
    std::uint16_t furthest_below_quota() const
    {
        std::uint16_t best = no_target;
        std::int64_t max_shortfall = 0;
        for (std::size_t i = 0; i < targets_.size(); ++i)
        {
            const std::int64_t shortfall = std::int64_t{quota_[i]} - owned_[i];
            if (shortfall > max_shortfall)
            {
                best = static_cast<std::uint16_t>(i);
                max_shortfall = shortfall;
            }
        }
        return best;
    }

    /// Assigns buckets without a live owner, regardless of the move limit.
    void assign_unowned_buckets()
    {
        for (bucket_owners& owners : buckets_)
        {
            if (owners.length > 0 && owners.target[0] != no_target)
                continue;
            const std::uint16_t new_owner = furthest_below_quota();
            if (new_owner == no_target)
                continue;
            if (owners.length == 0)
                owners.length = 1;
            owners.target[0] = new_owner;
            drop_duplicate(owners);
            ++owned_[new_owner];
        }
    }

    static void drop_duplicate(bucket_owners& owners)
    {
        std::uint8_t kept = 1;
        for (std::uint8_t i = 1; i < owners.length; ++i)
            if (owners.target[i] != owners.target[0])
                owners.target[kept++] = owners.target[i];
        owners.length = kept;
    }

    /// Moves buckets from targets above their quota to those below it.
    void move_surplus()
    {
        std::uint32_t moved = 0;
        for (bucket_owners& owners : buckets_)
        {
            if (moved >= input_.move_limit)
                return;
            if (owners.length == 0 || owners.target[0] == no_target)
                continue;
            const std::uint16_t owner = owners.target[0];
            if (owned_[owner] <= quota_[owner])
                continue;
            const std::uint16_t new_owner = furthest_below_quota();
            if (new_owner == no_target)
                return;
            if (!push_owner(owners, new_owner))
                continue;
            --owned_[owner];
            ++owned_[new_owner];
            ++moved;
        }
    }

    /// Makes \a new_owner the current owner; false if the chain is full.
    static bool push_owner(bucket_owners& owners, std::uint16_t new_owner)
    {
        const auto end = owners.target.begin() + owners.length;
        const auto found = std::find(owners.target.begin(), end, new_owner);
        if (found != end)
        {
            std::rotate(owners.target.begin(), found, found + 1);
            return true;
        }
        if (owners.length == max_chain_length)
            return false;
        std::copy_backward(owners.target.begin(), end, end + 1);
        owners.target[0] = new_owner;
        ++owners.length;
        return true;
    }

    bucket_map finish() const
    {
        bucket_map map;
        map.service = input_.service;
        map.version = input_.version;
        for (const build_target& t : targets_)
            map.targets.push_back({t.instance, t.agent});
        map.buckets = buckets_;
        for (bucket_owners& owners : map.buckets)
            if (owners.length > 0 && owners.target[0] == no_target)
                owners.length = 0;
        return map;
    }

    const bucket_map& previous_;
    const build_input& input_;
    std::vector<build_target> targets_;
    std::map<instance_id, std::uint16_t> index_;
    std::vector<bucket_owners> buckets_;
    std::vector<std::uint32_t> quota_;
    std::vector<std::uint32_t> owned_;
};

/// Adds the targets of \a loser to \a merged; returns their positions there.
std::vector<std::uint16_t> join_targets(bucket_map& merged,
                                        const bucket_map& loser)
{
    std::map<instance_id, std::uint16_t> index;
    for (std::size_t i = 0; i < merged.targets.size(); ++i)
        index[merged.targets[i].instance] = static_cast<std::uint16_t>(i);
    std::vector<std::uint16_t> joined;
    for (const map_target& t : loser.targets)
    {
        const auto next = static_cast<std::uint16_t>(merged.targets.size());
        const auto [position, inserted] = index.try_emplace(t.instance, next);
        if (inserted)
            merged.targets.push_back(t);
        joined.push_back(position->second);
    }
    return joined;
}

/// Appends \a target unless it is present or the chain is full.
void append_owner(bucket_owners& owners, std::uint16_t target)
{
    const auto end = owners.target.begin() + owners.length;
    if (std::find(owners.target.begin(), end, target) != end)
        return;
    if (owners.length < max_chain_length)
        owners.target[owners.length++] = target;
}

bucket_owners join_owners(const bucket_owners& winner,
                          const bucket_owners& loser,
                          const std::vector<std::uint16_t>& joined)
{
    bucket_owners all;
    if (winner.length > 0)
        append_owner(all, winner.target[0]);
    if (loser.length > 0)
        append_owner(all, joined[loser.target[0]]);
    for (std::size_t i = 1; i < winner.length; ++i)
        append_owner(all, winner.target[i]);
    for (std::size_t i = 1; i < loser.length; ++i)
        append_owner(all, joined[loser.target[i]]);
    return all;
}

} // namespace

bucket_map merge_bucket_maps(const bucket_map& winner, const bucket_map& loser)
{
    bucket_map merged = winner;
    if (winner.buckets.size() != loser.buckets.size())
        return merged;
    const std::vector<std::uint16_t> joined = join_targets(merged, loser);
    for (std::size_t b = 0; b < merged.buckets.size(); ++b)
        merged.buckets[b] =
            join_owners(winner.buckets[b], loser.buckets[b], joined);
    return merged;
}

bucket_map build_bucket_map(const bucket_map& previous,
                            const build_input& input)
{
    return map_build(previous, input).run();
}

std::uint32_t count_moved(const bucket_map& before, const bucket_map& after)
{
    const auto owner = [](const bucket_map& m, std::size_t b)
    {
        return m.buckets[b].length == 0
                   ? instance_id{0}
                   : m.targets[m.buckets[b].target[0]].instance;
    };
    std::uint32_t moved = 0;
    const std::size_t count =
        std::min(before.buckets.size(), after.buckets.size());
    for (std::size_t b = 0; b < count; ++b)
        if (owner(before, b) != owner(after, b))
            ++moved;
    return moved;
}

} // namespace briarfield
