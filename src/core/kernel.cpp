#include "briarfield/core/kernel.hpp"

#include <algorithm>

namespace briarfield
{

kernel::~kernel()
{
    stop();
}

result<void> kernel::add(std::unique_ptr<service> s)
{
    if (find_service(s->name()) != nullptr)
        return fail(errc::internal,
                    "service '" + std::string(s->name()) + "' already exists");
    services_.push_back(std::move(s));
    return ok();
}

service* kernel::find_service(std::string_view name) const
{
    const auto found = std::find_if(services_.begin(), services_.end(),
                                    [name](const std::unique_ptr<service>& s)
                                    { return s->name() == name; });
    return found == services_.end() ? nullptr : found->get();
}

bool kernel::started(const service& s) const
{
    return std::find(started_services_.begin(), started_services_.end(), &s) !=
           started_services_.end();
}

result<void> kernel::start()
{
    std::vector<service*> path;
    for (const auto& s : services_)
    {
        result<void> outcome = start_after_dependencies(*s, path);
        if (outcome)
            continue;
        stop();
        return outcome;
    }
    return ok();
}

result<void> kernel::start_after_dependencies(service& s,
                                              std::vector<service*>& path)
{
    if (started(s))
        return ok();
    if (std::find(path.begin(), path.end(), &s) != path.end())
        return fail(errc::service_start_failed,
                    "services have a dependency cycle at '" +
                        std::string(s.name()) + "'");
    path.push_back(&s);
    for (const std::string_view name : s.depends_on())
    {
        service* dependency = find_service(name);
        if (dependency == nullptr)
            return fail(errc::service_missing,
                        "'" + std::string(s.name()) + "' depends on '" +
                            std::string(name) + "', which is not registered");
        result<void> outcome = start_after_dependencies(*dependency, path);
        if (!outcome)
            return outcome;
    }
    path.pop_back();
    result<void> outcome = s.start(*this);
    if (outcome)
        started_services_.push_back(&s);
    return outcome;
}

bool kernel::ready() const
{
    return !draining_ &&
           std::all_of(started_services_.begin(), started_services_.end(),
                       [](const service* s) { return s->ready(); });
}

std::vector<std::string> kernel::not_ready() const
{
    std::vector<std::string> out;
    for (const service* s : started_services_)
    {
        if (s->ready())
            continue;
        std::string text(s->name());
        const std::string reason = s->not_ready_reason();
        if (!reason.empty())
            text += ": " + reason;
        out.push_back(std::move(text));
    }
    return out;
}

void kernel::drain()
{
    draining_ = true;
    for (auto s = started_services_.rbegin(); s != started_services_.rend();
         ++s)
        (*s)->drain();
}

bool kernel::drained() const
{
    return std::all_of(started_services_.begin(), started_services_.end(),
                       [](const service* s) { return s->drained(); });
}

void kernel::stop()
{
    while (!started_services_.empty())
    {
        started_services_.back()->stop();
        started_services_.pop_back();
    }
}

} // namespace briarfield
