#include "briarfield/relay/kept_packets.hpp"

#include <utility>

namespace briarfield
{

kept_packets::~kept_packets()
{
    for (const auto& [flow, kept] : packets_)
        timers_->cancel(kept.timer);
}

void kept_packets::keep(const flow_key& flow, byte_span packet, duration delay)
{
    const auto found = packets_.find(flow);
    if (found != packets_.end())
    {
        if (timers_->now() + delay >= found->second.due)
            return;
        timers_->cancel(found->second.timer);
        return set_timer(flow, found->second, delay);
    }
    if (packets_.size() >= capacity)
        return;
    entry& kept = packets_[flow];
    kept.bytes.resize(headroom_);
    kept.bytes.insert(kept.bytes.end(), packet.begin(), packet.end());
    set_timer(flow, kept, delay);
}

void kept_packets::set_timer(const flow_key& flow, entry& kept, duration delay)
{
    kept.due = timers_->now() + delay;
    kept.timer = timers_->schedule(delay, [this, flow] { release(flow); });
}

void kept_packets::release(const flow_key& flow)
{
    const auto found = packets_.find(flow);
    if (found == packets_.end())
        return;
    entry kept = std::move(found->second);
    packets_.erase(found);
    timers_->cancel(kept.timer);
    on_due(
        byte_span(kept.bytes.data(), kept.bytes.size()).drop_front(headroom_));
}

} // namespace briarfield
