#ifndef BRIARFIELD_CONTROL_OBJECT_STORE_HPP
#define BRIARFIELD_CONTROL_OBJECT_STORE_HPP

#include "briarfield/core/error.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace briarfield
{

/// \brief Kinds of objects in the platform's object API.
enum class object_kind : std::uint8_t
{
    team,
    service,
    backend_pool,
    lease,
    count_
};

/// \brief Name of \a kind in objects, such as "Service".
std::string_view object_kind_name(object_kind kind) noexcept;

/// \brief Path component of \a kind, such as "services".
std::string_view object_kind_plural(object_kind kind) noexcept;

/// \brief Identifies an object.
struct object_key
{
    object_kind kind = object_kind::service;
    std::string team; ///< Empty for kind Team.
    std::string name;

    /// \brief Text such as "Service himal/datum-live".
    std::string to_string() const;

    friend bool operator==(const object_key& a, const object_key& b)
    {
        return a.kind == b.kind && a.team == b.team && a.name == b.name;
    }
    friend bool operator<(const object_key& a, const object_key& b)
    {
        return std::tie(a.kind, a.team, a.name) <
               std::tie(b.kind, b.team, b.name);
    }
};

/// \brief An object in the store.
struct stored_object
{
    object_key key;
    std::string uid;           ///< Differs between objects that reuse a name.
    std::string created;       ///< RFC 3339 in UTC; sorts by time as text.
    std::uint64_t version = 0; ///< Increases with each change of any object.
    std::uint64_t generation = 0; ///< Increases with each change of the spec.
    nlohmann::json spec = nlohmann::json::object();
    nlohmann::json status = nlohmann::json::object();
};

/// \brief All objects of a kind at one version of the store.
struct object_list
{
    std::uint64_t version = 0;
    std::vector<stored_object> items;
};

/// \brief Kind of a watch_event.
enum class watch_event_type : std::uint8_t
{
    added,
    modified,
    deleted,
    bookmark ///< Only the version is set; no older event follows.
};

/// \brief A change of an object, or a bookmark.
struct watch_event
{
    watch_event_type type = watch_event_type::bookmark;
    stored_object object;
};

/// \brief The platform's object API with conditional writes and watches.
///
/// Calls return immediately; each handler is called once, later, from the event
/// loop. A write without a response, which may have taken effect, fails with
/// errc::store_outcome_unknown; the caller reads the object back and compares.
class object_store
{
public:
    template <class T>
    using handler = std::function<void(result<T>)>;

    /// \brief An open watch; its destructor ends the watch.
    class watch
    {
    public:
        virtual ~watch() = default;
    };

    virtual ~object_store() = default;

    /// \brief Reads all objects of a kind.
    ///
    /// Errors of all calls: errc::store_unreachable, errc::store_timeout,
    /// errc::store_rate_limited, errc::store_protocol, errc::store_refused.
    virtual void list(object_kind kind, handler<object_list> done) = 0;

    /// \brief Reads an object.
    ///
    /// Additional errors: errc::store_not_found.
    virtual void get(const object_key& key, handler<stored_object> done) = 0;

    /// \brief Creates an object.
    ///
    /// Additional errors: errc::store_already_exists,
    /// errc::store_outcome_unknown.
    virtual void create(const stored_object& object,
                        handler<stored_object> done) = 0;

    /// \brief Replaces the spec if the stored version equals object.version.
    ///
    /// Additional errors: errc::store_conflict, errc::store_not_found,
    /// errc::store_outcome_unknown.
    virtual void update(const stored_object& object,
                        handler<stored_object> done) = 0;

    /// \brief Like \ref update, but replaces only the status.
    virtual void update_status(const stored_object& object,
                               handler<stored_object> done) = 0;

    /// \brief Deletes the object if the stored version equals \a version.
    ///
    /// Additional errors: errc::store_conflict, errc::store_not_found,
    /// errc::store_outcome_unknown.
    virtual void remove(const object_key& key,
                        std::uint64_t version,
                        handler<void> done) = 0;

    /// \brief Watches the changes of a kind after \a version.
    ///
    /// \a on_end is called once if the watch ends before it is destroyed. After
    /// errc::store_history_compacted the caller must list the kind again.
    virtual std::unique_ptr<watch>
    start_watch(object_kind kind,
                std::uint64_t version,
                std::function<void(const watch_event&)> on_event,
                std::function<void(error)> on_end) = 0;
};

} // namespace briarfield

#endif
