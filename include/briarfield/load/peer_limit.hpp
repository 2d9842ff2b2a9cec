#ifndef BRIARFIELD_LOAD_PEER_LIMIT_HPP
#define BRIARFIELD_LOAD_PEER_LIMIT_HPP

#include "briarfield/core/clock.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace briarfield
{

/// \brief This balancer's part of a limit that all balancers share.
///
/// The part is the limit divided by the number of live balancers; no messages
/// are exchanged for it. It shrinks as soon as a peer is detected and grows
/// only after a peer has been absent for options::growth_delay. So the parts
/// sum to no more than the limit even if the balancers' views differ; the
/// exception is a new peer that the others have not detected yet.
class peer_limit
{
public:
    /// \brief Settings of the limit.
    struct options
    {
        double total = 0; ///< Sum of the parts of all balancers.
        duration growth_delay = std::chrono::seconds(2);
        ///< Time for which a peer must be absent before the others take over
        ///< its part.
    };

    explicit peer_limit(options opts) : options_(opts) {}

    /// \brief Replaces the total limit of all balancers.
    void set_total(double total) { options_.total = total; }

    /// \brief Sets the number of live balancers, including this one.
    void set_live_balancers(std::size_t live, time_point now)
    {
        live = std::max<std::size_t>(live, 1);
        if (live >= divisor_)
        {
            divisor_ = live;
            decrease_pending_ = false;
            return;
        }
        if (!decrease_pending_ || live > pending_divisor_)
        {
            decrease_pending_ = true;
            pending_since_ = now;
        }
        pending_divisor_ = live;
        if (now - pending_since_ < options_.growth_delay)
            return;
        divisor_ = pending_divisor_;
        decrease_pending_ = false;
    }

    /// \brief This balancer's part.
    double local_limit() const
    {
        return options_.total / static_cast<double>(divisor_);
    }

private:
    options options_;
    std::size_t divisor_ = 1;
    std::size_t pending_divisor_ = 1;
    bool decrease_pending_ = false; ///< Fewer balancers are live than divisor_.
    time_point pending_since_;
};

} // namespace briarfield

#endif
