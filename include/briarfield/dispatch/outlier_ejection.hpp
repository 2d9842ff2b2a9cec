#ifndef BRIARFIELD_DISPATCH_OUTLIER_EJECTION_HPP
#define BRIARFIELD_DISPATCH_OUTLIER_EJECTION_HPP

#include "briarfield/core/clock.hpp"

#include <chrono>

namespace briarfield
{

/// \brief Decides when a server that fails its requests gets no new flows.
///
/// Load answered: a server that ends flows without an answer. It has few
/// requests in progress, so placement by load would send it most new flows.
///
/// A run of failed requests ejects the server for a while, and each further
/// ejection lasts twice as long, up to a maximum. Failures during an ejection,
/// on flows that were open before, restart its time. The first request after an
/// ejection is a trial: if it fails, the server is ejected again.
class outlier_ejection
{
public:
    /// \brief Consecutive failed requests that eject a server. A single one may
    /// be a request that met an idle flow being closed.
    static constexpr unsigned failure_threshold = 2;

    static constexpr duration base_time = std::chrono::seconds(1);
    static constexpr duration max_time = std::chrono::seconds(8);

    /// \brief After this long without a failure, the next ejection lasts
    /// \ref base_time again.
    static constexpr duration memory = std::chrono::seconds(15);

    explicit outlier_ejection(const clock& c) : clock_(&c) {}

    /// \brief Records a request that the server has answered.
    void record_success();

    /// \brief Records a request whose flow the server has reset instead of
    /// answering.
    ///
    /// \returns whether the server is ejected by this failure.
    bool record_failure();

    /// \brief Forgets all failures: another incarnation of the server runs.
    void clear();

    /// \brief Whether the server gets no new flows.
    bool ejected() const { return clock_->now() < ejected_until_; }

private:
    const clock* clock_;
    time_point ejected_until_{};
    time_point last_failure_{};
    duration ejection_time_{}; ///< Of the last ejection; 0: none yet.
    unsigned consecutive_failures_ = 0;
    bool on_trial_ = false; ///< No request succeeded since the last ejection.
};

} // namespace briarfield

#endif
