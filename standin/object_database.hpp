#ifndef BRIARFIELD_STANDIN_OBJECT_DATABASE_HPP
#define BRIARFIELD_STANDIN_OBJECT_DATABASE_HPP

#include "briarfield/control/object_store.hpp"

#include <deque>
#include <map>

namespace briarfield::standin
{

/// Objects with versions, conditional updates and a change history; does no
/// I/O.
class object_database
{
public:
    /// Errors: errc::store_already_exists.
    result<stored_object> create(const stored_object& wanted);

    /// Errors: errc::store_not_found.
    result<stored_object> get(const object_key& key) const;

    /// Replaces the spec. Errors: errc::store_not_found, errc::store_conflict.
    result<stored_object> update(const stored_object& wanted);

    /// Replaces the status. Errors: as \ref update.
    result<stored_object> update_status(const stored_object& wanted);

    /// Errors: errc::store_not_found, errc::store_conflict.
    result<void> remove(const object_key& key, std::uint64_t version);

    /// All objects of a kind, in the order of their keys.
    object_list list(object_kind kind) const;

    /// Events of a kind after \a version.
    ///
    /// Errors: errc::store_history_compacted.
    result<std::vector<watch_event>> events_after(object_kind kind,
                                                  std::uint64_t version) const;

    /// Oldest event of the history, of any kind; null if the history is empty.
    const watch_event* oldest_event() const;

    /// Removes all events from the history.
    void compact();

    /// Version of the latest change.
    std::uint64_t version() const { return version_; }

    /// Called after each change.
    std::function<void(const watch_event&)> on_event;

private:
    result<stored_object*> find_for_write(const stored_object& wanted);
    void record(watch_event_type type, const stored_object& object);

    std::map<object_key, stored_object> objects_;
    std::deque<watch_event> history_;
    std::uint64_t version_ = 0;
    std::uint64_t compacted_ = 0; ///< Version up to which events were removed.
    std::uint64_t last_uid_ = 0;
};

} // namespace briarfield::standin

#endif
