#ifndef BRIARFIELD_RELAY_NOTICE_SENDER_HPP
#define BRIARFIELD_RELAY_NOTICE_SENDER_HPP

#include "briarfield/control/dispatch_messages.hpp"
#include "briarfield/dispatch/agent_directory.hpp"
#include "briarfield/dispatch/evacuation_set.hpp"
#include "briarfield/dispatch/route_table.hpp"
#include "briarfield/net/udp_socket.hpp"
#include "briarfield/relay/membership_view.hpp"
#include "briarfield/relay/notice_plan.hpp"
#include "briarfield/relay/relay_peers.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace briarfield
{

/// \brief Composes the notices of a balancer and sends them to other balancers
/// and to agents.
///
/// Notices are queued; the caller flushes the socket.
class notice_sender
{
public:
    /// \brief What notices tell; all of it must outlive the sender.
    struct sources
    {
        const clock* time;
        const route_table* routes;
        const evacuation_set* evacuations;
        const agent_directory* agents;
        relay_peers* peers;
    };

    /// \param incarnation Differs with each start of the balancer.
    /// \param interval Interval at which balancers send notices.
    notice_sender(const sources& from,
                  std::uint64_t incarnation,
                  duration interval)
        : from_(from), incarnation_(incarnation), interval_(interval)
    {
    }

    /// \brief Sends from \a relay from now on; its local address names the
    /// balancer in notices.
    void use_socket(udp_socket& relay) { relay_ = &relay; }

    /// \brief Sends a round of notices to all balancers and to the agents that
    /// this balancer notifies.
    void send_round();

    /// \brief Sends notices to the agents that this balancer notifies.
    void send_to_agents();

    /// \brief Sends a notice with all lists to a balancer.
    void send_to_balancer(const endpoint& balancer);

    /// \brief Sends a notice with the balancers to an agent that peers report,
    /// unless it got one a short time ago.
    void greet_reported_agent(const endpoint& agent);

    /// \brief Sends a notice with the balancers, and the limit of the openings
    /// of its server, to an agent that has started.
    void greet_started_agent(const agent_directory::record& agent);

    /// \brief Sends hellos. The addresses may be outdated, so they become peers
    /// only when they respond.
    void send_hellos(const std::vector<membership_view::recipient>& to);

    /// \brief Tells all balancers and agents that this balancer leaves.
    void send_leave();

private:
    /// What a notice tells besides the state of its sender.
    enum class content : std::uint8_t
    {
        no_lists,
        balancers, ///< Addresses of balancers.
        all        ///< Addresses of balancers and agents.
    };

    balancer_notice make_notice(content what);
    std::vector<endpoint> tracked_agents() const;
    notice_plan current_plan() const;
    std::string frame_for(balancer_notice notice,
                          const agent_directory::record& agent) const;
    void send_to_balancers(const notice_plan& plan);
    void send_to_agents(const notice_plan& plan);

    sources from_;
    std::uint64_t incarnation_;
    duration interval_;
    udp_socket* relay_ = nullptr;
    std::unordered_map<endpoint, time_point, endpoint_hash> last_greeting_;
    std::size_t round_ = 0;
    std::size_t next_listed_balancer_ = 0; ///< First one in the next notice.
    std::size_t next_listed_agent_ = 0;    ///< First one in the next notice.
};

} // namespace briarfield

#endif
