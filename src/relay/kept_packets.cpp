#include "briarfield/relay/kept_packets.hpp"

#include <iterator>
#include <utility>

namespace briarfield
{

kept_packets::~kept_packets()
{
    for (const auto& [flow, kept] : flows_)
        timers_->cancel(kept.timer);
}

void kept_packets::keep(const flow_key& flow, byte_span packet, duration delay)
{
    const auto found = flows_.find(flow);
    if (found == flows_.end() && size_ >= capacity)
        return;
    entry& kept = found == flows_.end() ? flows_[flow] : found->second;
    if (size_ < capacity && kept.packets.size() < capacity_of_flow)
    {
        buffer copy(headroom_);
        copy.insert(copy.end(), packet.begin(), packet.end());
        kept.packets.push_back(std::move(copy));
        ++size_;
    }
    if (kept.timer != 0 && timers_->now() + delay >= kept.due)
        return;
    timers_->cancel(kept.timer);
    set_timer(flow, kept, delay);
}

void kept_packets::set_timer(const flow_key& flow, entry& kept, duration delay)
{
    kept.due = timers_->now() + delay;
    kept.timer = timers_->schedule(delay, [this, flow] { release(flow); });
}

void kept_packets::release(const flow_key& flow)
{
    const auto found = flows_.find(flow);
    if (found == flows_.end())
        return;
    entry kept = std::move(found->second);
    flows_.erase(found);
    timers_->cancel(kept.timer);
    size_ -= kept.packets.size();
    pass(flow, kept.packets);
    if (on_passed)
        on_passed();
}

void kept_packets::pass(const flow_key& flow, std::vector<buffer>& packets)
{
    for (auto i = packets.begin(); i != packets.end(); ++i)
    {
        const byte_span packet(i->data(), i->size());
        if (!on_due(packet.drop_front(headroom_)))
            return;
        const auto again = flows_.find(flow);
        if (again == flows_.end())
            continue;
        size_ += static_cast<std::size_t>(packets.end() - i - 1);
        std::move(i + 1, packets.end(),
                  std::back_inserter(again->second.packets));
        return;
    }
}

} // namespace briarfield
