#ifndef BRIARFIELD_DISPATCH_SERVER_REGISTRATION_HPP
#define BRIARFIELD_DISPATCH_SERVER_REGISTRATION_HPP

#include "briarfield/core/clock.hpp"
#include "briarfield/core/endpoint.hpp"
#include "briarfield/core/error.hpp"
#include "briarfield/core/pause_detector.hpp"
#include "briarfield/dispatch/agent_directory.hpp"

#include <chrono>
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
    endpoint address; ///< Where the server receives packets.
    std::string zone;
    std::uint32_t slots = 1;     ///< Requests that it processes concurrently.
    std::uint32_t warmup_ms = 0; ///< Time from this heartbeat until full speed.
    bool draining = false;
};

/// \brief What an agent has recorded of the server beside it.
///
/// The latest incarnation of the server counts, by its start time: a delayed
/// heartbeat that arrives after a new incarnation has started is rejected. The
/// settings name the service and the address of the server, so a heartbeat of
/// another service or address is not its own.
class server_registration
{
public:
    /// \brief Longest time between two events that is no pause of the agent.
    static constexpr duration pause_limit = std::chrono::seconds(1);

    /// \brief What arrives this soon after a pause may have been sent before
    /// its end, and does not show that the server is running.
    static constexpr duration settle_time = std::chrono::milliseconds(200);

    /// \param silence_limit Time without a packet from the server after which
    /// it has timed out; from then on its address may serve another service.
    /// \param address Where the server receives packets; if its port is 0,
    /// heartbeats may name any address.
    server_registration(const clock& c,
                        std::string service,
                        duration silence_limit,
                        const endpoint& address = {});

    /// \brief Records a heartbeat.
    ///
    /// Errors: errc::message_stale for a heartbeat of an earlier incarnation,
    /// of another service or address, or one that is not newer than the last.
    result<void> on_heartbeat(const server_heartbeat& heartbeat);

    /// \brief Records that the server stops.
    ///
    /// A leave message carries no start time, so it may be a late one of an
    /// earlier incarnation with the same id. Only a server that has reported a
    /// drain is gone; another one is taken to drain until its next heartbeat.
    ///
    /// Errors: errc::message_stale for an id other than the latest.
    result<void> on_leave(const std::string& id);

    /// \brief Records a packet from the server, which shows that it is running,
    /// unless it waited during a pause of the agent.
    void record_activity();

    /// \brief To be called for each packet and several times a second, so that
    /// a pause of the agent is detected.
    void detect_pause() { pauses_.check(); }

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

    /// \brief When the last heartbeat of the server was received.
    time_point last_heartbeat() const { return last_heartbeat_; }

    /// \brief Time until the server runs at full speed.
    duration warmup_left() const;

    /// \brief Called when the state, service or incarnation of the server
    /// changes.
    std::function<void()> on_change;

private:
    bool is_older_incarnation(const server_heartbeat& heartbeat) const;
    bool concerns_server(const server_heartbeat& heartbeat) const;
    void notify_change();

    const clock* clock_;
    duration silence_limit_;
    endpoint address_;
    pause_detector pauses_;
    std::string configured_service_;
    server_heartbeat latest_;
    server_state state_ = server_state::unknown;
    service_tag tag_ = 0;
    time_point last_activity_;
    time_point last_heartbeat_;
};

} // namespace briarfield

#endif
