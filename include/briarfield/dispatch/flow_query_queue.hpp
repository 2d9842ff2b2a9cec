#ifndef BRIARFIELD_DISPATCH_FLOW_QUERY_QUEUE_HPP
#define BRIARFIELD_DISPATCH_FLOW_QUERY_QUEUE_HPP

#include "briarfield/core/clock.hpp"
#include "briarfield/dispatch/agent_directory.hpp"
#include "briarfield/flow/flow_table.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace briarfield
{

/// \brief Collects a balancer's queries for flows into one datagram per agent,
/// and assigns the answers to them; free of I/O.
class flow_query_queue
{
public:
    /// \brief Limits of the queries.
    struct options
    {
        /// Flows in a datagram, so that it stays under 1,200 bytes also with
        /// IPv6 addresses.
        std::size_t max_flows = 16;
        /// Flows in all queries that wait or are unanswered.
        std::size_t max_in_progress = 8192;
        /// Answers are accepted for this long. Longer than any timeout, so that
        /// the answer of a slow agent still counts.
        duration answer_ttl = std::chrono::seconds(1);
    };

    /// \brief A datagram that was sent.
    struct query
    {
        agent_index agent = no_agent;
        std::vector<flow_key> flows;
        time_point sent_at{};
    };

    explicit flow_query_queue(const clock& c) : flow_query_queue(c, options())
    {
    }
    flow_query_queue(const clock& c, options opts) : clock_(&c), options_(opts)
    {
    }

    /// \brief Adds a query; it is sent by the next \ref flush, or at once if
    /// the datagram is full.
    ///
    /// \returns false if too many queries are in progress.
    bool add(agent_index agent, const flow_key& flow);

    /// \brief Sends the queries that wait.
    void flush();

    /// \brief Whether queries wait for \ref flush.
    bool waiting() const { return !waiting_.empty(); }

    /// \brief Removes and returns the query that \a agent answers with \a id.
    std::optional<query> take(agent_index agent, std::uint32_t id);

    /// \brief Removes queries whose answers are no longer accepted.
    void expire();

    std::size_t in_progress() const { return in_progress_; }

    /// \brief Sends a datagram to an agent.
    std::function<void(
        agent_index, std::uint32_t id, const std::vector<flow_key>&)>
        send;

private:
    void send_to(agent_index agent, std::vector<flow_key> flows);

    const clock* clock_;
    options options_;
    std::map<agent_index, std::vector<flow_key>> waiting_;
    std::map<std::uint32_t, query> sent_; ///< By id, which grows with time.
    std::uint32_t last_id_ = 0;
    std::size_t in_progress_ = 0;
};

} // namespace briarfield

#endif
