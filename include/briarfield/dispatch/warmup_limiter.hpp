#ifndef BRIARFIELD_DISPATCH_WARMUP_LIMITER_HPP
#define BRIARFIELD_DISPATCH_WARMUP_LIMITER_HPP

#include "briarfield/core/clock.hpp"
#include "briarfield/dispatch/agent_directory.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace briarfield
{

/// \brief Limit of the openings that a server of a service takes while it
/// warms up.
struct warmup_limit
{
    std::string service;
    /// Openings a second that a warming server may take; 0: no limit.
    float per_second = 0;
    duration warmup{}; ///< From the start of a server.
};

/// \brief Limits the openings of a warming server in any sliding second.
///
/// All openings count, also those while the server runs at full speed, since it
/// may turn cold at any time.
class warmup_limiter
{
public:
    /// \brief Tolerance beyond the limit in the configuration; both 0: no
    /// limit.
    struct options
    {
        double overshoot = 0; ///< Factor on warmup_limit::per_second.
        double slack = 0;     ///< Openings a second beyond that.
    };

    /// \brief Openings are counted for this long: a second, and the time by
    /// which delays between agent and server may move two openings closer
    /// together.
    static constexpr duration window = std::chrono::milliseconds(1050);

    warmup_limiter(const clock& c, options opts)
        : clock_(&c), options_(opts), started_(c.now())
    {
    }

    /// \brief Whether openings are limited at all.
    bool enabled() const
    {
        return options_.overshoot > 0 || options_.slack > 0;
    }

    /// \brief Puts the limit of the server's service in force unless a newer
    /// configuration than \a version has given one.
    void set_limit(std::uint64_t version, const warmup_limit& limit);

    /// \brief Records an opening that is delivered to the server.
    void record_opening();

    /// \brief Openings that a cold server of \a service may take now, or
    /// \ref unlimited_openings.
    ///
    /// 0 in the first \ref window after the start, since the openings of an
    /// earlier process are unknown. Without a limit of \a service only the
    /// slack counts.
    std::uint16_t room(const std::string& service) const;

private:
    bool unlimited(const std::string& service) const;
    std::uint64_t capacity(const std::string& service) const;

    const clock* clock_;
    options options_;
    time_point started_;
    std::uint64_t version_ = 0;
    std::optional<warmup_limit> limit_; ///< Of the latest service.
    std::deque<time_point> openings_;   ///< Within \ref window.
};

} // namespace briarfield

#endif
