#include "briarfield/dispatch/flow_completeness.hpp"

namespace briarfield
{

void flow_completeness::on_heartbeat(std::uint64_t born_ms, time_point received)
{
    if (born_ms == 0)
        return;
    const bool restarted = born_ms_ != 0 && born_ms > born_ms_;
    if (restarted && last_heartbeat_ - started_ >= max_heartbeat_delay)
        server_started_later_ = true;
    born_ms_ = born_ms;
    last_heartbeat_ = received;
}

bool flow_completeness::complete() const
{
    const bool ran_long_enough = clock_->now() - started_ >= max_flow_age_;
    return !table_was_full_ && (ran_long_enough || server_started_later_);
}

} // namespace briarfield
