#ifndef BRIARFIELD_DISPATCH_SEARCH_PROGRESS_HPP
#define BRIARFIELD_DISPATCH_SEARCH_PROGRESS_HPP

#include "briarfield/core/clock.hpp"
#include "briarfield/dispatch/agent_directory.hpp"
#include "briarfield/flow/flow_table.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace briarfield
{

/// \brief How an agent is queried about a flow.
enum class query_kind : std::uint8_t
{
    message, ///< The agent answers from its records.
    packet   ///< The server returns the packet if it does not have the flow.
};

/// \brief A query that its agent has not answered.
struct outstanding_query
{
    agent_index agent = no_agent;
    query_kind kind = query_kind::message;
    time_point sent_at{};
    time_point due{};      ///< When it is sent again or given up.
    unsigned attempts = 0; ///< Transmissions.
};

/// \brief Progress of the search for the server of one flow.
///
/// Each agent is in at most one of three sets: it has answered that its server
/// does not have the flow; it has a query outstanding; it did not respond in
/// this round. A round ends when no query is outstanding and no agent is left
/// to be queried.
class search_progress
{
public:
    search_progress(time_point started, std::uint32_t sequence)
        : started_(started), sequence_(sequence)
    {
    }

    time_point started() const { return started_; }

    /// \brief Sequence number of the packet that started the search.
    std::uint32_t sequence() const { return sequence_; }

    /// \brief Starts a round. Negative answers stay valid.
    void begin_round();

    /// \brief Forgets negative answers; they are valid from \a now on again.
    void forget_answers(time_point now);

    /// \brief Whether \a agent is to be queried in this round.
    bool may_query(agent_index agent) const;

    /// \brief Adds a query, or counts another transmission of it.
    void record_query(const outstanding_query& query);

    /// \brief Removes the query to \a agent and returns it; attempts is 0 if
    /// there was none.
    outstanding_query end_query(agent_index agent);

    /// \brief Records that the server of \a agent does not have the flow.
    void on_negative_answer(agent_index agent);

    /// \brief Records that \a agent does not respond in this round.
    void on_unresponsive(agent_index agent);

    /// \brief Records that the records of \a agent are not complete, so that it
    /// is queried by the packet.
    void on_incomplete_records(agent_index agent);

    bool needs_packet(agent_index agent) const;

    /// \brief Transmissions of the outstanding query to \a agent.
    unsigned attempts(agent_index agent) const;

    const std::vector<outstanding_query>& outstanding() const
    {
        return outstanding_;
    }

    /// \brief Whether a query has been transmitted only once.
    bool has_fresh_query() const;

    /// \brief Whether a query has been transmitted after \a time.
    bool has_query_since(time_point time) const;

    std::size_t packets_outstanding() const;

    /// \brief Earliest time at which a query is due; \a otherwise if there is
    /// none.
    time_point next_due(time_point otherwise) const;

    /// \brief Agents queried in this round.
    std::size_t queried() const { return queried_; }

    /// \brief Number of agents whose servers do not have the flow.
    std::size_t negative_answers() const { return negative_.size(); }

    const std::vector<agent_index>& unresponsive() const
    {
        return unresponsive_;
    }

private:
    std::vector<outstanding_query>::const_iterator
    find(agent_index agent) const;

    time_point started_;
    std::uint32_t sequence_;
    std::size_t queried_ = 0;
    std::vector<outstanding_query> outstanding_;
    std::vector<agent_index> negative_;
    std::vector<agent_index> unresponsive_;
    std::vector<agent_index> incomplete_;
};

/// \brief The searches of a balancer, by flow.
using search_map = std::unordered_map<flow_key, search_progress, flow_key_hash>;

} // namespace briarfield

#endif
