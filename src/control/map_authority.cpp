#include "briarfield/control/map_authority.hpp"

#include "capnp_codec.hpp"
#include "capnp_fields.hpp"
#include "chain_codec.hpp"
#include "group_digest.hpp"

#include <algorithm>
#include <spdlog/spdlog.h>

namespace briarfield
{

namespace
{

constexpr std::string_view event_names[] = {
    "built", "unchanged", "adopted", "outdated", "merged", "deferred"};

constexpr std::size_t digest_groups = 128;
constexpr std::size_t max_targets = 0xfff0;
/// Interval between attempts to build a map whose inputs are incomplete.
constexpr duration defer_delay = std::chrono::milliseconds(100);

using digest_type = group_digest<digest_groups>;

std::uint32_t author_of(map_version version)
{
    return static_cast<std::uint32_t>(
        version.value & ((std::uint64_t{1} << map_version::author_bits) - 1));
}

std::uint64_t counter_of(map_version version)
{
    return version.value >> map_version::author_bits;
}

bool same_content(const bucket_map& a, const bucket_map& b)
{
    const auto same_target = [](const map_target& left, const map_target& right)
    { return left.instance == right.instance && left.agent == right.agent; };
    return a.buckets == b.buckets && a.targets.size() == b.targets.size() &&
           std::equal(a.targets.begin(), a.targets.end(), b.targets.begin(),
                      same_target);
}

void write_map(wire::BucketMap::Builder writer,
               const map_authority::versioned_map& versioned)
{
    writer.setService(versioned.map->service);
    writer.setVersion(versioned.map->version.value);
    const auto& runs = versioned.lineage.runs();
    auto lineage = writer.initLineage(static_cast<unsigned>(runs.size()));
    for (unsigned i = 0; i < lineage.size(); ++i)
    {
        lineage[i].setAuthor(runs[i].author);
        lineage[i].setFirst(runs[i].first);
        lineage[i].setLast(runs[i].last);
    }
    auto targets = writer.initTargets(
        static_cast<unsigned>(versioned.map->targets.size()));
    for (unsigned i = 0; i < targets.size(); ++i)
    {
        targets[i].setInstance(versioned.map->targets[i].instance);
        write_endpoint(targets[i].initAgent(), versioned.map->targets[i].agent);
    }
    writer.setChains(data_reader(encode_chains(versioned.map->buckets)));
}

result<map_authority::versioned_map> read_map(wire::BucketMap::Reader reader)
{
    auto map = std::make_shared<bucket_map>();
    map_authority::versioned_map versioned;
    map->service = reader.getService();
    map->version = {reader.getVersion()};
    for (const auto run : reader.getLineage())
        versioned.lineage.append(
            {run.getAuthor(), run.getFirst(), run.getLast()});
    if (reader.getTargets().size() > max_targets)
        return fail(errc::message_malformed, "bucket map has too many targets");
    for (const auto item : reader.getTargets())
    {
        auto agent = read_endpoint(item.getAgent());
        if (!agent)
            return fail(agent.error().code, agent.error().detail);
        map->targets.push_back({item.getInstance(), agent.value()});
    }
    auto chains =
        decode_chains({reader.getChains().begin(), reader.getChains().size()},
                      map->targets.size(), map->buckets);
    if (!chains)
        return fail(chains.error().code, chains.error().detail);
    versioned.map = std::move(map);
    return versioned;
}

} // namespace

std::string_view map_event_name(map_event event) noexcept
{
    return event_names[static_cast<std::size_t>(event)];
}

void map_lineage::append(const run& r)
{
    const auto place = std::upper_bound(runs_.begin(), runs_.end(), r,
                                        [](const run& a, const run& b)
                                        { return a.first < b.first; });
    runs_.insert(place, r);
    if (runs_.size() <= max_runs)
        return;
    runs_.erase(runs_.begin());
    truncated_ = true;
}

void map_lineage::add(map_version version)
{
    if (covers(version))
        return;
    const std::uint32_t author = author_of(version);
    const std::uint64_t counter = counter_of(version);
    for (run& r : runs_)
        if (r.author == author && r.last + 1 == counter)
        {
            r.last = counter;
            return;
        }
    append({author, counter, counter});
}

void map_lineage::add(const map_lineage& other)
{
    for (const run& theirs : other.runs_)
    {
        const auto own = std::find_if(runs_.begin(), runs_.end(),
                                      [&](const run& r)
                                      {
                                          return r.author == theirs.author &&
                                                 theirs.first <= r.last + 1 &&
                                                 r.first <= theirs.last + 1;
                                      });
        if (own == runs_.end())
        {
            append(theirs);
            continue;
        }
        own->first = std::min(own->first, theirs.first);
        own->last = std::max(own->last, theirs.last);
    }
    truncated_ = truncated_ || other.truncated_;
}

bool map_lineage::covers(map_version version) const
{
    const std::uint32_t author = author_of(version);
    const std::uint64_t counter = counter_of(version);
    const bool dropped = truncated_ || runs_.size() == max_runs;
    if (dropped && counter < runs_.front().first)
        return true;
    return std::any_of(runs_.begin(), runs_.end(),
                       [&](const run& r) {
                           return r.author == author && r.first <= counter &&
                                  counter <= r.last;
                       });
}

map_authority::map_authority(instance_id balancer,
                             std::uint64_t incarnation,
                             const clock& c,
                             options opts)
    : author_(mix_hash(balancer, incarnation)), clock_(&c), options_(opts)
{
}

void map_authority::set_services(
    const std::map<service_id, std::uint32_t>& services)
{
    for (const auto& [id, count] : bucket_counts_)
        if (services.count(id) == 0)
        {
            removed_.insert(id);
            digest_.clear();
            maps_.erase(id);
            build_times_.erase(id);
        }
    for (const auto& [id, count] : services)
    {
        removed_.erase(id);
        if (bucket_counts_.count(id) == 0)
            input_changed(id, map_urgency::normal);
    }
    bucket_counts_ = services;
}

void map_authority::input_changed(service_id service, map_urgency urgency)
{
    const duration delays[] = {options_.urgent_delay, options_.normal_delay,
                               options_.relaxed_delay};
    const time_point due =
        clock_->now() + delays[static_cast<std::size_t>(urgency)];
    const auto [place, inserted] = build_times_.emplace(service, due);
    if (!inserted && due < place->second)
        place->second = due;
}

void map_authority::authors_changed()
{
    for (const auto& [id, count] : bucket_counts_)
        input_changed(id, map_urgency::normal);
}

void map_authority::poll()
{
    const time_point now = clock_->now();
    std::vector<service_id> ready;
    for (const auto& [id, due] : build_times_)
        if (due <= now)
            ready.push_back(id);
    for (const service_id id : ready)
    {
        build_times_.erase(id);
        build(id);
    }
}

void map_authority::build(service_id service)
{
    const auto count = bucket_counts_.find(service);
    if (count == bucket_counts_.end() || !is_author(service))
        return;
    const auto found = maps_.find(service);
    const bucket_map* current =
        found == maps_.end() ? nullptr : found->second.map.get();
    map_input inputs;
    if (synchronized_)
        inputs = input(service, current);
    if (!inputs.complete)
    {
        counters_.add(map_event::deferred);
        build_times_.emplace(service, clock_->now() + defer_delay);
        return;
    }
    if (inputs.targets.empty())
        return;
    const bucket_map previous = current == nullptr ? bucket_map{} : *current;
    build_input next_input;
    next_input.service = service;
    next_input.version = previous.version.next(author_);
    next_input.bucket_count = count->second;
    next_input.targets = std::move(inputs.targets);
    next_input.released = std::move(inputs.released);
    auto next =
        std::make_shared<bucket_map>(build_bucket_map(previous, next_input));
    if (current != nullptr && same_content(*next, *current))
    {
        counters_.add(map_event::unchanged);
        return;
    }
    counters_.add(map_event::built);
    map_lineage lineage;
    if (found != maps_.end())
        lineage = found->second.lineage;
    lineage.add(next->version);
    install({std::move(next), std::move(lineage)});
}

std::shared_ptr<const bucket_map> map_authority::map(service_id service) const
{
    const auto found = maps_.find(service);
    return found == maps_.end() ? nullptr : found->second.map;
}

void map_authority::install(const versioned_map& m)
{
    digest_.clear();
    maps_[m.map->service] = m;
    if (on_map)
        on_map(m.map->service);
}

void map_authority::apply(const versioned_map& received)
{
    const service_id service = received.map->service;
    if (removed_.count(service) != 0)
        return;
    const auto found = maps_.find(service);
    const bool covered = found != maps_.end() &&
                         found->second.lineage.covers(received.map->version);
    if (covered)
    {
        counters_.add(map_event::outdated);
        return;
    }
    const bool is_successor =
        found == maps_.end() ||
        received.lineage.covers(found->second.map->version);
    if (is_successor)
    {
        counters_.add(map_event::adopted);
        install(received);
        return;
    }
    const versioned_map merged_map = merge_maps(found->second, received);
    counters_.add(map_event::merged);
    spdlog::info("event=maps_merged service={:016x} known={:x} taken={:x} "
                 "version={:x}",
                 service, found->second.map->version.value,
                 received.map->version.value, merged_map.map->version.value);
    install(merged_map);
    if (on_merged)
        on_merged(*merged_map.map);
    input_changed(service, map_urgency::normal);
}

/// Pure and symmetric, so that all balancers that merge the same two versions
/// get the same result.
map_authority::versioned_map map_authority::merge_maps(const versioned_map& a,
                                                       const versioned_map& b)
{
    const bool b_is_newer = a.map->version < b.map->version;
    const versioned_map& winner = b_is_newer ? b : a;
    const versioned_map& loser = b_is_newer ? a : b;
    auto map = std::make_shared<bucket_map>(
        merge_bucket_maps(*winner.map, *loser.map));
    map->version = winner.map->version.next(
        mix_hash(winner.map->version.value, loser.map->version.value));
    versioned_map merged_map;
    merged_map.lineage = winner.lineage;
    merged_map.lineage.add(loser.lineage);
    merged_map.lineage.add(map->version);
    merged_map.map = std::move(map);
    return merged_map;
}

std::string map_authority::digest() const
{
    if (!digest_.empty())
        return digest_;
    digest_type groups;
    for (const auto& [id, entry] : maps_)
        groups.toggle(id, entry.map->version.value);
    digest_ = groups.encode();
    return digest_;
}

std::string map_authority::detail(std::string_view peer_digest,
                                  std::size_t limit) const
{
    std::vector<std::pair<std::uint64_t, std::uint64_t>> items;
    items.reserve(maps_.size());
    for (const auto& [id, m] : maps_)
        items.emplace_back(id, m.map->version.value);
    return detail_against<digest_groups>(peer_digest, items, limit);
}

std::string map_authority::delta(std::string_view peer_digest,
                                 std::size_t limit) const
{
    item_digest<digest_groups> theirs;
    const bool everything = peer_digest.empty();
    if (!everything && !theirs.read(peer_digest))
        return {};
    std::vector<const versioned_map*> chosen;
    std::size_t size = 0;
    for (const auto& [id, entry] : maps_)
    {
        const bool newer =
            theirs.lists(id) && theirs.state(id) < entry.map->version.value;
        if (!everything && !newer)
            continue;
        const std::size_t estimate =
            64 + entry.map->buckets.size() / 2 + entry.map->targets.size() * 18;
        const bool full = !chosen.empty() && size + estimate > limit;
        if (full)
            break;
        size += estimate;
        chosen.push_back(&entry);
    }
    if (chosen.empty())
        return {};
    capnp::MallocMessageBuilder message;
    auto list = message.initRoot<wire::MapList>().initMaps(
        static_cast<unsigned>(chosen.size()));
    for (unsigned i = 0; i < list.size(); ++i)
        write_map(list[i], *chosen[i]);
    return encode_message(message);
}

result<void> map_authority::merge(std::string_view delta)
{
    if (delta.empty())
        return ok();
    using maps = std::vector<versioned_map>;
    auto read = decode_message<wire::MapList, maps>(
        delta,
        [](wire::MapList::Reader reader) -> result<maps>
        {
            maps out;
            for (const auto item : reader.getMaps())
            {
                auto map = read_map(item);
                if (!map)
                    return fail(map.error().code, map.error().detail);
                out.push_back(std::move(map.value()));
            }
            return out;
        });
    if (!read)
        return fail(read.error().code, read.error().detail);
    for (const versioned_map& m : read.value())
        apply(m);
    return ok();
}

} // namespace briarfield
