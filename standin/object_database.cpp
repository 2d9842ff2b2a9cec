#include "object_database.hpp"

#include <ctime>

namespace briarfield::standin
{

namespace
{

constexpr std::size_t history_limit = 10000; // Events.

/// A distinct timestamp for each version: \a version seconds since 1970.
std::string timestamp(std::uint64_t version)
{
    const auto seconds = static_cast<std::time_t>(version);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[32];
    const std::size_t size =
        std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
    return {text, size};
}

} // namespace

result<stored_object> object_database::create(const stored_object& wanted)
{
    if (objects_.count(wanted.key) != 0)
        return fail(errc::store_already_exists, wanted.key.to_string());
    stored_object made = wanted;
    made.uid = "uid-" + std::to_string(++last_uid_);
    made.version = ++version_;
    made.created = timestamp(version_);
    made.generation = 1;
    made.status = nlohmann::json::object();
    objects_[made.key] = made;
    record(watch_event_type::added, made);
    return made;
}

result<stored_object> object_database::get(const object_key& key) const
{
    const auto found = objects_.find(key);
    if (found == objects_.end())
        return fail(errc::store_not_found, key.to_string());
    return found->second;
}

result<stored_object*>
object_database::find_for_write(const stored_object& wanted)
{
    const auto found = objects_.find(wanted.key);
    if (found == objects_.end())
        return fail(errc::store_not_found, wanted.key.to_string());
    stored_object& held = found->second;
    const bool other = !wanted.uid.empty() && wanted.uid != held.uid;
    if (other || wanted.version != held.version)
        return fail(errc::store_conflict, wanted.key.to_string() +
                                              " is at version " +
                                              std::to_string(held.version));
    return &held;
}

result<stored_object> object_database::update(const stored_object& wanted)
{
    auto held = find_for_write(wanted);
    if (!held)
        return fail(held.error().code, held.error().detail);
    stored_object& object = *held.value();
    if (object.spec == wanted.spec)
        return object;
    object.spec = wanted.spec;
    object.version = ++version_;
    ++object.generation;
    record(watch_event_type::modified, object);
    return object;
}

result<stored_object>
object_database::update_status(const stored_object& wanted)
{
    auto held = find_for_write(wanted);
    if (!held)
        return fail(held.error().code, held.error().detail);
    stored_object& object = *held.value();
    if (object.status == wanted.status)
        return object;
    object.status = wanted.status;
    object.version = ++version_;
    record(watch_event_type::modified, object);
    return object;
}

result<void> object_database::remove(const object_key& key,
                                     std::uint64_t version)
{
    stored_object wanted;
    wanted.key = key;
    wanted.version = version;
    auto held = find_for_write(wanted);
    if (!held)
        return fail(held.error().code, held.error().detail);
    stored_object last = *held.value();
    last.version = ++version_;
    objects_.erase(key);
    record(watch_event_type::deleted, last);
    return ok();
}

object_list object_database::list(object_kind kind) const
{
    object_list out;
    out.version = version_;
    for (const auto& [key, object] : objects_)
        if (key.kind == kind)
            out.items.push_back(object);
    return out;
}

result<std::vector<watch_event>>
object_database::events_after(object_kind kind, std::uint64_t version) const
{
    if (version < compacted_)
        return fail(errc::store_history_compacted,
                    "version " + std::to_string(version));
    std::vector<watch_event> out;
    for (const watch_event& event : history_)
        if (event.object.version > version && event.object.key.kind == kind)
            out.push_back(event);
    return out;
}

const watch_event* object_database::oldest_event() const
{
    return history_.empty() ? nullptr : &history_.front();
}

void object_database::compact()
{
    history_.clear();
    compacted_ = version_;
}

void object_database::record(watch_event_type type, const stored_object& object)
{
    history_.push_back({type, object});
    if (history_.size() > history_limit)
    {
        compacted_ = history_.front().object.version;
        history_.pop_front();
    }
    if (on_event)
        on_event({type, object});
}

} // namespace briarfield::standin
