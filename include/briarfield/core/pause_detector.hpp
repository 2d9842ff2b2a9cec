#ifndef BRIARFIELD_CORE_PAUSE_DETECTOR_HPP
#define BRIARFIELD_CORE_PAUSE_DETECTOR_HPP

#include "briarfield/core/clock.hpp"

namespace briarfield
{

/// \brief Detects that the process did not run for some time.
///
/// What a process has recorded is outdated after a pause, and what waits in its
/// sockets was sent before or during it.
class pause_detector
{
public:
    /// \param limit Longest time between two calls of \ref check that is no
    /// pause.
    pause_detector(const clock& c, duration limit)
        : clock_(&c), limit_(limit), running_since_(c.now()),
          last_check_(c.now())
    {
    }

    /// \brief To be called for each event that the process handles, and several
    /// times in each limit.
    void check()
    {
        const time_point now = clock_->now();
        if (now - last_check_ > limit_)
        {
            running_since_ = now;
            paused_ = true;
        }
        last_check_ = now;
    }

    /// \brief Whether the process has ever been paused.
    bool paused() const { return paused_; }

    /// \brief Time since the start, or since the end of the last pause.
    duration running_for() const { return clock_->now() - running_since_; }

private:
    const clock* clock_;
    duration limit_;
    time_point running_since_;
    time_point last_check_;
    bool paused_ = false;
};

} // namespace briarfield

#endif
