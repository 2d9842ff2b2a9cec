#ifndef BRIARFIELD_LOAD_WORK_TRACKER_HPP
#define BRIARFIELD_LOAD_WORK_TRACKER_HPP

#include "briarfield/flow/agent_core.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>

namespace briarfield
{

/// \brief How a unit of work at the server ended.
enum class work_outcome : std::uint8_t
{
    answered,
    refused,   ///< The server rejected a new flow with a reset.
    reset,     ///< The server reset the flow before the answer ended.
    abandoned, ///< No answer within options::abandon_after.
    cancelled, ///< The caller closed the flow before the answer.
    count_
};

/// \brief One finished unit of work: a request and its answer.
struct work_sample
{
    work_outcome outcome = work_outcome::answered;
    std::uint32_t occupancy = 0; ///< Units in progress on its arrival.
    duration first_byte{0};      ///< From the request to the first answer byte.
    duration occupied{0};        ///< From the request to the last answer byte.
    std::size_t answer_bytes = 0;
    bool no_answer_meanwhile = false;
    ///< True if no request was answered from its start to its end.
    time_point when; ///< Time at which the unit ended.
};

/// \brief Derives units of work from an agent's observations of its flows.
///
/// A unit is in progress from the first byte of a request to the first byte of
/// its answer, and again while the answer is streamed. An open flow without an
/// outstanding request needs no memory here and is not counted. Data that the
/// server sends without a request is not work.
class work_tracker
{
public:
    /// \brief Settings of the tracker.
    struct options
    {
        duration answer_gap = std::chrono::milliseconds(200);
        ///< An answer has ended when no byte followed for this time.
        duration stream_after = std::chrono::milliseconds(5);
        ///< An answer is a stream if a byte follows the first one after this
        ///< time or later.
        duration abandon_after = std::chrono::seconds(10);
        ///< A request without an answer is abandoned after this time.
        std::size_t capacity = 65536; ///< Maximum number of units tracked.
    };

    explicit work_tracker(options opts) : options_(opts) {}

    /// \brief Processes one observation; those of a flow must be in time order.
    void observe(const flow_observation& o);

    /// \brief Ends answers after options::answer_gap and requests after
    /// options::abandon_after.
    void sweep(time_point now);

    /// \brief Units of work currently in progress.
    std::uint32_t in_progress() const { return in_progress_; }

    /// \brief Called for each unit of work that ended.
    std::function<void(const work_sample&)> on_sample;

private:
    struct unit
    {
        std::uint64_t serial = 0;
        std::uint32_t occupancy = 0;
        bool answered = false;
        bool counted = true; ///< Whether in_progress_ includes it.
        time_point request_time;
        time_point first_answer;
        time_point last_answer;
        std::size_t answer_bytes = 0;
        std::uint64_t answers_at_start = 0;
    };

    struct queued_unit
    {
        flow_key key;
        std::uint64_t serial = 0;
    };

    using unit_map = std::unordered_map<flow_key, unit, flow_key_hash>;

    void begin(const flow_key& key, time_point when);
    void answer(unit& u, const flow_key& key, const flow_observation& o);
    void finish(unit_map::iterator at, work_outcome outcome, time_point when);
    void set_counted(unit& u, bool counted);
    void sweep_answers(time_point now);
    void sweep_requests(time_point now);

    options options_;
    unit_map units_;
    /// Answered units in order of their first answer byte; \ref sweep moves
    /// those that still stream to the end.
    std::deque<queued_unit> answer_queue_;

    /// Units in order of their request.
    std::deque<queued_unit> request_queue_;
    std::uint64_t last_serial_ = 0;
    std::uint64_t answer_count_ = 0;
    std::uint32_t in_progress_ = 0;
};

} // namespace briarfield

#endif
