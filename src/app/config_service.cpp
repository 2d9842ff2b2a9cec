#include "config_service.hpp"

#include "directory_service.hpp"

#include <random>
#include <spdlog/spdlog.h>

namespace briarfield::app
{

namespace
{

/// Number of balancers that watch the object API; the others receive changes
/// from peers. With 16, some watchers very likely keep their connection when
/// half of the balancers are cut off from the store.
constexpr std::size_t watcher_count = 16;

} // namespace

std::vector<std::string_view> config_service::depends_on() const
{
    return {runtime_service::service_name, directory_service::service_name};
}

result<void> config_service::start(kernel& k)
{
    auto* runtime = k.find<runtime_service>(runtime_service::service_name);
    const endpoint& store_address = runtime->config().store_address;
    http_client::options opts;
    opts.host = store_address.address.to_string();
    opts.port = store_address.port;
    random_.emplace(std::random_device()());
    store_ = std::make_unique<http_object_store>(runtime->loop(), opts);
    follower_ = std::make_unique<config_follower>(
        *store_, runtime->loop().timers(), *random_);
    follower_->on_change = [this] { on_follower_change(); };
    control_ =
        &k.find<directory_service>(directory_service::service_name)->control();
    follower_->should_watch = [this] { return is_watcher(); };
    control_->peers().add(*follower_);
    follower_->start();
    return ok();
}

bool config_service::is_watcher() const
{
    static const std::uint64_t key = make_service_id({}, "object-api");
    return control_->members().among_first(key, watcher_count);
}

void config_service::stop()
{
    follower_.reset();
    store_.reset();
}

void config_service::on_follower_change()
{
    const auto previous = std::move(current_);
    current_ = follower_->current();
    spdlog::info("event=config_in_force version={} services={}",
                 current_->version, current_->services.size());
    log_rejected_objects(*previous);
    control_->peers().push();
    if (on_change)
        on_change();
}

/// Logs the object errors that \a former did not have.
void config_service::log_rejected_objects(const configuration& previous) const
{
    for (const auto& [key, report] : current_->reports)
    {
        if (report.problem.code == errc::ok)
            continue;
        const auto before = previous.reports.find(key);
        if (before != previous.reports.end() &&
            before->second.generation == report.generation &&
            before->second.problem.detail == report.problem.detail)
            continue;
        spdlog::warn("event=object_refused object=\"{}\" generation={} "
                     "error=\"{}\"",
                     key.to_string(), report.generation,
                     report.problem.message());
    }
}

} // namespace briarfield::app
