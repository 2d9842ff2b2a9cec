#ifndef BRIARFIELD_CORE_KERNEL_HPP
#define BRIARFIELD_CORE_KERNEL_HPP

#include "briarfield/core/error.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace briarfield
{

class kernel;

/// \brief Component of a daemon that other components look up by name.
///
/// Life cycle: start, drain (asynchronous, until \ref drained), stop. All
/// functions are called on the event loop's thread.
class service
{
public:
    virtual ~service() = default;

    /// \brief Name, unique within a kernel.
    virtual std::string_view name() const = 0;

    /// \brief Names of services that must be started before this one.
    virtual std::vector<std::string_view> depends_on() const { return {}; }

    /// \brief Acquires the resources of the service.
    virtual result<void> start(kernel& k) = 0;

    /// \brief Whether the service is able to do its work.
    virtual bool ready() const { return true; }

    /// \brief Condition that the service waits for while it is not ready; may
    /// be empty.
    virtual std::string not_ready_reason() const { return {}; }

    /// \brief Stops accepting new work; work in progress continues.
    virtual void drain() {}

    /// \brief Whether all work in progress has completed.
    virtual bool drained() const { return true; }

    /// \brief Releases what \ref start acquired.
    ///
    /// Services that depend on this one have already been stopped.
    virtual void stop() {}
};

/// \brief Registry of the services of a process; manages their life cycle.
class kernel
{
public:
    kernel() = default;
    ~kernel();
    kernel(const kernel&) = delete;
    kernel& operator=(const kernel&) = delete;

    /// \brief Adds a service; adding a second one of the same name is an error.
    ///
    /// Errors: errc::internal.
    result<void> add(std::unique_ptr<service> s);

    /// \brief Service \a name, or null if there is none of type \a T.
    template <class T>
    T* find(std::string_view name) const
    {
        return dynamic_cast<T*>(find_service(name));
    }

    /// \brief Starts all services, each after those it depends on.
    ///
    /// If one fails, the services already started are stopped. Errors:
    /// errc::service_missing, errc::service_start_failed (for a dependency
    /// cycle), or the error that the service returned.
    result<void> start();

    /// \brief Whether every started service is ready and no drain has begun.
    bool ready() const;

    /// \brief Services that are not ready, as "name" or "name: reason".
    std::vector<std::string> not_ready() const;

    /// \brief Drains all services, each before those it depends on.
    void drain();

    bool draining() const { return draining_; }

    /// \brief Whether every started service has drained.
    bool drained() const;

    /// \brief Stops the started services in reverse order of their start.
    void stop();

private:
    service* find_service(std::string_view name) const;
    /// \a path holds the services being started, to detect cycles.
    result<void> start_after_dependencies(service& s,
                                          std::vector<service*>& path);
    bool started(const service& s) const;

    std::vector<std::unique_ptr<service>> services_;
    std::vector<service*> started_services_; ///< In start order.
    bool draining_ = false;
};

} // namespace briarfield

#endif
