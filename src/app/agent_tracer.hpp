#ifndef BRIARFIELD_SRC_APP_AGENT_TRACER_HPP
#define BRIARFIELD_SRC_APP_AGENT_TRACER_HPP

#include "trace_service.hpp"

#include "briarfield/flow/agent_core.hpp"

#include <unordered_map>

namespace briarfield::app
{

/// Records the spans of an agent: one per decision, and one from the delivery
/// of a flow's opening to the first answer of the backend server.
class agent_tracer
{
public:
    agent_tracer(trace_service& trace, const clock& c)
        : trace_(&trace), clock_(&c)
    {
    }

    /// Installs the trace callbacks of \a core, which must not outlive this
    /// object.
    void attach(agent_core& core);

    /// Number of delivered flows that the server has not answered yet.
    std::size_t pending() const { return pending_.size(); }

private:
    /// A delivered flow that the server has not answered.
    struct delivery
    {
        trace_context context;
        time_point delivered_at;
    };

    void
    on_decision(agent_event event, const flow_key& key, trace_context& hop);
    void on_first_answer(const flow_key& key, bool rejected);
    void record_delivery(const flow_key& key, const trace_context& hop);

    trace_service* trace_;
    const clock* clock_;
    std::unordered_map<flow_key, delivery, flow_key_hash> pending_;
};

} // namespace briarfield::app

#endif
