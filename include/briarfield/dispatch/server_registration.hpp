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
    std::string id;             ///< Of this life of the server, mostly new.
    std::uint64_t born_ms = 0;  ///< Start of the server, Unix ms; 0: unsaid.
    std::uint64_t sequence = 0; ///< Grows with each heartbeat of a life.
    std::string service;
    std::string zone;
    std::uint32_t slots = 1;     ///< Requests that it works on at once.
    std::uint32_t warmup_ms = 0; ///< How long it stays slow.
    bool draining = false;
};

/// \brief What an agent knows of the server beside it.
///
/// The latest life of the server counts, by the time of its start; a
/// heartbeat that was held up and arrives after a new life has begun changes
/// nothing. Before the first heartbeat the service of the settings counts.
class server_registration
{
public:
    /// \param silence_limit An address may serve another service after that.
    server_registration(const clock& c,
                        std::string service,
                        duration silence_limit);

    /// \brief Takes a heartbeat.
    ///
    /// Errors: errc::message_stale for one of an earlier life, or an older one
    /// of this life.
    result<void> on_heartbeat(const server_heartbeat& heartbeat);

    /// \brief Takes the server's word that it ends.
    ///
    /// Errors: errc::message_stale for another life than the latest.
    result<void> on_leave(const std::string& id);

    /// \brief Any packet from the server shows that it lives.
    void record_activity() { last_activity_ = clock_->now(); }

    /// \brief Takes another service from the settings, if it is new there.
    void set_configured_service(const std::string& service);

    /// \brief Whether nothing was heard of the server for too long.
    bool timed_out() const
    {
        return clock_->now() - last_activity_ > silence_limit_;
    }

    server_state state() const { return state_; }
    const std::string& service() const { return latest_.service; }
    service_tag tag() const { return tag_; }
    const server_heartbeat& latest() const { return latest_; }

    /// \brief Time since anything was heard of the server.
    duration time_since_last_activity() const
    {
        return clock_->now() - last_activity_;
    }

    /// \brief Time since its last heartbeat.
    duration time_since_last_heartbeat() const
    {
        return clock_->now() - last_heartbeat_;
    }

    /// \brief Called when state, service or life of the server change.
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
