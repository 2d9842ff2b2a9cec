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
constexpr std::size_t confirmations = 2;         ///< Observers that must agree.
constexpr std::size_t record_size_estimate = 96; // Bytes, encoded.

/// A gap between two sweeps that is longer means a paused process.
constexpr duration stall_threshold = std::chrono::milliseconds(500);

std::uint64_t state_hash(const balancer_record& r)
{
    std::uint64_t h = mix_hash(r.incarnation, std::uint64_t(r.state));
    for (const instance_id id : r.suspected_by)
        h = mix_hash(h, id);
    return h;
}

/// Whether \a r says something that overrules \a known.
bool overrules(const balancer_record& r, const balancer_record& known)
{
    if (r.incarnation != known.incarnation)
        return r.incarnation > known.incarnation;
    if (r.state != known.state)
        return r.state > known.state;
    return !std::includes(known.suspected_by.begin(), known.suspected_by.end(),
                          r.suspected_by.begin(), r.suspected_by.end());
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

void write_record(wire::BalancerRecord::Builder w, const balancer_record& r)
{
    w.setInstance(r.instance);
    w.setZone(r.zone);
    w.setRegion(r.region);
    write_endpoint(w.initControl(), r.control);
    w.setIncarnation(r.incarnation);
    w.setState(static_cast<wire::MemberState>(r.state));
    auto ids = w.initSuspectedBy(static_cast<unsigned>(r.suspected_by.size()));
    for (unsigned i = 0; i < ids.size(); ++i)
        ids.set(i, r.suspected_by[i]);
}

result<balancer_record> read_record(wire::BalancerRecord::Reader r)
{
    balancer_record record;
    record.instance = r.getInstance();
    record.zone = r.getZone();
    record.region = r.getRegion();
    auto control = read_endpoint(r.getControl());
    if (!control)
        return fail(control.error().code, control.error().detail);
    record.control = control.value();
    record.incarnation = r.getIncarnation();
    if (r.getState() > wire::MemberState::LEFT || record.instance.empty())
        return fail(errc::message_malformed, "balancer record");
    record.state = static_cast<member_state>(r.getState());
    for (const instance_id id : r.getSuspectedBy())
        record.suspected_by.push_back(id);
    std::sort(record.suspected_by.begin(), record.suspected_by.end());
    return record;
}

membership::membership(const balancer_record& local_record,
                       const clock& c,
                       options opts)
    : self_(local_record), clock_(&c), options_(opts)
{
}

bool membership::on_heartbeat(const balancer_record& sender,
                              std::uint64_t sequence)
{
    if (sender.id() == self_.id())
    {
        merge_self(sender);
        return false;
    }
    merge_record(sender);
    changed();
    const auto found = others_.find(sender.id());
    if (found == others_.end() ||
        found->second.record.control != sender.control ||
        sender.incarnation < found->second.record.incarnation)
        return false;
    entry& e = found->second;
    if (sequence <= e.sequence)
    {
        counters_.add(membership_event::stale_dropped);
        return false;
    }
    e.sequence = sequence;
    e.heard = clock_->now();
    return live(e.record);
}

/// After a pause of this process silence proves nothing.
void membership::forgive_stall(time_point now)
{
    const duration gap = now - swept_;
    const bool stalled = swept_ != time_point{} && gap > stall_threshold;
    swept_ = now;
    if (!stalled)
        return;
    for (auto& [id, e] : others_)
    {
        e.heard = e.heard + gap;
        e.suspected = e.suspected + gap;
    }
}

void membership::sweep()
{
    const time_point now = clock_->now();
    forgive_stall(now);
    for (auto it = others_.begin(); it != others_.end();)
    {
        entry& e = it->second;
        if (!live(e.record))
        {
            const bool forgotten = now - e.ended > options_.forget;
            if (forgotten)
                digest_.clear();
            it = forgotten ? others_.erase(it) : std::next(it);
            continue;
        }
        const bool silent = now - e.heard >= options_.silence && observes(e);
        if (silent)
            suspect(e);
        const bool ripe = e.record.state == member_state::suspect &&
                          now - e.suspected >= options_.suspicion;
        // Whoever does not watch it has no silence of its own to go by.
        if (ripe && silent &&
            e.record.suspected_by.size() >= confirmations_needed())
            bury(e, member_state::dead);
        ++it;
    }
    changed();
}

bool membership::among_first(std::uint64_t key, std::size_t count) const
{
    const auto first = ranked(key, count);
    return std::any_of(first.begin(), first.end(),
                       [this](const balancer_record& r)
                       { return r.id() == self_.id(); });
}

void membership::suspect(entry& e)
{
    balancer_record r = e.record;
    r.state = member_state::suspect;
    const auto place = std::lower_bound(r.suspected_by.begin(),
                                        r.suspected_by.end(), self_.id());
    if (place == r.suspected_by.end() || *place != self_.id())
        r.suspected_by.insert(place, self_.id());
    if (!overrules(r, e.record))
        return;
    take(e, r);
    if (on_suspect)
        on_suspect(e.record);
}

std::size_t membership::confirmations_needed() const
{
    std::size_t able = 1;
    for (const auto& [id, e] : others_)
        if (e.record.state == member_state::alive)
            ++able;
    return std::min(able, confirmations);
}

bool membership::observes(const entry& e) const
{
    // More than the subject's own count, so that observers that have died
    // unnoticed are made up for.
    const auto watchers = ranked(e.record.id(), observer_count + 2);
    std::size_t rank = 0;
    for (const balancer_record& w : watchers)
    {
        if (w.id() == e.record.id())
            continue;
        if (w.id() == self_.id())
            return true;
        if (w.state == member_state::alive && ++rank >= observer_count)
            return false;
    }
    return false;
}

void membership::bury(entry& e, member_state state)
{
    digest_.clear();
    e.record.state = state;
    e.record.suspected_by.clear();
    e.ended = clock_->now();
    counters_.add(state == member_state::dead ? membership_event::died
                                              : membership_event::left);
    spdlog::info("event=balancer_{} instance={}", member_state_name(state),
                 e.record.instance);
    dirty_ = true;
}

void membership::leave()
{
    digest_.clear();
    self_.state = member_state::left;
    dirty_ = true;
    changed();
}

void membership::take(entry& e, const balancer_record& r)
{
    digest_.clear();
    const bool was_live = live(e.record) && e.record.incarnation != 0;
    const time_point now = clock_->now();
    if (r.incarnation > e.record.incarnation)
    {
        e.sequence = 0;
        e.heard = now;
    }
    if (r.state == member_state::suspect &&
        e.record.state != member_state::suspect)
    {
        e.suspected = now;
        counters_.add(membership_event::suspected);
    }
    if (r.state == member_state::alive &&
        e.record.state == member_state::suspect)
        counters_.add(membership_event::refuted);
    std::vector<instance_id> both;
    if (r.incarnation == e.record.incarnation && r.state == e.record.state)
        std::set_union(r.suspected_by.begin(), r.suspected_by.end(),
                       e.record.suspected_by.begin(),
                       e.record.suspected_by.end(), std::back_inserter(both));
    else
        both = r.suspected_by;
    e.record = r;
    e.record.suspected_by = std::move(both);
    if (!live(r) && was_live)
        bury(e, r.state);
    else if (!live(r))
        e.ended = now;
    else if (!was_live)
    {
        counters_.add(membership_event::joined);
        spdlog::info("event=balancer_joined instance={} zone={}", r.instance,
                     r.zone);
        dirty_ = true;
    }
}

bool membership::merge_self(const balancer_record& r)
{
    const bool overruled =
        r.incarnation > self_.incarnation ||
        (r.incarnation == self_.incarnation && r.state != member_state::alive);
    if (!overruled || self_.state == member_state::left)
        return false;
    if (r.control != self_.control && live(r))
    {
        counters_.add(membership_event::duplicate_refused);
        return false;
    }
    digest_.clear();
    self_.incarnation = r.incarnation + 1;
    counters_.add(membership_event::refuted);
    return true;
}

bool membership::merge_record(const balancer_record& r)
{
    if (r.id() == self_.id())
        return merge_self(r);
    const auto found = others_.find(r.id());
    if (found == others_.end())
    {
        if (r.incarnation == 0)
            return false;
        entry& fresh = others_[r.id()];
        fresh.heard = clock_->now();
        take(fresh, r);
        return true;
    }
    entry& e = found->second;
    if (!overrules(r, e.record))
        return false;
    if (r.control != e.record.control && live(e.record) && live(r))
    {
        counters_.add(membership_event::duplicate_refused);
        return false;
    }
    take(e, r);
    return true;
}

void membership::changed()
{
    if (!dirty_)
        return;
    dirty_ = false;
    if (on_change)
        on_change();
}

std::vector<balancer_record>
membership::ranked(std::uint64_t key, std::size_t count, bool others_only) const
{
    std::vector<std::pair<std::uint64_t, const balancer_record*>> order;
    order.reserve(others_.size() + 1);
    if (!others_only && self_.state != member_state::left)
        order.emplace_back(rendezvous_weight(key, self_.id()), &self_);
    for (const auto& [id, e] : others_)
        if (live(e.record))
            order.emplace_back(rendezvous_weight(key, id), &e.record);
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
    if (self_.state == member_state::left)
        return false;
    const std::uint64_t own = rendezvous_weight(key, self_.id());
    return std::none_of(others_.begin(), others_.end(),
                        [&](const auto& item)
                        {
                            return live(item.second.record) &&
                                   rendezvous_weight(key, item.first) > own;
                        });
}

std::vector<balancer_record> membership::observers() const
{
    return ranked(self_.id(), observer_count, true);
}

std::vector<const balancer_record*> membership::live_others() const
{
    std::vector<const balancer_record*> found;
    for (const auto& [id, e] : others_)
        if (live(e.record))
            found.push_back(&e.record);
    return found;
}

std::size_t membership::live_count() const
{
    const auto lives = std::count_if(others_.begin(), others_.end(),
                                     [](const auto& item)
                                     { return live(item.second.record); });
    return static_cast<std::size_t>(lives) + 1;
}

const balancer_record* membership::find(instance_id id) const
{
    if (id == self_.id())
        return &self_;
    const auto found = others_.find(id);
    return found == others_.end() ? nullptr : &found->second.record;
}

std::string membership::digest() const
{
    if (!digest_.empty())
        return digest_;
    group_digest<digest_groups> groups;
    groups.toggle(self_.id(), state_hash(self_));
    for (const auto& [id, e] : others_)
        groups.toggle(id, state_hash(e.record));
    digest_ = groups.encode();
    return digest_;
}

std::vector<std::pair<std::uint64_t, std::uint64_t>> membership::items() const
{
    std::vector<std::pair<std::uint64_t, std::uint64_t>> all;
    all.reserve(others_.size() + 1);
    all.emplace_back(self_.id(), state_hash(self_));
    for (const auto& [id, e] : others_)
        all.emplace_back(id, state_hash(e.record));
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
    const auto consider = [&](const balancer_record& r)
    {
        const bool differs =
            theirs.lists(r.id()) && theirs.state(r.id()) != state_hash(r);
        if (everything || differs)
            records.push_back(&r);
    };
    consider(self_);
    for (const auto& [id, e] : others_)
        consider(e.record);
    const std::size_t most =
        std::max<std::size_t>(1, limit / record_size_estimate);
    if (records.size() > most)
        records.resize(most);
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
            [](wire::MemberList::Reader r)
                -> result<std::vector<balancer_record>>
            {
                std::vector<balancer_record> out;
                for (const auto item : r.getMembers())
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
    for (const balancer_record& r : records.value())
        merge_record(r);
    changed();
    return ok();
}

} // namespace briarfield
