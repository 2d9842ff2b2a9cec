#include "briarfield/control/peer_exchange.hpp"

#include "group_digest.hpp"

#include <algorithm>

namespace briarfield
{

namespace
{

constexpr std::string_view event_names[] = {
    "sent", "received", "equal", "delta_sent", "delta_taken", "malformed"};

/// Rounds: hashes; digest; finer digest, and delta if that tells enough;
/// delta and finer digest; delta.
constexpr std::uint8_t first_delta_round = 2;
constexpr std::uint8_t last_digest_round = 3;
constexpr std::uint8_t last_round = 4;

/// Hash of a digest; never zero.
std::uint64_t hash_of(std::string_view bytes)
{
    std::uint64_t h = bytes.size() + 1;
    while (!bytes.empty())
    {
        std::uint64_t word = 0;
        const std::size_t size = std::min<std::size_t>(8, bytes.size());
        std::memcpy(&word, bytes.data(), size);
        h = mix_hash(h, word);
        bytes.remove_prefix(size);
    }
    return h == 0 ? 1 : h;
}

} // namespace

std::string_view peer_exchange_event_name(peer_exchange_event event) noexcept
{
    return event_names[static_cast<std::size_t>(event)];
}

peer_message peer_exchange::make_message()
{
    peer_message m;
    m.sender = members_->local_record();
    m.sequence = ++sequence_;
    counters_.add(peer_exchange_event::sent);
    return m;
}

void peer_exchange::greet(const endpoint& to)
{
    peer_message m = make_message();
    for (const sync_section* s : sections_)
        m.sections.push_back(
            {std::string(s->name()), hash_of(s->digest()), {}, {}});
    send(to, m);
}

std::vector<endpoint> peer_exchange::random_others(std::size_t count)
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
    if (now < next_)
        return;
    next_ = now + options_.interval;
    for (const balancer_record& r : members_->observers())
        greet(r.control);
    for (const endpoint& to : random_others(options_.random_peers))
        greet(to);
    const auto others = members_->live_others();
    for (const endpoint& seed : seeds_)
    {
        const bool known = std::any_of(others.begin(), others.end(),
                                       [&](const balancer_record* r)
                                       { return r->control == seed; });
        if (!known && seed != members_->local_record().control)
            greet(seed);
    }
}

void peer_exchange::push()
{
    for (const endpoint& to : random_others(options_.push_fanout))
        greet(to);
}

section_message peer_exchange::answer_section(sync_section& s,
                                              const section_message& theirs,
                                              std::uint8_t round,
                                              bool& progressed)
{
    section_message own;
    own.name = theirs.name;
    const std::uint64_t before = hash_of(s.digest());
    if (!theirs.delta.empty())
    {
        const bool read = bool(s.merge(theirs.delta));
        counters_.add(read ? peer_exchange_event::delta_taken
                           : peer_exchange_event::malformed);
    }
    own.hash = hash_of(s.digest());
    progressed = progressed || own.hash != before;
    if (own.hash == theirs.hash)
    {
        counters_.add(peer_exchange_event::equal);
        return own;
    }
    const auto next = static_cast<std::uint8_t>(round + 1);
    if (next >= first_delta_round && !theirs.digest.empty())
        own.delta = s.delta(theirs.digest, options_.delta_limit);
    if (!own.delta.empty())
        counters_.add(peer_exchange_event::delta_sent);
    if (next < first_delta_round)
        own.digest = s.digest();
    else if (next <= last_digest_round && !theirs.digest.empty())
        own.digest = s.detail(theirs.digest, options_.detail_limit);
    return own;
}

void peer_exchange::on_message(const peer_message& m, const endpoint& from)
{
    counters_.add(peer_exchange_event::received);
    (void)members_->on_heartbeat(m.sender, m.sequence);
    std::vector<section_message> answers;
    bool progressed = false;
    bool behind = false;
    for (const section_message& theirs : m.sections)
    {
        const auto found = std::find_if(sections_.begin(), sections_.end(),
                                        [&](const sync_section* s)
                                        { return s->name() == theirs.name; });
        if (found == sections_.end())
            continue;
        section_message own =
            answer_section(**found, theirs, m.round, progressed);
        if (own.hash == theirs.hash)
            agreed_.insert(own.name);
        else
            behind = true;
        if (!own.delta.empty() || !own.digest.empty())
            answers.push_back(std::move(own));
    }
    if (m.round < last_round && !answers.empty())
        reply(std::move(answers), static_cast<std::uint8_t>(m.round + 1), from);
    else if (progressed && behind)
        greet(from); // The rest of what was too much for one message.
}

void peer_exchange::reply(std::vector<section_message> sections,
                          std::uint8_t round,
                          const endpoint& to)
{
    std::size_t next = 0;
    while (next < sections.size())
    {
        peer_message m = make_message();
        m.round = round;
        std::size_t size = 0;
        for (; next < sections.size(); ++next)
        {
            section_message& s = sections[next];
            size += s.name.size() + s.digest.size() + s.delta.size();
            if (!m.sections.empty() && size > options_.message_limit)
                break;
            m.sections.push_back(std::move(s));
        }
        send(to, m);
    }
}

} // namespace briarfield
