#include "briarfield/dispatch/outlier_ejection.hpp"

#include <algorithm>

namespace briarfield
{

void outlier_ejection::record_success()
{
    if (ejected())
        return;
    consecutive_failures_ = 0;
    on_trial_ = false;
}

bool outlier_ejection::record_failure()
{
    const time_point now = clock_->now();
    if (now - last_failure_ >= memory)
        ejection_time_ = duration(0);
    last_failure_ = now;
    if (ejected())
    {
        ejected_until_ = now + ejection_time_;
        return false;
    }
    ++consecutive_failures_;
    if (!on_trial_ && consecutive_failures_ < failure_threshold)
        return false;
    ejection_time_ = std::clamp(2 * ejection_time_, base_time, max_time);
    ejected_until_ = now + ejection_time_;
    consecutive_failures_ = 0;
    on_trial_ = true;
    return true;
}

void outlier_ejection::clear()
{
    *this = outlier_ejection(*clock_);
}

} // namespace briarfield
