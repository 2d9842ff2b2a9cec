#include "briarfield/relay/notice_sender.hpp"

#include "message_frame.hpp"

#include <map>

namespace briarfield
{

namespace
{

using namespace std::chrono_literals;

/// Maximum addresses in each list of a notice, so that it fits one datagram.
constexpr std::size_t max_listed_addresses = 40;

/// An agent that another balancer reports is sent another notice after this
/// interval if no heartbeat of it was received.
constexpr duration greeting_interval = 400ms;

/// A balancer that has missed this many notices no longer takes its part in
/// notifying agents.
constexpr int missed_notices = 3;

/// Returns the next addresses of \a all that fit a notice; \a cursor advances
/// through the list in a circle.
std::vector<endpoint> next_addresses(const std::vector<endpoint>& all,
                                     std::size_t& cursor)
{
    if (all.size() <= max_listed_addresses)
        return all;
    std::vector<endpoint> part;
    for (std::size_t i = 0; i < max_listed_addresses; ++i)
        part.push_back(all[(cursor + i) % all.size()]);
    cursor = (cursor + max_listed_addresses) % all.size();
    return part;
}

} // namespace

void notice_sender::send_round()
{
    const notice_plan plan = current_plan();
    send_to_balancers(plan);
    send_to_agents(plan);
}

void notice_sender::send_to_agents()
{
    send_to_agents(current_plan());
}

void notice_sender::send_to_balancer(const endpoint& balancer)
{
    relay_->queue_copy(balancer,
                       bytes_of(message_frame(make_notice(content::all))));
}

void notice_sender::greet_reported_agent(const endpoint& agent)
{
    const time_point now = from_.time->now();
    time_point& last = last_greeting_[agent];
    if (last != time_point{} && now - last < greeting_interval)
        return;
    last = now;
    relay_->queue_copy(
        agent, bytes_of(message_frame(make_notice(content::balancers))));
}

void notice_sender::greet_started_agent(const agent_directory::record& agent)
{
    relay_->queue_copy(
        agent.status.relay_address,
        bytes_of(frame_for(make_notice(content::balancers), agent)));
}

void notice_sender::send_hellos(
    const std::vector<membership_view::recipient>& to)
{
    const std::string to_balancers = message_frame(make_notice(content::all));
    const std::string to_agents =
        message_frame(make_notice(content::balancers));
    for (const membership_view::recipient& recipient : to)
        relay_->queue_copy(recipient.relay,
                           bytes_of(recipient.kind == member_kind::balancer
                                        ? to_balancers
                                        : to_agents));
}

void notice_sender::send_leave()
{
    balancer_notice notice;
    notice.relay = relay_->local();
    notice.leaving = true;
    const std::string frame = message_frame(notice);
    queue_frame(*relay_, from_.peers->recipients(), frame);
    for (std::size_t i = 0; i < from_.agents->size(); ++i)
    {
        const auto& agent = from_.agents->at(static_cast<agent_index>(i));
        relay_->queue_copy(agent.status.relay_address, bytes_of(frame));
    }
}

balancer_notice notice_sender::make_notice(content what)
{
    balancer_notice notice;
    notice.relay = relay_->local();
    notice.incarnation = incarnation_;
    notice.config_version = from_.routes->version();
    notice.agent_count =
        static_cast<std::uint32_t>(from_.agents->count_alive());
    notice.evacuations = from_.evacuations->current();
    if (what == content::no_lists)
        return notice;
    notice.balancers =
        next_addresses(from_.peers->alive(), next_listed_balancer_);
    if (what == content::all)
        notice.agents = next_addresses(tracked_agents(), next_listed_agent_);
    return notice;
}

/// Agents that may hold flows.
std::vector<endpoint> notice_sender::tracked_agents() const
{
    std::vector<endpoint> tracked;
    for (std::size_t i = 0; i < from_.agents->size(); ++i)
    {
        const auto index = static_cast<agent_index>(i);
        if (from_.agents->may_hold_flows(index))
            tracked.push_back(from_.agents->at(index).status.relay_address);
    }
    return tracked;
}

notice_plan notice_sender::current_plan() const
{
    return {relay_->local(),
            from_.peers->heard_within(missed_notices * interval_)};
}

/// Encodes \a notice for \a agent, with the limit of the openings of its
/// server.
std::string notice_sender::frame_for(balancer_notice notice,
                                     const agent_directory::record& agent) const
{
    if (from_.routes->version() > 0)
        notice.warmup_limits = {from_.routes->limit_of(agent.status.service)};
    return message_frame(notice);
}

void notice_sender::send_to_balancers(const notice_plan& plan)
{
    const std::string with_lists = message_frame(make_notice(content::all));
    const std::string brief = message_frame(make_notice(content::no_lists));
    for (const endpoint& peer : from_.peers->recipients())
        relay_->queue_copy(
            peer, bytes_of(plan.gets_lists(peer, round_) ? with_lists : brief));
    ++round_;
}

void notice_sender::send_to_agents(const notice_plan& plan)
{
    const balancer_notice notice = make_notice(content::balancers);
    // One frame for the agents of each service.
    std::map<service_tag, std::string> frames;
    for (std::size_t i = 0; i < from_.agents->size(); ++i)
    {
        const auto index = static_cast<agent_index>(i);
        const agent_directory::record& agent = from_.agents->at(index);
        if (!from_.agents->alive(index) ||
            !plan.notifies(agent.status.relay_address))
            continue;
        std::string& frame = frames[agent.tag];
        if (frame.empty())
            frame = frame_for(notice, agent);
        relay_->queue_copy(agent.status.relay_address, bytes_of(frame));
    }
}

} // namespace briarfield
