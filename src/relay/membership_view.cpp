#include "briarfield/relay/membership_view.hpp"

#include "briarfield/dispatch/placement.hpp"

#include <algorithm>
#include <xxhash.h>

namespace briarfield
{

namespace
{

constexpr member_kind all_kinds[] = {member_kind::agent, member_kind::balancer};

constexpr std::string_view kind_names[] = {"agent", "balancer"};
static_assert(std::size(kind_names) ==
              static_cast<std::size_t>(member_kind::count_));

bool same_content(const membership_record& a, const membership_record& b)
{
    return a.revision == b.revision && a.incarnation == b.incarnation &&
           a.relay == b.relay;
}

} // namespace

std::string_view member_kind_name(member_kind kind) noexcept
{
    return kind_names[static_cast<std::size_t>(kind)];
}

membership_view::membership_view(const clock& c,
                                 const endpoint& own,
                                 const options& opts)
    : clock_(&c), own_(own), options_(opts), running_since_(c.now())
{
}

void membership_view::restart()
{
    running_since_ = clock_->now();
    for (member_set& set : members_)
    {
        set.listed = false;
        // Responses that arrived during the pause have yet to be read.
        for (auto& [relay, hellos] : set.awaited)
            hellos = hello_state();
    }
}

void membership_view::on_list(member_kind kind, const record_list& all)
{
    member_set& set = members(kind);
    set.listed = true;
    const std::map<std::string, recorded> previous = std::move(set.records);
    set.records.clear();
    for (const membership_record& record : all)
    {
        if (record.relay == own_)
            continue;
        const auto found = previous.find(record.name);
        const bool changed = found == previous.end() ||
                             !same_content(found->second.record, record);
        set.records[record.name] = {record, changed ? clock_->now()
                                                    : found->second.first_read};
        if (changed)
            await_owner(set, record);
        else if (!within(set.contacts[record.relay].last_heard,
                         options_.give_up_after))
            set.pending_retries.insert(record.relay);
    }
    remove_old_contacts(set);
}

/// An owner that was heard with the recorded incarnation is tracked by
/// \ref agent_directory. One that was heard with another incarnation has
/// restarted before or after it wrote the record.
void membership_view::await_owner(member_set& set,
                                  const membership_record& record)
{
    contact& owner = set.contacts[record.relay];
    owner.given_up = false;
    const bool heard =
        within(owner.last_heard, options_.give_up_after) ||
        (owner.last_heard && owner.incarnation == record.incarnation);
    if (!heard)
        set.awaited.try_emplace(record.relay);
}

void membership_view::on_heard(member_kind kind,
                               const endpoint& relay,
                               std::uint64_t incarnation)
{
    member_set& set = members(kind);
    contact& sender = set.contacts[relay];
    sender.last_heard = clock_->now();
    sender.incarnation = incarnation;
    sender.given_up = false;
    set.awaited.erase(relay);
    set.pending_retries.erase(relay);
}

void membership_view::on_reported(member_kind kind, const endpoint& relay)
{
    if (relay == own_)
        return;
    member_set& set = members(kind);
    contact& reported = set.contacts[relay];
    reported.last_reported = clock_->now();
    if (!reported.last_heard && !reported.given_up)
        set.awaited.try_emplace(relay);
}

void membership_view::check()
{
    for (const member_kind kind : all_kinds)
    {
        member_set& set = members(kind);
        for (auto i = set.awaited.begin(); i != set.awaited.end();)
        {
            if (!i->second.first ||
                within(i->second.first, options_.give_up_after))
            {
                ++i;
                continue;
            }
            set.contacts[i->first].given_up = true;
            if (on_given_up)
                on_given_up({kind, i->first});
            i = set.awaited.erase(i);
        }
    }
}

std::vector<membership_view::recipient>
membership_view::take_hellos(std::size_t limit)
{
    std::vector<recipient> due;
    // First hellos come first: many processes that do not respond must not
    // delay those to others.
    for (const bool repeated : {false, true})
        for (const member_kind kind : all_kinds)
            take_awaited(kind, repeated, limit, due);
    for (const member_kind kind : all_kinds)
    {
        auto& pending_retries = members(kind).pending_retries;
        while (!pending_retries.empty() && due.size() < limit)
        {
            due.push_back({kind, *pending_retries.begin()});
            pending_retries.erase(pending_retries.begin());
        }
    }
    return due;
}

void membership_view::take_awaited(member_kind kind,
                                   bool repeated,
                                   std::size_t limit,
                                   std::vector<recipient>& due)
{
    const time_point now = clock_->now();
    for (auto& [relay, hellos] : members(kind).awaited)
    {
        if (due.size() == limit)
            return;
        const bool waits =
            hellos.first && now - hellos.last < options_.hello_interval;
        if (waits || hellos.first.has_value() != repeated)
            continue;
        hellos.first = hellos.first.value_or(now);
        hellos.last = now;
        due.push_back({kind, relay});
    }
}

bool membership_view::confirmed() const
{
    const bool complete =
        std::all_of(members_.begin(), members_.end(),
                    [](const member_set& set) { return set.listed; });
    return complete && awaited(member_kind::agent) == 0;
}

record_list
membership_view::removable(member_kind kind,
                           const std::vector<endpoint>& balancers) const
{
    const time_point now = clock_->now();
    record_list found;
    if (now - running_since_ < options_.removal_age)
        return found;
    const member_set& set = members(kind);
    for (const auto& [name, entry] : set.records)
        if (now - entry.first_read >= options_.removal_age &&
            absent(set, entry.record.relay) && ranks_first(name, balancers))
            found.push_back(entry.record);
    return found;
}

/// Contacts without a record are removed long after the last message, so that
/// addresses that peers report and that never respond do not accumulate.
void membership_view::remove_old_contacts(member_set& set) const
{
    std::unordered_set<endpoint, endpoint_hash> recorded_addresses;
    for (const auto& [name, entry] : set.records)
        recorded_addresses.insert(entry.record.relay);
    for (auto i = set.contacts.begin(); i != set.contacts.end();)
    {
        const bool old = absent(set, i->first) &&
                         set.awaited.count(i->first) == 0 &&
                         recorded_addresses.count(i->first) == 0;
        i = old ? set.contacts.erase(i) : std::next(i);
    }
}

bool membership_view::within(const std::optional<time_point>& t,
                             duration limit) const
{
    return t && clock_->now() - *t <= limit;
}

/// Whether the address was neither heard nor reported for
/// options::removal_age.
bool membership_view::absent(const member_set& set, const endpoint& relay) const
{
    const auto found = set.contacts.find(relay);
    return found == set.contacts.end() ||
           (!within(found->second.last_heard, options_.removal_age) &&
            !within(found->second.last_reported, options_.removal_age));
}

/// Rendezvous hashing: balancers that hear the same peers agree on the one that
/// removes a record.
bool membership_view::ranks_first(const std::string& name,
                                  const std::vector<endpoint>& balancers) const
{
    const std::uint64_t hash = XXH3_64bits(name.data(), name.size());
    const auto rank = [hash](const endpoint& balancer)
    { return std::pair(placement_rank(hash, balancer), balancer); };
    return std::all_of(balancers.begin(), balancers.end(),
                       [&](const endpoint& other)
                       { return !(rank(own_) < rank(other)); });
}

} // namespace briarfield
