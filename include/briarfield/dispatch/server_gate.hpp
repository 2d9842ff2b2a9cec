#ifndef BRIARFIELD_DISPATCH_SERVER_GATE_HPP
#define BRIARFIELD_DISPATCH_SERVER_GATE_HPP

#include "briarfield/core/counter_set.hpp"
#include "briarfield/core/histogram.hpp"
#include "briarfield/dispatch/agent_directory.hpp"
#include "briarfield/dispatch/load_gauge.hpp"
#include "briarfield/dispatch/server_registration.hpp"
#include "briarfield/flow/flow_table.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace briarfield
{

/// \brief What became of a packet at an agent; one counter each.
enum class gate_event : std::uint8_t
{
    delivered,           ///< To the server.
    offered,             ///< An opening, to the server.
    answered,            ///< From the server to the caller.
    accepted,            ///< The server's answer to an opening.
    given_back,          ///< The server returned it.
    refused_service,     ///< Opening for another service.
    refused_draining,    ///< Opening while the server leaves.
    refused_silent,      ///< Opening while the server is silent.
    refused_busy,        ///< Opening while many requests are in progress.
    dropped_unknown_tag, ///< Returned, but sent before our start.
    probed,              ///< A packet of an open flow, to the server again.
    reset_ended,         ///< The server returned that: the flow is over.
    count_
};

/// \brief Label of \a event in logs and metrics.
std::string_view gate_event_name(gate_event event) noexcept;

/// \brief What to do with the packet in hand.
struct gate_verdict
{
    enum class action : std::uint8_t
    {
        drop,
        deliver,       ///< To the server, with \ref tag.
        return_packet, ///< To \ref balancer, with \ref reason.
        answer,        ///< To the caller.
        reset          ///< A reset of ours to the caller, with \ref sequence.
    };

    action decision = action::drop;
    gate_event event = gate_event::delivered;
    std::uint32_t tag = 0;
    endpoint balancer;
    return_reason reason = return_reason::not_taken;
    bool notify_balancer = false; ///< \ref balancer is to learn of the flow.
    std::uint32_t sequence = 0;   ///< For action::reset.
};

/// \brief The agent's decision for each packet, free of I/O.
///
/// The agent stands beside its server, so what balancers believe does not
/// matter here: no opening passes for another service, after the server said
/// that it leaves, or when the server has been silent. Packets of flows pass
/// always, since the server itself knows its flows. What the agent notes of
/// flows serves its load gauge and tells balancers where a flow is; losing it
/// breaks nothing.
class server_gate
{
public:
    /// \brief Flows that an agent notes.
    static constexpr std::size_t flow_capacity = 16384;

    /// \brief Tag of packets by which the server is asked about a flow.
    static constexpr std::uint32_t probe_tag = 0xffffffff;

    /// \brief A server that may have ended is asked about its flows once in
    /// this time.
    static constexpr duration probe_interval = std::chrono::milliseconds(500);

    /// \brief Balancers that an agent remembers; more than there are.
    static constexpr std::size_t balancer_capacity = 4096;

    /// \brief Flows without a packet for so long are forgotten.
    static constexpr duration flow_idle_timeout = std::chrono::seconds(20);

    /// \brief The same for flows that an end has closed.
    static constexpr duration closed_flow_idle_timeout =
        std::chrono::seconds(2);

    /// \brief Requests for each slot, in progress or about to come, from which
    /// on an opening is better off elsewhere. One that waits for two others
    /// on its slot still makes its aim.
    static constexpr double max_requests_per_slot = 2;

    /// \brief A flow that was offered is taken to send its first request
    /// within this time.
    static constexpr duration first_request_timeout =
        std::chrono::milliseconds(100);

    /// \brief A server that returned an opening is tried again after this.
    static constexpr duration rejection_backoff =
        std::chrono::milliseconds(500);

    /// \brief A request without an answer for so long is not in progress.
    static constexpr duration request_timeout = std::chrono::seconds(3);

    server_gate(const clock& c, server_registration& server)
        : clock_(&c), server_(&server), load_(c)
    {
    }

    /// \brief Decides on a packet that a balancer at \a from sent.
    gate_verdict on_balancer_packet(const flow_packet& packet,
                                    forward_info info,
                                    const endpoint& from);

    /// \brief Decides on a packet of the server; \a tag is what it carries.
    gate_verdict on_server_packet(const flow_packet& packet, std::uint32_t tag);

    /// \brief Forgets idle flows; to be called now and then.
    void expire();

    std::uint32_t open_flows() const { return open_count_; }

    /// \brief For each flow on which the server has answered since its opening,
    /// the caller's last packet without payload.
    ///
    /// Handed to the server again it does nothing if the server has the flow,
    /// and comes back if not.
    std::vector<short_packet> probes() const;

    /// \brief Notes that the server was handed such a packet.
    void record_probe() { counters_.add(gate_event::probed); }

    /// \brief Called when the server may have ended with its flows: it has
    /// returned a packet of a flow on which it had answered.
    std::function<void()> on_flow_lost;

    /// \brief What balancers are to hear of the server: its service, state and
    /// load. The caller adds the agent's address, zone and sequence.
    ///
    /// A server that has just returned an opening counts as silent.
    agent_status status();

    const counter_set<gate_event>& counters() const { return counters_; }

    /// \brief Times from the first byte of a request to that of its answer.
    const histogram& request_times() const { return request_times_; }

    /// \brief Called for each decision on an opening.
    std::function<void(const flow_packet&, const gate_verdict&)> on_decision;

private:
    /// What is noted of a flow.
    struct flow_record
    {
        time_point last_packet{};
        time_point request_start{}; ///< When the request began.
        std::uint16_t balancer = 0; ///< Position in balancers_.
        bool open = false;          ///< The server has answered the opening.
        bool balancer_notified = false; ///< The balancer knows of the flow.
        bool in_progress = false;
        bool closed = false; ///< An end has closed or reset it.
        bool answered =
            false;          ///< The server has sent more than its acceptance.
        short_packet probe; ///< See \ref probes.
    };

    std::uint16_t position_of(const endpoint& balancer);
    void record_packet(const flow_packet& packet,
                       forward_mode mode,
                       std::uint16_t balancer);
    void end_request(flow_record& record);
    void close(flow_record& record);
    void remove_flow(const flow_key& key);
    void record_returned(const flow_key& key);
    gate_verdict end_flow(const flow_packet& packet);
    bool overloaded() const;
    bool server_rejects_openings() const;
    server_state reported_state() const;
    void record_delivered_opening();
    gate_verdict reject(const flow_packet& packet,
                        const endpoint& from,
                        gate_event event,
                        return_reason reason);
    gate_verdict return_packet(const flow_packet& packet, std::uint32_t tag);

    const clock* clock_;
    server_registration* server_;
    time_point opening_returned_{}; ///< Last one, since one was accepted.
    time_point last_flow_lost_{};   ///< When on_flow_lost was called last.
    load_gauge load_;
    counter_set<gate_event> counters_;
    histogram request_times_ = histogram::of_durations();
    std::unordered_map<flow_key, flow_record, flow_key_hash> flows_;
    std::uint32_t open_count_ = 0;
    std::deque<time_point> recent_openings_; ///< Openings of late.
    std::vector<endpoint> balancers_;        ///< All that have sent packets.
    std::size_t last_replaced_balancer_ = 0; ///< Last one replaced, when full.
};

} // namespace briarfield

#endif
