#ifndef BRIARFIELD_RELAY_MEMBERSHIP_VIEW_HPP
#define BRIARFIELD_RELAY_MEMBERSHIP_VIEW_HPP

#include "briarfield/core/clock.hpp"
#include "briarfield/relay/membership_record.hpp"

#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace briarfield
{

/// \brief Decides whether a balancer has heard every agent that exists, which
/// processes it sends a hello, and which records it removes; free of I/O.
///
/// Compares the records in the store and the reports of peers with the messages
/// that the balancer has received. The list of agents is confirmed if both
/// kinds of records were read since the start or the last pause, and every
/// agent that is recorded or reported has been heard or given up. Time alone
/// confirms nothing: without the records a balancer and the agents that have
/// flows may never find each other.
class membership_view
{
public:
    /// \brief Timeouts of the decisions.
    struct options
    {
        /// A process that has not been heard for this long after its first
        /// hello is given up. As long as the recovery timeout of
        /// \ref agent_directory, after which a silent agent holds no flows.
        duration give_up_after = std::chrono::seconds(4);
        /// Interval of hellos to a process that is awaited; one may be lost.
        duration hello_interval = std::chrono::milliseconds(400);
        /// A record is removed when its owner has not been heard for this long.
        duration removal_age = std::chrono::minutes(1);
    };

    /// \brief A process to which a message is sent.
    struct recipient
    {
        member_kind kind = member_kind::agent;
        endpoint relay;
    };

    /// \param own Relay address of this balancer.
    membership_view(const clock& c, const endpoint& own, const options& opts);
    membership_view(const clock& c, const endpoint& own)
        : membership_view(c, own, options())
    {
    }

    /// \brief To be called after a pause of the process: records may have been
    /// written meanwhile, so the list is unconfirmed as after a start.
    void restart();

    /// \brief Records the result of a read of all records of \a kind.
    void on_list(member_kind kind, const record_list& all);

    /// \brief Records a message of a process.
    void on_heard(member_kind kind,
                  const endpoint& relay,
                  std::uint64_t incarnation);

    /// \brief Records that a peer reported a process.
    void on_reported(member_kind kind, const endpoint& relay);

    /// \brief Gives up processes that did not respond; to be called several
    /// times a second.
    void check();

    /// \brief Returns at most \a limit processes that are due a hello, and
    /// counts them as sent.
    std::vector<recipient> take_hellos(std::size_t limit);

    /// \brief Whether the balancer has heard every agent that may exist.
    bool confirmed() const;

    /// \brief Number of awaited processes of \a kind.
    std::size_t awaited(member_kind kind) const
    {
        return members(kind).awaited.size();
    }

    /// \brief Records whose owner was neither heard nor reported for
    /// options::removal_age, and that this balancer removes, since it ranks
    /// first for their names among itself and \a balancers.
    record_list removable(member_kind kind,
                          const std::vector<endpoint>& balancers) const;

    /// \brief Called for each process that is given up.
    std::function<void(const recipient&)> on_given_up;

private:
    struct recorded
    {
        membership_record record;
        time_point first_read{}; ///< Of this revision.
    };

    /// What was received from or about an address.
    struct contact
    {
        std::optional<time_point> last_heard;
        std::optional<time_point> last_reported;
        std::uint64_t incarnation = 0; ///< In the last message.
        bool given_up = false;
    };

    /// Hellos to a process that has not responded.
    struct hello_state
    {
        std::optional<time_point> first;
        time_point last{};
    };

    /// Processes of a kind.
    struct member_set
    {
        bool listed = false; ///< Read since the start or the last pause.
        std::map<std::string, recorded> records;
        std::unordered_map<endpoint, contact, endpoint_hash> contacts;
        std::unordered_map<endpoint, hello_state, endpoint_hash> awaited;
        /// Given up, and due one more hello since the records were read.
        std::unordered_set<endpoint, endpoint_hash> pending_retries;
    };

    member_set& members(member_kind kind)
    {
        return members_[static_cast<std::size_t>(kind)];
    }
    const member_set& members(member_kind kind) const
    {
        return members_[static_cast<std::size_t>(kind)];
    }

    void await_owner(member_set& set, const membership_record& record);
    void take_awaited(member_kind kind,
                      bool repeated,
                      std::size_t limit,
                      std::vector<recipient>& due);
    void remove_old_contacts(member_set& set) const;
    bool within(const std::optional<time_point>& t, duration limit) const;
    bool absent(const member_set& set, const endpoint& relay) const;
    bool ranks_first(const std::string& name,
                     const std::vector<endpoint>& balancers) const;

    const clock* clock_;
    endpoint own_;
    options options_;
    time_point running_since_;
    std::array<member_set, static_cast<std::size_t>(member_kind::count_)>
        members_;
};

} // namespace briarfield

#endif
