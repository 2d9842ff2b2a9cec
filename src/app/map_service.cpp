#include "map_service.hpp"

#include <chrono>

namespace briarfield::app
{

namespace
{

using namespace std::chrono_literals;

constexpr duration poll_interval = 20ms;

} // namespace

std::vector<std::string_view> map_service::depends_on() const
{
    return {config_service::service_name, directory_service::service_name};
}

result<void> map_service::start(kernel& k)
{
    runtime_ = k.find<runtime_service>(runtime_service::service_name);
    config_ = k.find<config_service>(config_service::service_name);
    directory_ = k.find<directory_service>(directory_service::service_name);
    directory_->control().on_map = [this](service_id)
    { table_outdated_ = true; };
    config_->on_change = [this] { on_config(); };
    directory_->control().may_serve = [this](const announcement& a)
    { return may_serve(a); };
    poll();
    return ok();
}

bool map_service::ready() const
{
    const map_authority& maps = directory_->control().maps();
    return maps.synchronized() &&
           (maps.size() > 0 || config_->services().empty());
}

bool map_service::may_serve(const announcement& a) const
{
    // Without a configuration, no agent is treated as draining.
    if (!config_->ready())
        return true;
    const auto found =
        config_->services().find(make_service_id(a.team, a.service));
    return found == config_->services().end() ||
           config_->current().admits(found->second, a.instance, a.zone);
}

void map_service::on_config()
{
    std::map<service_id, granted_service> services;
    for (const auto& [id, spec] : config_->services())
        services[id] = {spec.bucket_count, spec.addresses};
    directory_->control().set_services(std::move(services), config_->version());
    table_outdated_ = true;
}

void map_service::poll()
{
    if (table_outdated_)
        rebuild_table();
    runtime_->loop().timers().schedule(poll_interval, [this] { poll(); });
}

void map_service::rebuild_table()
{
    table_outdated_ = false;
    auto table = std::make_shared<service_table>();
    for (const auto& [id, spec] : config_->services())
    {
        auto entry = std::make_shared<service_entry>();
        entry->service = id;
        entry->map = directory_->control().maps().map(id);
        for (const service_address& address : spec.addresses)
            table->insert(address, entry);
    }
    table_ = table;
    if (on_change)
        on_change();
}

} // namespace briarfield::app
