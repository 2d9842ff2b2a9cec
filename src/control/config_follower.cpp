#include "briarfield/control/config_follower.hpp"

#include "config_codec.hpp"

#include <algorithm>
#include <set>

namespace briarfield
{

namespace
{

using json = nlohmann::json;

constexpr object_kind followed_kinds[] = {
    object_kind::team, object_kind::service, object_kind::backend_pool};

constexpr std::size_t max_tombstones = 10000; // Per kind.

/// Status members that affect which specs are in force.
json binding_status(const stored_object& object)
{
    json out = json::object();
    for (const char* name : {"claims", "bucketCount"})
        if (object.status.is_object() && object.status.contains(name))
            out[name] = object.status[name];
    return out;
}

/// Whether peers need the change from \a before to \a after.
bool differs_for_peers(const stored_object& before, const stored_object& after)
{
    return before.uid != after.uid || before.generation != after.generation ||
           before.spec != after.spec ||
           binding_status(before) != binding_status(after);
}

/// Bucket count recorded in the status when the object first came into force;
/// 0 if none is recorded.
std::uint32_t recorded_bucket_count(const stored_object& object)
{
    const json binding = binding_status(object);
    const auto found = binding.find("bucketCount");
    return found != binding.end() && found->is_number_integer()
               ? found->get<std::uint32_t>()
               : 0;
}

} // namespace

config_follower::config_follower(object_store& store,
                                 timer_queue& timers,
                                 random_source& random,
                                 config_follower_options options)
    : store_(&store), timers_(&timers), random_(&random), options_(options),
      current_(std::make_shared<configuration>())
{
    for (std::size_t i = 0; i < kinds_.size(); ++i)
    {
        kinds_[i].kind = followed_kinds[i];
        kinds_[i].retry_backoff = backoff(options_.retry);
    }
}

config_follower::~config_follower()
{
    *alive_ = false;
    timers_->cancel(role_timer_);
    for (kind_state& state : kinds_)
        timers_->cancel(state.retry_timer);
}

void config_follower::start()
{
    if (running_)
        return;
    running_ = true;
    started_ = timers_->now();
    role_timer_ = timers_->schedule(jitter(options_.start_jitter),
                                    [this] { check_role(); });
}

bool config_follower::ready() const
{
    return std::all_of(kinds_.begin(), kinds_.end(),
                       [](const kind_state& state) { return state.complete; });
}

duration config_follower::jitter(duration bound)
{
    return duration(static_cast<duration::rep>(
        random_->below(static_cast<std::uint64_t>(bound.count()) + 1)));
}

bool config_follower::should_use_store() const
{
    if (!should_watch || should_watch())
        return true;
    return !ready() && timers_->now() - started_ >= options_.peer_timeout;
}

void config_follower::check_role()
{
    const bool use_store = should_use_store();
    for (kind_state& state : kinds_)
    {
        if (!use_store)
        {
            timers_->cancel(state.retry_timer);
            state.retry_timer = 0;
            state.watch.reset();
            continue;
        }
        if (state.watch == nullptr && !state.listing && state.retry_timer == 0)
            follow_now(state);
        else if (state.watch != nullptr && !state.listing &&
                 timers_->now() - state.listed_at >= options_.relist_interval)
            list(state);
    }
    role_timer_ = timers_->schedule(options_.role_check_interval +
                                        jitter(options_.watch_jitter),
                                    [this] { check_role(); });
}

void config_follower::follow_now(kind_state& state)
{
    state.retry_timer = 0;
    if (!should_use_store())
        return;
    if (state.needs_list || !state.complete)
        list(state);
    else
        watch(state);
}

void config_follower::list(kind_state& state)
{
    state.listing = true;
    store_->list(state.kind,
                 [this, &state, alive = alive_](const result<object_list>& all)
                 {
                     if (!*alive)
                         return;
                     state.listing = false;
                     if (all)
                         apply_list(state, all.value());
                     else if (state.watch == nullptr)
                         retry_later(state);
                 });
}

void config_follower::apply_list(kind_state& state, const object_list& all)
{
    const bool was_ready = ready();
    bool changed = false;
    std::set<object_key> present;
    for (const stored_object& object : all.items)
    {
        changed |= apply(state, object, false);
        present.insert(object.key);
    }
    for (auto& [key, e] : state.entries)
    {
        if (e.deleted || present.count(key) != 0 ||
            e.latest.version >= all.version)
            continue;
        stored_object removed = e.latest;
        removed.version = all.version;
        changed |= apply(state, removed, true);
    }
    state.seen_version = std::max(state.seen_version, all.version);
    state.complete = true;
    state.needs_list = false;
    state.listed_at = timers_->now();
    state.retry_backoff.reset();
    if (changed || ready() != was_ready)
        publish();
    if (state.watch == nullptr && should_use_store())
        watch(state);
}

void config_follower::watch(kind_state& state)
{
    state.watch = store_->start_watch(
        state.kind, state.seen_version,
        [this, &state](const watch_event& event) { apply_event(state, event); },
        [this, &state](const error& reason) { on_watch_end(state, reason); });
}

void config_follower::apply_event(kind_state& state, const watch_event& event)
{
    state.retry_backoff.reset();
    const std::uint64_t version = event.object.version;
    if (event.type == watch_event_type::bookmark)
    {
        state.seen_version = std::max(state.seen_version, version);
        return;
    }
    if (event.object.key.kind != state.kind)
        return;
    const bool changed =
        apply(state, event.object, event.type == watch_event_type::deleted);
    state.seen_version = std::max(state.seen_version, version);
    if (changed)
        publish();
}

void config_follower::on_watch_end(kind_state& state, const error& reason)
{
    state.watch.reset();
    if (reason.code == errc::store_history_compacted)
        state.needs_list = true;
    retry_later(state);
}

void config_follower::retry_later(kind_state& state)
{
    timers_->cancel(state.retry_timer);
    state.retry_timer =
        timers_->schedule(state.retry_backoff.next(*random_),
                          [this, &state] { follow_now(state); });
}

bool config_follower::apply(kind_state& state,
                            const stored_object& object,
                            bool deleted)
{
    const auto [position, inserted] = state.entries.try_emplace(object.key);
    entry& e = position->second;
    if (!inserted && object.version <= e.latest.version)
        return false;
    const bool other_uid = !inserted && e.latest.uid != object.uid;
    const bool changed =
        inserted || deleted != e.deleted || differs_for_peers(e.latest, object);
    e.latest = object;
    e.deleted = deleted;
    if (deleted || other_uid)
    {
        e.accepted.reset();
        e.spec = {};
        e.problem = {errc::ok, {}};
    }
    if (changed)
        e.changed_version = object.version;
    if (deleted)
        purge_old_tombstones(state);
    else if (changed)
        accept(e, object);
    return changed;
}

void config_follower::accept(entry& e, const stored_object& object)
{
    const auto store_result = [&e, &object](auto parsed)
    {
        if (!parsed)
        {
            e.problem = parsed.error();
            return;
        }
        e.problem = {errc::ok, {}};
        e.accepted = object;
        e.spec = std::move(parsed.value());
    };
    switch (object.key.kind)
    {
    case object_kind::team:
        return store_result(parse_team(object));
    case object_kind::backend_pool:
        return store_result(parse_backend_pool(object));
    default:
        break;
    }
    auto parsed = parse_service(object);
    const auto* previous = std::get_if<service_spec>(&e.spec);
    const std::uint32_t fixed_bucket_count =
        previous != nullptr ? previous->bucket_count
                            : recorded_bucket_count(object);
    if (parsed && fixed_bucket_count != 0 &&
        parsed.value().bucket_count != fixed_bucket_count)
        parsed =
            error{errc::object_invalid, "spec.bucketCount: is fixed at " +
                                            std::to_string(fixed_bucket_count)};
    store_result(std::move(parsed));
}

/// Applies the last valid version of an object, which a peer has in force
/// while the latest version is invalid.
bool config_follower::apply_accepted(entry& e, const stored_object& object)
{
    const bool newer = !e.accepted || e.accepted->version < object.version;
    if (e.deleted || object.uid != e.latest.uid || !newer ||
        object.version > e.latest.version)
        return false;
    const error problem = e.problem;
    accept(e, object);
    const bool applied = e.accepted && e.accepted->version == object.version;
    e.problem = problem;
    return applied;
}

void config_follower::purge_old_tombstones(kind_state& state)
{
    const auto is_deleted = [](const auto& item)
    { return item.second.deleted; };
    const auto count =
        std::count_if(state.entries.begin(), state.entries.end(), is_deleted);
    if (static_cast<std::size_t>(count) <= max_tombstones)
        return;
    auto oldest = state.entries.end();
    for (auto position = state.entries.begin(); position != state.entries.end();
         ++position)
        if (position->second.deleted &&
            (oldest == state.entries.end() ||
             position->second.latest.version < oldest->second.latest.version))
            oldest = position;
    state.purged_version =
        std::max(state.purged_version, oldest->second.latest.version);
    state.entries.erase(oldest);
}

void config_follower::publish()
{
    if (!ready())
        return;
    current_ = build();
    if (on_change)
        on_change();
}

std::shared_ptr<const configuration> config_follower::build() const
{
    auto config = std::make_shared<configuration>();
    std::vector<service_claim> claims;
    std::map<object_key, error> problems;
    for (const kind_state& state : kinds_)
        for (const auto& [key, e] : state.entries)
        {
            config->version = std::max(config->version, e.changed_version);
            if (e.deleted)
                continue;
            object_report& report = config->reports[key];
            report.generation = e.latest.generation;
            report.problem = e.problem;
            if (!e.accepted)
                continue;
            report.in_force_generation = e.accepted->generation;
            if (const auto* team = std::get_if<team_spec>(&e.spec))
                config->teams[team->name] = *team;
            else if (const auto* pool = std::get_if<backend_pool_spec>(&e.spec))
                config->pools[key] = *pool;
            else if (const auto* spec = std::get_if<service_spec>(&e.spec))
                claims.push_back({&e.latest, *spec});
        }
    resolve_address_claims(claims, problems);
    for (service_claim& claim : claims)
    {
        object_report& report = config->reports[claim.object->key];
        const auto conflict = problems.find(claim.object->key);
        if (report.problem.code == errc::ok && conflict != problems.end())
            report.problem = conflict->second;
        const service_spec& service = claim.spec;
        if (report.problem.code == errc::ok && !service.pool.empty() &&
            config->pools.count(
                {object_kind::backend_pool, service.team, service.pool}) == 0)
            report.problem = {errc::object_invalid,
                              "spec.pool: no BackendPool " + service.pool};
        config->services[service.id()] = std::move(claim.spec);
    }
    return config;
}

const stored_object* config_follower::object(const object_key& key) const
{
    for (const kind_state& state : kinds_)
    {
        const auto found = state.entries.find(key);
        if (found != state.entries.end() && !found->second.deleted)
            return &found->second.latest;
    }
    return nullptr;
}

bool config_follower::in_force(const object_key& key,
                               std::uint64_t generation) const
{
    const auto found = current_->reports.find(key);
    return found != current_->reports.end() &&
           found->second.in_force_generation >= generation;
}

config_follower::kind_state& config_follower::state_of(object_kind kind)
{
    return *std::find_if(kinds_.begin(), kinds_.end(),
                         [kind](const kind_state& state)
                         { return state.kind == kind; });
}

const config_follower::kind_state&
config_follower::state_of(object_kind kind) const
{
    return *std::find_if(kinds_.begin(), kinds_.end(),
                         [kind](const kind_state& state)
                         { return state.kind == kind; });
}

/// Hash of the objects of a kind; equal on instances with equal content,
/// whether it came from the store or from peers.
std::uint64_t config_follower::content_hash(const kind_state& state)
{
    std::uint64_t sum = 0;
    for (const auto& [key, e] : state.entries)
    {
        if (e.deleted)
            continue;
        std::string text = key.to_string() + ' ' + e.latest.uid + ' ' +
                           std::to_string(e.latest.generation) + ' ';
        text += std::to_string(e.accepted ? e.accepted->generation : 0);
        text += binding_status(e.latest).dump();
        sum += config_codec::hash(text);
    }
    return sum;
}

std::string config_follower::digest() const
{
    std::vector<config_codec::kind_digest> rows;
    for (const kind_state& state : kinds_)
        rows.push_back({state.kind, state.seen_version, state.complete,
                        state.purged_version, content_hash(state)});
    return config_codec::encode(rows);
}

std::vector<const config_follower::entry*>
config_follower::changed_since(const kind_state& state, std::uint64_t version)
{
    std::vector<const entry*> out;
    for (const auto& [key, e] : state.entries)
        if (e.changed_version > version)
            out.push_back(&e);
    std::sort(out.begin(), out.end(),
              [](const entry* a, const entry* b)
              { return a->changed_version < b->changed_version; });
    return out;
}

/// All entries, starting after the last entry that a repair has sent.
std::vector<const config_follower::entry*>
config_follower::repair_order(const kind_state& state) const
{
    std::vector<const entry*> out;
    for (const auto& [key, e] : state.entries)
        out.push_back(&e);
    if (!out.empty())
    {
        const auto start =
            static_cast<std::ptrdiff_t>(repair_cursor_ % out.size());
        std::rotate(out.begin(), out.begin() + start, out.end());
    }
    return out;
}

std::string config_follower::delta(std::string_view peer_digest,
                                   std::size_t limit) const
{
    auto rows = config_codec::decode_digest(peer_digest);
    if (!rows)
        return {};
    std::vector<config_codec::kind_delta> parts;
    std::size_t used = 0;
    for (const config_codec::kind_digest& peer : rows.value())
    {
        const kind_state& state = state_of(peer.kind);
        const bool behind = peer.seen_version < state.seen_version;
        const bool has_all_deletions =
            peer.seen_version == 0 ||
            peer.seen_version >= state.purged_version ||
            peer.purged_version >= state.purged_version;
        const bool completes_peer = state.complete && !peer.complete;
        const bool differs = peer.seen_version == state.seen_version &&
                             state.complete && peer.hash != content_hash(state);
        if (!(behind && has_all_deletions) && !completes_peer && !differs)
            continue;
        config_codec::kind_delta part;
        part.kind = state.kind;
        part.from = peer.seen_version;
        part.seen_version = state.seen_version;
        part.complete = state.complete;
        part.purged_version = state.purged_version;
        const bool repair = !behind;
        const auto entries = repair ? repair_order(state)
                                    : changed_since(state, peer.seen_version);
        for (const entry* e : entries)
        {
            config_codec::item item{e->latest, e->deleted, e->changed_version,
                                    e->accepted};
            const std::size_t size = config_codec::encoded_size(item);
            if (used > 0 && used + size > limit)
            {
                part.complete = false;
                // Deletions found by the same list share one version, so
                // the peer must request that version again.
                part.seen_version =
                    repair || part.items.empty()
                        ? peer.seen_version
                        : std::min(part.items.back().changed_version,
                                   e->changed_version - 1);
                break;
            }
            used += size;
            part.items.push_back(std::move(item));
        }
        if (repair)
            repair_cursor_ += part.items.size();
        parts.push_back(std::move(part));
    }
    return parts.empty() ? std::string() : config_codec::encode(parts);
}

result<void> config_follower::merge(std::string_view delta)
{
    if (delta.empty())
        return ok();
    auto parts = config_codec::decode_delta(delta);
    if (!parts)
        return parts.error();
    const bool was_ready = ready();
    bool changed = false;
    for (const config_codec::kind_delta& part : parts.value())
        changed |= apply_delta(part);
    if (changed || ready() != was_ready)
        publish();
    return ok();
}

bool config_follower::apply_delta(const config_codec::kind_delta& received)
{
    kind_state& state = state_of(received.kind);
    bool changed = false;
    if (state.seen_version == 0)
        state.purged_version =
            std::max(state.purged_version, received.purged_version);
    for (const config_codec::item& item : received.items)
    {
        changed |= apply(state, item.latest, item.deleted);
        entry& e = state.entries[item.latest.key];
        if (item.accepted)
            changed |= apply_accepted(e, *item.accepted);
    }
    if (received.from > state.seen_version)
        return changed; // Changes before received.from are missing.
    state.seen_version = std::max(state.seen_version, received.seen_version);
    state.complete = state.complete || received.complete;
    return changed;
}

} // namespace briarfield
