#include "briarfield/control/peer_exchange.hpp"

#include "group_digest.hpp"

#include <algorithm>

namespace briarfield
{

namespace
{

constexpr std::string_view event_names[] = {
    "sent", "received", "equal", "delta_sent", "delta_taken", "malformed"};

/// Contents of a message by round:
/// 0: hashes; 1: digest; 2: finer digest, and a delta if the digest suffices
/// for one; 3: delta and finer digest; 4: delta.
constexpr std::uint8_t first_delta_round = 2;
constexpr std::uint8_t last_digest_round = 3;
constexpr std::uint8_t last_round = 4;

/// Hash of a digest; never zero.
std::uint64_t hash_of(std::string_view bytes)
{
    std::uint64_t hash = bytes.size() + 1;
    while (!bytes.empty())
    {
        std::uint64_t word = 0;
        const std::size_t size = std::min<std::size_t>(8, bytes.size());
        std::memcpy(&word, bytes.data(), size);
        hash = mix_hash(hash, word);
        bytes.remove_prefix(size);
    }
    return hash == 0 ? 1 : hash;
}

} // namespace

std::string_view peer_exchange_event_name(peer_exchange_event event) noexcept
{
    return event_names[static_cast<std::size_t>(event)];
}

peer_message peer_exchange::make_message()
{
    peer_message message;
    message.sender = members_->local_record();
    message.sequence = ++sequence_;
    counters_.add(peer_exchange_event::sent);
    return message;
}

void peer_exchange::send_hello(const endpoint& to)
{
    peer_message message = make_message();
    for (const sync_section* section : sections_)
        message.sections.push_back(
            {std::string(section->name()), hash_of(section->digest()), {}, {}});
    send(to, message);
}

std::vector<endpoint> peer_exchange::choose_random_peers(std::size_t count)
{
    auto others = members_->live_others();
    count = std::min(count, others.size());
    std::vector<endpoint> chosen;
    for (std::size_t i = 0; i < count; ++i)
    {
        std::swap(others[i], others[i + random_.below(others.size() - i)]);
        chosen.push_back(others[i]->control);
    }
    return chosen;
}

void peer_exchange::poll()
{
    const time_point now = clock_->now();
    if (now < next_send_)
        return;
    next_send_ = now + options_.interval;
    for (const balancer_record& peer : members_->observers())
        send_hello(peer.control);
    for (const endpoint& to : choose_random_peers(options_.random_peers))
        send_hello(to);
    const auto others = members_->live_others();
    for (const endpoint& seed : seeds_)
    {
        const bool known = std::any_of(others.begin(), others.end(),
                                       [&](const balancer_record* peer)
                                       { return peer->control == seed; });
        if (!known && seed != members_->local_record().control)
            send_hello(seed);
    }
}

void peer_exchange::push()
{
    for (const endpoint& to : choose_random_peers(options_.push_fanout))
        send_hello(to);
}

section_message peer_exchange::answer_section(sync_section& section,
                                              const section_message& theirs,
                                              std::uint8_t round,
                                              bool& progressed)
{
    section_message own;
    own.name = theirs.name;
    const std::uint64_t before = hash_of(section.digest());
    if (!theirs.delta.empty())
    {
        const bool read = bool(section.merge(theirs.delta));
        counters_.add(read ? peer_exchange_event::delta_taken
                           : peer_exchange_event::malformed);
    }
    own.hash = hash_of(section.digest());
    progressed = progressed || own.hash != before;
    if (own.hash == theirs.hash)
    {
        counters_.add(peer_exchange_event::equal);
        return own;
    }
    const auto next = static_cast<std::uint8_t>(round + 1);
    if (next >= first_delta_round && !theirs.digest.empty())
        own.delta = section.delta(theirs.digest, options_.delta_limit);
    if (!own.delta.empty())
        counters_.add(peer_exchange_event::delta_sent);
    if (next < first_delta_round)
        own.digest = section.digest();
    else if (next <= last_digest_round && !theirs.digest.empty())
        own.digest = section.detail(theirs.digest, options_.detail_limit);
    return own;
}

void peer_exchange::on_message(const peer_message& message,
                               const endpoint& from)
{
    counters_.add(peer_exchange_event::received);
    (void)members_->on_heartbeat(message.sender, message.sequence);
    std::vector<section_message> answers;
    bool progressed = false;
    bool differs = false;
    for (const section_message& theirs : message.sections)
    {
        const auto found =
            std::find_if(sections_.begin(), sections_.end(),
                         [&](const sync_section* section)
                         { return section->name() == theirs.name; });
        if (found == sections_.end())
            continue;
        section_message own =
            answer_section(**found, theirs, message.round, progressed);
        if (own.hash == theirs.hash)
            agreed_.insert(own.name);
        else
            differs = true;
        if (!own.delta.empty() || !own.digest.empty())
            answers.push_back(std::move(own));
    }
    if (message.round < last_round && !answers.empty())
        reply(std::move(answers), static_cast<std::uint8_t>(message.round + 1),
              from);
    else if (progressed && differs)
        send_hello(from); // Continues where one message was too small.
}

void peer_exchange::reply(std::vector<section_message> sections,
                          std::uint8_t round,
                          const endpoint& to)
{
    std::size_t next = 0;
    while (next < sections.size())
    {
        peer_message message = make_message();
        message.round = round;
        std::size_t size = 0;
        for (; next < sections.size(); ++next)
        {
            section_message& section = sections[next];
            size += section.name.size() + section.digest.size() +
                    section.delta.size();
            if (!message.sections.empty() && size > options_.message_limit)
                break;
            message.sections.push_back(std::move(section));
        }
        send(to, message);
    }
}

} // namespace briarfield
