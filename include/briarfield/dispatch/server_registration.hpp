#ifndef BRIARFIELD_DISPATCH_SERVER_REGISTRATION_HPP
#define BRIARFIELD_DISPATCH_SERVER_REGISTRATION_HPP

#include "briarfield/core/clock.hpp"
#include "briarfield/core/error.hpp"
#include "briarfield/dispatch/agent_directory.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace briarfield
{

/// \brief A heartbeat of a backend server to the agent beside it.
struct server_heartbeat
{
    /// Id of this incarnation of the server; usually new at each start.
    std::string id;
    /// Start of the server, Unix time in ms; 0: not reported.
    std::uint64_t born_ms = 0;
    /// Increases with each heartbeat of an incarnation.
    std::uint64_t sequence = 0;
    std::string service;
    std::string zone;
    std::uint32_t slots = 1;     ///< Requests that it processes concurrently.
    std::uint32_t warmup_ms = 0; ///< Time from this heartbeat until full speed.
    bool draining = false;
};

/// \brief What an agent has recorded of the server beside it.
///
/// The latest incarnation of the server counts, by its start time: a delayed
/// heartbeat that arrives after a new incarnation has started is rejected.
/// Before the first heartbeat the service is the one in the settings.
class server_registration
{
public:
    /// \param silence_limit Time without a packet from the server after which
    /// it has timed out; from then on its address may serve another service.
    server_registration(const clock& c,
                        std::string service,
                        duration silence_limit);

    /// \brief Records a heartbeat.
    ///
    /// Errors: errc::message_stale for a heartbeat of an earlier incarnation,
    /// or one that is not newer than the last.
    result<void> on_heartbeat(const server_heartbeat& heartbeat);

    /// \brief Records that the server stops.
    ///
    /// Errors: errc::message_stale for an incarnation other than the latest.
    result<void> on_leave(const std::string& id);

    /// \brief Records a packet from the server, which shows that it is running.
    void record_activity() { last_activity_ = clock_->now(); }

    /// \brief Applies the service in the settings, if it has changed there.
    void set_configured_service(const std::string& service);

    /// \brief Whether no packet was received from the server for the silence
    /// limit.
    bool timed_out() const
    {
        return clock_->now() - last_activity_ > silence_limit_;
    }

    server_state state() const { return state_; }
    const std::string& service() const { return latest_.service; }
    service_tag tag() const { return tag_; }
    const server_heartbeat& latest() const { return latest_; }

    /// \brief Time since the last heartbeat or packet of the server.
    duration time_since_last_activity() const
    {
        return clock_->now() - last_activity_;
    }

    /// \brief Time since the last heartbeat of the server.
    duration time_since_last_heartbeat() const
    {
        return clock_->now() - last_heartbeat_;
    }

    /// \brief Called when the state, service or incarnation of the server
    /// changes.
    std::function<void()> on_change;

private:
    bool is_older_incarnation(const server_heartbeat& heartbeat) const;
    void notify_change();

    const clock* clock_;
    duration silence_limit_;
    std::string configured_service_;
    server_heartbeat latest_;
    server_state state_ = server_state::unknown;
    service_tag tag_ = 0;
    time_point last_activity_;
    time_point last_heartbeat_;
};

} // namespace briarfield

#endif
