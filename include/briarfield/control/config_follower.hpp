#ifndef BRIARFIELD_CONTROL_CONFIG_FOLLOWER_HPP
#define BRIARFIELD_CONTROL_CONFIG_FOLLOWER_HPP

#include "briarfield/control/configuration.hpp"
#include "briarfield/control/retry_policy.hpp"
#include "briarfield/control/sync_section.hpp"

#include <array>
#include <memory>
#include <optional>
#include <variant>

namespace briarfield
{

namespace config_codec
{
struct kind_delta;
} // namespace config_codec

/// \brief Delays of a \ref config_follower.
struct config_follower_options
{
    duration start_jitter = std::chrono::milliseconds(500);
    duration watch_jitter = std::chrono::milliseconds(250);
    duration role_check_interval = std::chrono::seconds(1);
    /// Time after the start after which an instance that need not watch the
    /// store lists from it nevertheless, if it is still incomplete.
    duration peer_timeout = std::chrono::seconds(4);
    /// Interval of lists during a running watch, which repair the loss of
    /// events that the store failed to send.
    duration relist_interval = std::chrono::minutes(10);
    backoff_options retry{std::chrono::milliseconds(200),
                          std::chrono::seconds(4)};
};

/// \brief Replicates the operators' objects from the store and from peers.
///
/// The version of each object only increases: a late or repeated response or
/// event has no effect, and a deleted object is kept as a tombstone. If a new
/// spec is invalid, the last valid spec stays in force and the object's report
/// contains the error. For each kind the follower stores the version up to
/// which it has received all changes; the digest that peers exchange carries
/// these versions and a hash of the content.
///
/// \sa configuration
class config_follower final : public sync_section
{
public:
    config_follower(object_store& store,
                    timer_queue& timers,
                    random_source& random,
                    config_follower_options options = {});
    ~config_follower() override;
    config_follower(const config_follower&) = delete;
    config_follower& operator=(const config_follower&) = delete;

    /// \brief Starts to follow; has no effect if already started.
    void start();

    /// \brief The configuration in force; never null.
    std::shared_ptr<const configuration> current() const { return current_; }

    /// \brief Whether all kinds are complete, from the store or from a peer.
    ///
    /// Until then \ref current is empty and must not be used for forwarding.
    bool ready() const;

    /// \brief Returns whether this instance watches the store; the others
    /// receive changes from peers. If unset, the instance watches.
    std::function<bool()> should_watch;

    /// \brief Called after each change of \ref current or \ref ready.
    std::function<void()> on_change;

    /// \brief The latest version of the object; null if absent or deleted.
    const stored_object* object(const object_key& key) const;

    /// \brief Whether \a generation of the object, or a later one, is in
    /// force on this instance.
    bool in_force(const object_key& key, std::uint64_t generation) const;

    std::string_view name() const override { return "configuration"; }
    std::string digest() const override;
    std::string delta(std::string_view peer_digest,
                      std::size_t limit) const override;
    result<void> merge(std::string_view delta) override;

private:
    using parsed_spec = std::
        variant<std::monostate, team_spec, service_spec, backend_pool_spec>;

    /// An object, or the tombstone of a deleted one.
    struct entry
    {
        stored_object latest;
        /// Tombstone; latest.version is the version of the deletion.
        bool deleted = false;
        /// Version of the last change that peers need.
        std::uint64_t changed_version = 0;
        error problem{errc::ok, {}};
        std::optional<stored_object> accepted; ///< Latest valid version.
        parsed_spec spec;                      ///< Spec of \ref accepted.
    };

    /// Objects of a kind, and the state of its watch and lists.
    struct kind_state
    {
        object_kind kind = object_kind::team;
        std::map<object_key, entry> entries;
        /// All changes up to this version have been received.
        std::uint64_t seen_version = 0;
        /// A list or the complete content of a peer has been applied.
        bool complete = false;
        /// Tombstones up to this version may have been removed.
        std::uint64_t purged_version = 0;
        std::unique_ptr<object_store::watch> watch;
        bool listing = false;
        bool needs_list = true;
        timer_id retry_timer = 0;
        time_point listed_at{};
        backoff retry_backoff;
    };

    using kinds_type = std::array<kind_state, 3>;

    void check_role();
    bool should_use_store() const;
    void follow_now(kind_state& state);
    void list(kind_state& state);
    void apply_list(kind_state& state, const object_list& all);
    void watch(kind_state& state);
    void apply_event(kind_state& state, const watch_event& event);
    void on_watch_end(kind_state& state, const error& reason);
    void retry_later(kind_state& state);
    bool apply(kind_state& state, const stored_object& object, bool deleted);
    static void accept(entry& e, const stored_object& object);
    static bool apply_accepted(entry& e, const stored_object& object);
    static void purge_old_tombstones(kind_state& state);
    static std::uint64_t content_hash(const kind_state& state);
    static std::vector<const entry*> changed_since(const kind_state& state,
                                                   std::uint64_t version);
    std::vector<const entry*> repair_order(const kind_state& state) const;
    kind_state& state_of(object_kind kind);
    const kind_state& state_of(object_kind kind) const;
    bool apply_delta(const config_codec::kind_delta& received);
    void publish();
    std::shared_ptr<const configuration> build() const;
    duration jitter(duration bound);

    object_store* store_;
    timer_queue* timers_;
    random_source* random_;
    config_follower_options options_;
    kinds_type kinds_;
    std::shared_ptr<const configuration> current_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    timer_id role_timer_ = 0;
    time_point started_{};
    bool running_ = false;
    mutable std::size_t repair_cursor_ = 0;
};

} // namespace briarfield

#endif
