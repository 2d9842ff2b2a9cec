#ifndef BRIARFIELD_DISPATCH_SERVER_GATE_HPP
#define BRIARFIELD_DISPATCH_SERVER_GATE_HPP

#include "briarfield/core/counter_set.hpp"
#include "briarfield/core/histogram.hpp"
#include "briarfield/dispatch/agent_directory.hpp"
#include "briarfield/dispatch/flow_completeness.hpp"
#include "briarfield/dispatch/load_gauge.hpp"
#include "briarfield/dispatch/opening_policy.hpp"
#include "briarfield/dispatch/outlier_ejection.hpp"
#include "briarfield/dispatch/route_time_gauge.hpp"
#include "briarfield/dispatch/server_registration.hpp"
#include "briarfield/dispatch/service_time_gauge.hpp"
#include "briarfield/flow/flow_table.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace briarfield
{

/// \brief Outcome for a packet at an agent; each has a counter.
enum class gate_event : std::uint8_t
{
    delivered,           ///< Packet of a flow, delivered to the server.
    offered,             ///< Opening, delivered to the server.
    answered,            ///< Sent by the server to the caller.
    accepted,            ///< The server's answer to an opening.
    given_back,          ///< Returned by the server.
    refused_service,     ///< Opening for another service.
    refused_draining,    ///< Opening while the server drains or has stopped.
    refused_silent,      ///< Opening while the server has timed out.
    refused_busy,        ///< Opening while the server is overloaded.
    refused_failing,     ///< Opening while the server is ejected.
    refused_evacuated,   ///< Opening while the zone is evacuated.
    refused_warming,     ///< Opening beyond what a warming server takes.
    dropped_unknown_tag, ///< Returned with a tag from before the agent's start.
    probed,            ///< Probe delivered to the server; the label is "asked".
    reset_ended,       ///< Probe returned by the server: the flow is lost.
    dropped_unstarted, ///< Reset in the name of a server that has not started.
    count_
};

/// \brief Label of \a event in logs and metrics.
std::string_view gate_event_name(gate_event event) noexcept;

/// \brief What to do with a packet.
struct gate_verdict
{
    enum class action : std::uint8_t
    {
        drop,
        deliver,       ///< Deliver it to the server, with \ref tag.
        return_packet, ///< Return it to \ref balancer, with \ref returned.
        answer,        ///< Send it to the caller.
        reset          ///< Send a reset to the caller, with \ref sequence.
    };

    action decision = action::drop;
    gate_event event = gate_event::delivered;
    std::uint32_t tag = 0;
    endpoint balancer;
    return_info returned;         ///< For action::return_packet.
    bool notify_balancer = false; ///< Report the flow to \ref balancer.
    std::uint32_t sequence = 0;   ///< For action::reset.
};

/// \brief Decides for each packet whether an agent passes it on; free of I/O.
///
/// The agent runs beside its server, so outdated records of balancers do no
/// harm here: it rejects openings for another service, and openings while the
/// server drains, has stopped, has timed out or fails its requests (see
/// \ref outlier_ejection), and those that an \ref opening_policy forbids.
/// Packets of flows always pass, since the server is the authority on its
/// flows. The agent's own records of flows serve its load gauge and notify
/// balancers of the location of a flow; losing them breaks nothing.
class server_gate
{
public:
    /// \brief Maximum number of recorded flows.
    static constexpr std::size_t flow_capacity = 16384;

    /// \brief Tag of probes: packets that test whether the server has a flow.
    static constexpr std::uint32_t probe_tag = 0xffffffff;

    /// \brief Minimum interval between two calls of \ref on_flow_lost, which
    /// starts probes of the flows of a server that may have stopped.
    static constexpr duration probe_interval = std::chrono::milliseconds(500);

    /// \brief Maximum number of recorded balancers; more than a deployment has.
    static constexpr std::size_t balancer_capacity = 4096;

    /// \brief Flows without a packet for this long no longer count as open.
    static constexpr duration flow_idle_timeout = std::chrono::seconds(20);

    /// \brief Records of flows that both ends have closed, or the server has
    /// reset, are removed after this long without a packet.
    static constexpr duration closed_flow_idle_timeout =
        std::chrono::seconds(2);

    /// \brief Default of the longest life of a flow.
    static constexpr duration default_max_flow_age = std::chrono::seconds(60);

    /// \brief Requests per slot, in progress or expected, from which an opening
    /// is returned because another server answers it sooner. A request that
    /// waits for two others on its slot still meets its target.
    static constexpr double max_requests_per_slot = 2;

    /// \brief A delivered opening is expected to send its first request within
    /// this time.
    static constexpr duration first_request_timeout =
        std::chrono::milliseconds(100);

    /// \brief After the server has returned an opening, the agent reports it as
    /// unable to take flows for this long.
    static constexpr duration rejection_backoff =
        std::chrono::milliseconds(500);

    /// \brief A request without an answer for this long no longer counts as in
    /// progress.
    static constexpr duration request_timeout = std::chrono::seconds(3);

    /// \param max_flow_age Longest life of a flow; records of flows are kept
    /// this long without a packet.
    server_gate(const clock& c,
                server_registration& server,
                duration max_flow_age = default_max_flow_age)
        : clock_(&c), server_(&server), max_flow_age_(max_flow_age), load_(c),
          service_time_(c), route_times_(c), ejection_(c),
          completeness_(c, max_flow_age)
    {
    }

    /// \brief Lets \a policy, which must outlive the gate, decide on openings,
    /// too.
    void set_opening_policy(opening_policy& policy) { policy_ = &policy; }

    /// \brief Decides on a packet from the balancer at \a from.
    gate_verdict on_balancer_packet(const flow_packet& packet,
                                    forward_info info,
                                    const endpoint& from);

    /// \brief Decides on a packet from the server; \a tag is the one it
    /// carries.
    gate_verdict on_server_packet(const flow_packet& packet, std::uint32_t tag);

    /// \brief Removes idle flows; to be called periodically.
    void expire();

    /// \brief Positions in \a flows of those that the server holds according
    /// to the records.
    std::vector<std::uint16_t> held(const std::vector<flow_key>& flows);

    /// \brief Whether flows that are not in the result of \ref held are not
    /// held.
    bool flows_complete();

    std::uint32_t open_flows() const { return open_count_; }

    /// \brief The caller's last packet without payload, for each flow on which
    /// the server has sent data since the opening.
    ///
    /// Delivered to the server again, such a packet has no effect if the server
    /// has the flow, and is returned if not.
    std::vector<short_packet> probes() const;

    /// \brief Forgets the failures of the server's earlier incarnation.
    void on_new_server() { ejection_.clear(); }

    /// \brief Counts a probe delivered to the server.
    void record_probe() { counters_.add(gate_event::probed); }

    /// \brief Called when the server may have stopped and lost its flows: it
    /// has returned a packet of a flow on which it had sent data.
    std::function<void()> on_flow_lost;

    /// \brief Called when the server is ejected: it has reset several flows in
    /// a row that had a request in progress.
    std::function<void()> on_ejected;

    /// \brief Data for the agent's heartbeat: service, state and load of the
    /// server. The caller adds the agent's address, zone, incarnation and
    /// sequence.
    ///
    /// A server that has just returned an opening, or is ejected, is reported
    /// as server_state::silent; one of an evacuated zone as
    /// server_state::draining.
    agent_status status();

    const counter_set<gate_event>& counters() const { return counters_; }

    /// \brief Times from the first byte of a request to the first byte of its
    /// answer.
    const histogram& request_times() const { return request_times_; }

    /// \brief Called for each decision on an opening, and when a returned probe
    /// resets its flow.
    std::function<void(const flow_packet&, const gate_verdict&)> on_decision;

private:
    /// Record of a flow.
    struct tracked_flow
    {
        time_point last_packet{};
        time_point request_start{}; ///< Of the last request.
        std::uint16_t balancer = 0; ///< Position in balancers_.
        bool open = false;          ///< The server has accepted the opening.
        /// The balancer has been notified of the flow.
        bool balancer_notified = false;
        bool in_progress = false;
        service_time_gauge::request_id request = 0; ///< The last one.
        bool closed_by_caller = false;              ///< Or reset.
        bool closed_by_server = false;              ///< Or reset.
        bool reset_by_server = false;
        bool sent_by_server = false; ///< The server has sent any packet.
        /// The server had sent packets before a copy of an opening arrived, so
        /// that the flow may be open although sent_by_server is false.
        bool sent_before_opening = false;
        /// \ref balancer has kept the last packet.
        bool packet_kept = false;
        bool answered = false; ///< The server has sent data after accepting.
        short_packet probe;    ///< See \ref probes.

        /// Whether one end has closed or reset it.
        bool closed() const { return closed_by_caller || closed_by_server; }

        /// Whether no end sends on it. A reset of the caller counts like its
        /// last data: it may be a late one of an earlier flow, which the server
        /// ignores.
        bool ended() const
        {
            return (closed_by_caller && closed_by_server) || reset_by_server;
        }
    };

    std::optional<gate_verdict> rejection(const flow_packet& packet,
                                          forward_info info,
                                          const endpoint& from);
    std::uint16_t position_of(const endpoint& balancer);
    void record_packet(const flow_packet& packet,
                       forward_info info,
                       std::uint16_t balancer);
    static void begin_flow(tracked_flow& record);
    duration end_request(tracked_flow& record, bool answered = false);
    void record_work(const flow_key& key, duration took);
    void record_answer_time(const tracked_flow& record);
    void record_outcome(const tracked_flow& record, const flow_packet& packet);
    void close(tracked_flow& record);
    bool balancer_kept_packet(const flow_key& key, std::size_t balancer) const;
    void stop_counting(tracked_flow& record);
    void remove_flow(const flow_key& key);
    void record_returned(const flow_key& key);
    void record_returned_opening();
    gate_verdict end_flow(const flow_packet& packet);
    bool is_reset_of_unstarted_server(const flow_packet& packet) const;
    gate_verdict drop(gate_event event);
    bool was_delivered(const flow_key& key) const;
    bool has_sent_on(const flow_key& key) const;
    std::size_t expected_requests() const;
    bool overloaded() const;
    opening_permission permission() const;
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
    opening_policy* policy_ = nullptr;
    duration max_flow_age_;
    /// When the server last returned an opening; cleared when it accepts one.
    time_point opening_returned_{};
    time_point last_flow_lost_{}; ///< When \ref on_flow_lost was last called.
    load_gauge load_;
    service_time_gauge service_time_;
    route_time_gauge route_times_;
    outlier_ejection ejection_;
    flow_completeness completeness_;
    counter_set<gate_event> counters_;
    histogram request_times_ = histogram::of_durations();
    std::unordered_map<flow_key, tracked_flow, flow_key_hash> flows_;
    std::uint32_t open_count_ = 0;
    /// The latest delivered openings, whose first request is still expected.
    std::deque<time_point> recent_openings_;
    std::vector<endpoint> balancers_; ///< All balancers that have sent packets.
    /// Position of the balancer replaced last, once the capacity is reached.
    std::size_t last_replaced_balancer_ = 0;
};

} // namespace briarfield

#endif
