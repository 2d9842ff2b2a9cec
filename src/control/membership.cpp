#include "briarfield/control/membership.hpp"

#include "capnp_codec.hpp"
#include "capnp_fields.hpp"
#include "group_digest.hpp"

#include <algorithm>
#include <spdlog/spdlog.h>

namespace briarfield
{

namespace
{

constexpr std::string_view state_names[] = {"alive", "suspect", "dead", "left"};
constexpr std::string_view event_names[] = {
    "joined", "suspected",         "refuted",      "died",
    "left",   "duplicate_refused", "stale_dropped"};

constexpr std::size_t digest_groups = 64;
/// Observers that must suspect a balancer before it is marked dead.
constexpr std::size_t required_confirmations = 2;
constexpr std::size_t record_size_estimate = 96; // Bytes, encoded.

/// A longer gap between two sweeps means that this process was paused.
constexpr duration stall_threshold = std::chrono::milliseconds(500);

std::uint64_t state_hash(const balancer_record& record)
{
    std::uint64_t hash =
        mix_hash(record.incarnation, std::uint64_t(record.state));
    for (const instance_id id : record.suspected_by)
        hash = mix_hash(hash, id);
    return hash;
}

/// Whether \a record has information that supersedes \a current.
bool supersedes(const balancer_record& record, const balancer_record& current)
{
    if (record.incarnation != current.incarnation)
        return record.incarnation > current.incarnation;
    if (record.state != current.state)
        return record.state > current.state;
    return !std::includes(
        current.suspected_by.begin(), current.suspected_by.end(),
        record.suspected_by.begin(), record.suspected_by.end());
}

} // namespace

std::string_view member_state_name(member_state state) noexcept
{
    return state_names[static_cast<std::size_t>(state)];
}

std::string_view membership_event_name(membership_event event) noexcept
{
    return event_names[static_cast<std::size_t>(event)];
}

std::uint64_t rendezvous_weight(std::uint64_t key, instance_id candidate)
{
    return mix_hash(mix_hash(key, candidate), candidate);
}

void write_record(wire::BalancerRecord::Builder writer,
                  const balancer_record& record)
{
    writer.setInstance(record.instance);
    writer.setZone(record.zone);
    writer.setRegion(record.region);
    write_endpoint(writer.initControl(), record.control);
    writer.setIncarnation(record.incarnation);
    writer.setState(static_cast<wire::MemberState>(record.state));
    auto ids = writer.initSuspectedBy(
        static_cast<unsigned>(record.suspected_by.size()));
    for (unsigned i = 0; i < ids.size(); ++i)
        ids.set(i, record.suspected_by[i]);
}

result<balancer_record> read_record(wire::BalancerRecord::Reader reader)
{
    balancer_record record;
    record.instance = reader.getInstance();
    record.zone = reader.getZone();
    record.region = reader.getRegion();
    auto control = read_endpoint(reader.getControl());
    if (!control)
        return fail(control.error().code, control.error().detail);
    record.control = control.value();
    record.incarnation = reader.getIncarnation();
    if (reader.getState() > wire::MemberState::LEFT || record.instance.empty())
        return fail(errc::message_malformed, "invalid balancer record");
    record.state = static_cast<member_state>(reader.getState());
    for (const instance_id id : reader.getSuspectedBy())
        record.suspected_by.push_back(id);
    std::sort(record.suspected_by.begin(), record.suspected_by.end());
    return record;
}

membership::membership(const balancer_record& local_record,
                       const clock& c,
                       options opts)
    : local_record_(local_record), clock_(&c), options_(opts)
{
}

bool membership::on_heartbeat(const balancer_record& sender,
                              std::uint64_t sequence)
{
    if (sender.id() == local_record_.id())
    {
        merge_local_record(sender);
        return false;
    }
    merge_record(sender);
    notify_if_changed();
    const auto found = others_.find(sender.id());
    if (found == others_.end() ||
        found->second.record.control != sender.control ||
        sender.incarnation < found->second.record.incarnation)
        return false;
    entry& member = found->second;
    if (sequence <= member.sequence)
    {
        counters_.add(membership_event::stale_dropped);
        return false;
    }
    member.sequence = sequence;
    member.last_heartbeat = clock_->now();
    return live(member.record);
}

/// Extends all timeouts by the length of a pause of this process, in which it
/// could not receive heartbeats.
void membership::compensate_for_stall(time_point now)
{
    const duration gap = now - last_sweep_;
    const bool stalled = last_sweep_ != time_point{} && gap > stall_threshold;
    last_sweep_ = now;
    if (!stalled)
        return;
    for (auto& [id, member] : others_)
    {
        member.last_heartbeat = member.last_heartbeat + gap;
        member.suspected_at = member.suspected_at + gap;
    }
}

void membership::sweep()
{
    const time_point now = clock_->now();
    compensate_for_stall(now);
    for (auto it = others_.begin(); it != others_.end();)
    {
        entry& member = it->second;
        if (!live(member.record))
        {
            const bool retention_expired =
                now - member.deactivated_at > options_.dead_record_retention;
            if (retention_expired)
                digest_.clear();
            it = retention_expired ? others_.erase(it) : std::next(it);
            continue;
        }
        const bool timed_out =
            now - member.last_heartbeat >= options_.heartbeat_timeout &&
            observes(member);
        if (timed_out)
            suspect(member);
        const bool suspicion_expired =
            member.record.state == member_state::suspect &&
            now - member.suspected_at >= options_.suspicion_timeout;
        // Only an observer may mark a balancer as dead; the others do not
        // receive its heartbeats.
        if (suspicion_expired && timed_out &&
            member.record.suspected_by.size() >= confirmations_needed())
            deactivate(member, member_state::dead);
        ++it;
    }
    notify_if_changed();
}

bool membership::among_first(std::uint64_t key, std::size_t count) const
{
    const auto first = ranked(key, count);
    return std::any_of(first.begin(), first.end(),
                       [this](const balancer_record& record)
                       { return record.id() == local_record_.id(); });
}

void membership::suspect(entry& member)
{
    balancer_record record = member.record;
    record.state = member_state::suspect;
    const auto place =
        std::lower_bound(record.suspected_by.begin(), record.suspected_by.end(),
                         local_record_.id());
    if (place == record.suspected_by.end() || *place != local_record_.id())
        record.suspected_by.insert(place, local_record_.id());
    if (!supersedes(record, member.record))
        return;
    apply_record(member, record);
    if (on_suspect)
        on_suspect(member.record);
}

std::size_t membership::confirmations_needed() const
{
    std::size_t available_observers = 1;
    for (const auto& [id, member] : others_)
        if (member.record.state == member_state::alive)
            ++available_observers;
    return std::min(available_observers, required_confirmations);
}

bool membership::observes(const entry& member) const
{
    // Includes two more than observer_count, to replace observers that are
    // suspect or have died undetected.
    const auto candidates = ranked(member.record.id(), observer_count + 2);
    std::size_t rank = 0;
    for (const balancer_record& candidate : candidates)
    {
        if (candidate.id() == member.record.id())
            continue;
        if (candidate.id() == local_record_.id())
            return true;
        if (candidate.state == member_state::alive && ++rank >= observer_count)
            return false;
    }
    return false;
}

void membership::deactivate(entry& member, member_state state)
{
    digest_.clear();
    member.record.state = state;
    member.record.suspected_by.clear();
    member.deactivated_at = clock_->now();
    counters_.add(state == member_state::dead ? membership_event::died
                                              : membership_event::left);
    spdlog::info("event=balancer_{} instance={}", member_state_name(state),
                 member.record.instance);
    live_set_changed_ = true;
}

void membership::leave()
{
    digest_.clear();
    local_record_.state = member_state::left;
    live_set_changed_ = true;
    notify_if_changed();
}

void membership::apply_record(entry& member, const balancer_record& record)
{
    digest_.clear();
    const bool was_live = live(member.record) && member.record.incarnation != 0;
    const time_point now = clock_->now();
    if (record.incarnation > member.record.incarnation)
    {
        member.sequence = 0;
        member.last_heartbeat = now;
    }
    if (record.state == member_state::suspect &&
        member.record.state != member_state::suspect)
    {
        member.suspected_at = now;
        counters_.add(membership_event::suspected);
    }
    if (record.state == member_state::alive &&
        member.record.state == member_state::suspect)
        counters_.add(membership_event::refuted);
    std::vector<instance_id> suspecting_observers;
    if (record.incarnation == member.record.incarnation &&
        record.state == member.record.state)
        std::set_union(record.suspected_by.begin(), record.suspected_by.end(),
                       member.record.suspected_by.begin(),
                       member.record.suspected_by.end(),
                       std::back_inserter(suspecting_observers));
    else
        suspecting_observers = record.suspected_by;
    member.record = record;
    member.record.suspected_by = std::move(suspecting_observers);
    if (!live(record) && was_live)
        deactivate(member, record.state);
    else if (!live(record))
        member.deactivated_at = now;
    else if (!was_live)
    {
        counters_.add(membership_event::joined);
        spdlog::info("event=balancer_joined instance={} zone={}",
                     record.instance, record.zone);
        live_set_changed_ = true;
    }
}

bool membership::merge_local_record(const balancer_record& record)
{
    const bool superseded = record.incarnation > local_record_.incarnation ||
                            (record.incarnation == local_record_.incarnation &&
                             record.state != member_state::alive);
    if (!superseded || local_record_.state == member_state::left)
        return false;
    if (record.control != local_record_.control && live(record))
    {
        counters_.add(membership_event::duplicate_refused);
        return false;
    }
    digest_.clear();
    local_record_.incarnation = record.incarnation + 1;
    counters_.add(membership_event::refuted);
    return true;
}

bool membership::merge_record(const balancer_record& record)
{
    if (record.id() == local_record_.id())
        return merge_local_record(record);
    const auto found = others_.find(record.id());
    if (found == others_.end())
    {
        if (record.incarnation == 0)
            return false;
        entry& added = others_[record.id()];
        added.last_heartbeat = clock_->now();
        apply_record(added, record);
        return true;
    }
    entry& member = found->second;
    if (!supersedes(record, member.record))
        return false;
    if (record.control != member.record.control && live(member.record) &&
        live(record))
    {
        counters_.add(membership_event::duplicate_refused);
        return false;
    }
    apply_record(member, record);
    return true;
}

void membership::notify_if_changed()
{
    if (!live_set_changed_)
        return;
    live_set_changed_ = false;
    if (on_change)
        on_change();
}

std::vector<balancer_record>
membership::ranked(std::uint64_t key, std::size_t count, bool others_only) const
{
    std::vector<std::pair<std::uint64_t, const balancer_record*>> order;
    order.reserve(others_.size() + 1);
    if (!others_only && local_record_.state != member_state::left)
        order.emplace_back(rendezvous_weight(key, local_record_.id()),
                           &local_record_);
    for (const auto& [id, member] : others_)
        if (live(member.record))
            order.emplace_back(rendezvous_weight(key, id), &member.record);
    count = std::min(count, order.size());
    std::partial_sort(
        order.begin(), order.begin() + std::ptrdiff_t(count), order.end(),
        [](const auto& a, const auto& b) { return a.first > b.first; });
    std::vector<balancer_record> first;
    first.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        first.push_back(*order[i].second);
    return first;
}

bool membership::ranks_first(std::uint64_t key) const
{
    if (local_record_.state == member_state::left)
        return false;
    const std::uint64_t own = rendezvous_weight(key, local_record_.id());
    return std::none_of(others_.begin(), others_.end(),
                        [&](const auto& item)
                        {
                            return live(item.second.record) &&
                                   rendezvous_weight(key, item.first) > own;
                        });
}

std::vector<balancer_record> membership::observers() const
{
    return ranked(local_record_.id(), observer_count, true);
}

std::vector<const balancer_record*> membership::live_others() const
{
    std::vector<const balancer_record*> found;
    for (const auto& [id, member] : others_)
        if (live(member.record))
            found.push_back(&member.record);
    return found;
}

std::size_t membership::live_count() const
{
    const auto live_peers = std::count_if(others_.begin(), others_.end(),
                                          [](const auto& item)
                                          { return live(item.second.record); });
    return static_cast<std::size_t>(live_peers) + 1;
}

const balancer_record* membership::find(instance_id id) const
{
    if (id == local_record_.id())
        return &local_record_;
    const auto found = others_.find(id);
    return found == others_.end() ? nullptr : &found->second.record;
}

std::string membership::digest() const
{
    if (!digest_.empty())
        return digest_;
    group_digest<digest_groups> groups;
    groups.toggle(local_record_.id(), state_hash(local_record_));
    for (const auto& [id, member] : others_)
        groups.toggle(id, state_hash(member.record));
    digest_ = groups.encode();
    return digest_;
}

std::vector<std::pair<std::uint64_t, std::uint64_t>> membership::items() const
{
    std::vector<std::pair<std::uint64_t, std::uint64_t>> all;
    all.reserve(others_.size() + 1);
    all.emplace_back(local_record_.id(), state_hash(local_record_));
    for (const auto& [id, member] : others_)
        all.emplace_back(id, state_hash(member.record));
    return all;
}

std::string membership::detail(std::string_view peer_digest,
                               std::size_t limit) const
{
    return detail_against<digest_groups>(peer_digest, items(), limit);
}

std::string membership::delta(std::string_view peer_digest,
                              std::size_t limit) const
{
    item_digest<digest_groups> theirs;
    const bool everything = peer_digest.empty();
    if (!everything && !theirs.read(peer_digest))
        return {};
    std::vector<const balancer_record*> records;
    const auto consider = [&](const balancer_record& record)
    {
        const bool differs = theirs.lists(record.id()) &&
                             theirs.state(record.id()) != state_hash(record);
        if (everything || differs)
            records.push_back(&record);
    };
    consider(local_record_);
    for (const auto& [id, member] : others_)
        consider(member.record);
    const std::size_t max_records =
        std::max<std::size_t>(1, limit / record_size_estimate);
    if (records.size() > max_records)
        records.resize(max_records);
    if (records.empty())
        return {};
    capnp::MallocMessageBuilder message;
    auto list = message.initRoot<wire::MemberList>().initMembers(
        static_cast<unsigned>(records.size()));
    for (unsigned i = 0; i < list.size(); ++i)
        write_record(list[i], *records[i]);
    return encode_message(message);
}

result<void> membership::merge(std::string_view delta)
{
    if (delta.empty())
        return ok();
    auto records =
        decode_message<wire::MemberList, std::vector<balancer_record>>(
            delta,
            [](wire::MemberList::Reader reader)
                -> result<std::vector<balancer_record>>
            {
                std::vector<balancer_record> out;
                for (const auto item : reader.getMembers())
                {
                    auto record = read_record(item);
                    if (!record)
                        return fail(record.error().code, record.error().detail);
                    out.push_back(std::move(record.value()));
                }
                return out;
            });
    if (!records)
        return fail(records.error().code, records.error().detail);
    for (const balancer_record& record : records.value())
        merge_record(record);
    notify_if_changed();
    return ok();
}

} // namespace briarfield
