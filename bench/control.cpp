// Cost and latency of discovery, of map updates and of the exchange between
// balancers, measured with the real objects over in-memory links and a manual
// clock.
//
// Usage: bench_control [--quick | --full]

#include "support/control_links.hpp"

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <ctime>
#include <malloc.h>
#include <spdlog/spdlog.h>

namespace
{

using namespace briarfield;
using namespace briarfield::test;
using namespace std::chrono_literals;

constexpr std::size_t design_balancers = 550;
constexpr std::size_t design_services = 1500;
constexpr std::size_t agents_per_balancer = 10;
constexpr std::size_t zones = 11;
constexpr double restarts_per_day = 1700;
constexpr double changes_per_day = 400;
constexpr double seconds_per_day = 86400;
constexpr duration step = 20ms;

double cpu_seconds()
{
    timespec t{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return static_cast<double>(t.tv_sec) +
           static_cast<double>(t.tv_nsec) * 1e-9;
}

double seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

/// Sync section with one configuration object; the highest version wins.
class register_section final : public sync_section
{
public:
    std::string_view name() const override { return "config"; }
    std::string digest() const override { return std::to_string(version); }
    std::string delta(std::string_view peer, std::size_t) const override
    {
        return peer == digest() ? std::string() : digest() + padding;
    }
    result<void> merge(std::string_view delta) override
    {
        const auto peer_version =
            std::strtoull(std::string(delta).c_str(), nullptr, 10);
        version = std::max<std::uint64_t>(version, peer_version);
        return ok();
    }

    std::uint64_t version = 1;
    std::string padding = std::string(400, ' '); ///< Sets the object size.
};

struct sample
{
    double bytes = 0; ///< Bytes sent per second and balancer.
    double cpu = 0;   ///< Fraction of a core per balancer.
};

class cluster
{
public:
    cluster(std::size_t balancers, double loss) : fixture_(balancers)
    {
        fixture_.links.loss = loss;
        const std::size_t services = std::max<std::size_t>(
            1, balancers * design_services / design_balancers);
        for (std::size_t s = 0; s < services; ++s)
            fixture_.add_service("service-" + std::to_string(s));
        for (std::size_t b = 0; b < balancers; ++b)
        {
            fixture_.add_balancer(b, 1);
            sections_.push_back(std::make_unique<register_section>());
            fixture_.balancers[b]->control->peers().add(*sections_.back());
        }
        for (std::size_t a = 0; a < balancers * agents_per_balancer; ++a)
            fixture_.add_agent(a, service_of(a));
        fixture_.run(20s, step);
    }

    std::string service_of(std::size_t agent) const
    {
        return "service-" + std::to_string(agent % fixture_.services.size());
    }

    sample measure(duration span)
    {
        const std::uint64_t bytes = fixture_.links.balancer_bytes;
        const double cpu = cpu_seconds();
        fixture_.run(span, step);
        const double total = seconds(span) * live();
        return {double(fixture_.links.balancer_bytes - bytes) / total,
                (cpu_seconds() - cpu) / total};
    }

    /// Seconds until no map of any balancer has \a agent as an owner; at most
    /// 10.
    double time_until_unowned(std::size_t agent, instance_id id)
    {
        duration elapsed{0};
        while (elapsed < 10s)
        {
            fixture_.run(step, step);
            elapsed += step;
            std::size_t owned = 0;
            for (std::size_t b = 0; b < fixture_.balancers.size() && owned == 0;
                 ++b)
                if (fixture_.balancers[b])
                    owned += fixture_.owned(b, service_of(agent), id);
            if (owned == 0)
                break;
        }
        return seconds(elapsed);
    }

    double kill_agent(std::size_t agent)
    {
        const instance_id id = fixture_.agents[agent]->id();
        fixture_.agents[agent].reset();
        const double unowned_after = time_until_unowned(agent, id);
        fixture_.add_agent(agent, service_of(agent), ++incarnation_);
        fixture_.run(1s, step);
        return unowned_after;
    }

    double drain_agent(std::size_t agent)
    {
        fixture_.agents[agent]->core->set_state(serving_state::draining);
        const double unowned_after =
            time_until_unowned(agent, fixture_.agents[agent]->id());
        fixture_.agents[agent]->core->set_state(serving_state::serving);
        fixture_.run(1s, step);
        return unowned_after;
    }

    void restart_agent(std::size_t agent)
    {
        fixture_.agents[agent]->core->set_state(serving_state::stopped);
        fixture_.add_agent(agent, service_of(agent), ++incarnation_);
    }

    /// Publishes a new version at \a initial_balancers balancers; returns the
    /// seconds until all balancers have it, at most 10.
    double change_config(std::size_t initial_balancers)
    {
        ++version_;
        for (std::size_t h = 0; h < initial_balancers; ++h)
        {
            sections_[h * 7 % sections_.size()]->version = version_;
            fixture_.balancers[h * 7 % sections_.size()]
                ->control->peers()
                .push();
        }
        duration elapsed{0};
        const auto behind = [&](const auto& s)
        { return s->version < version_; };
        while (elapsed < 10s &&
               std::any_of(sections_.begin(), sections_.end(), behind))
        {
            fixture_.run(step, step);
            elapsed += step;
            for (std::size_t i = 0; i < sections_.size(); ++i)
                if (!behind(sections_[i]))
                    times_by_version_and_balancer_.try_emplace(
                        {version_, i}, seconds(elapsed));
        }
        return seconds(elapsed);
    }

    std::vector<double> config_times() const
    {
        std::vector<double> times;
        for (const auto& [key, t] : times_by_version_and_balancer_)
            times.push_back(t);
        std::sort(times.begin(), times.end());
        return times;
    }

    void remove_zone()
    {
        for (std::size_t b = 0; b < fixture_.balancers.size(); b += zones)
            fixture_.balancers[b].reset();
        for (std::size_t a = 0; a < fixture_.agents.size(); a += zones)
            fixture_.agents[a].reset();
    }

    std::uint64_t death_count() const
    {
        std::uint64_t n = 0;
        for (const auto& b : fixture_.balancers)
            if (b)
                n += b->control->agents().counters().value(
                         agent_registry_event::died) +
                     b->control->members().counters().value(
                         membership_event::died);
        return n;
    }

    double live() const
    {
        return double(std::count_if(fixture_.balancers.begin(),
                                    fixture_.balancers.end(),
                                    [](const auto& b) { return bool(b); }));
    }

private:
    control_fixture fixture_;
    std::vector<std::unique_ptr<register_section>> sections_;
    std::map<std::pair<std::uint64_t, std::size_t>, double>
        times_by_version_and_balancer_;
    std::uint64_t incarnation_ = 1;
    std::uint64_t version_ = 1;
};

void print(const char* name, std::size_t n, double value, const char* unit)
{
    std::printf("%s_%zu: %.4g %s\n", name, n, value, unit);
    std::fflush(stdout);
}

double heap_bytes()
{
    return double(mallinfo2().uordblks);
}

struct figures
{
    double steady = 0;
    double day = 0;
    double zone = 0;
    double cpu = 0;
    double memory = 0;
};

figures run_size(std::size_t n)
{
    figures totals;
    const double heap = heap_bytes();
    cluster c(n, 0);
    totals.memory = (heap_bytes() - heap) / double(n) / 1e6;
    const sample steady = c.measure(10s);
    totals.steady = steady.bytes;
    totals.cpu = steady.cpu * 100;
    constexpr std::size_t restarts = 5;
    for (std::size_t i = 0; i < restarts; ++i)
        c.restart_agent(i * 3 + 1);
    const sample restarts_sample = c.measure(20s);
    const double per_restart =
        std::max(0.0, restarts_sample.bytes - steady.bytes) * 20 / restarts;
    double dead = 0;
    double drain = 0;
    for (std::size_t i = 0; i < 3; ++i)
    {
        dead = std::max(dead, c.kill_agent(i * 5 + 2));
        drain = std::max(drain, c.drain_agent(i * 5 + 3));
    }
    const sample before = c.measure(2s);
    for (int i = 0; i < 10; ++i)
        (void)c.change_config(3);
    const auto times = c.config_times();
    totals.day = steady.bytes +
                 per_restart * restarts_per_day / seconds_per_day +
                 before.bytes * changes_per_day / seconds_per_day;
    print("control_bytes_steady", n, steady.bytes, "B/s");
    print("control_bytes_a_restart", n, per_restart, "B");
    print("control_bytes_busy_day", n, totals.day, "B/s");
    print("control_cpu_steady", n, totals.cpu, "%");
    print("control_memory", n, totals.memory, "MB");
    print("dead_server_no_new_flow_max", n, dead, "s");
    print("draining_server_no_new_flow_max", n, drain, "s");
    print("accept_to_in_force_p50", n, times[times.size() / 2], "s");
    print("accept_to_in_force_p99", n, times[times.size() * 99 / 100], "s");
    print("accept_to_in_force_max", n, times.back(), "s");
    c.remove_zone();
    totals.zone = c.measure(60s).bytes;
    print("control_bytes_zone_lost_minute", n, totals.zone, "B/s");
    return totals;
}

void run_loss(std::size_t n)
{
    for (const double loss : {0.01, 0.05})
    {
        cluster c(n, loss);
        (void)c.measure(30s);
        const std::string name =
            "false_ejections_loss_" + std::to_string(int(loss * 100)) + "pct";
        print(name.c_str(), n, double(c.death_count()), "ejections");
    }
}

void extrapolate(const char* name,
                 const char* unit,
                 const std::vector<std::size_t>& sizes,
                 const std::vector<double>& values)
{
    const std::size_t last = sizes.size() - 1;
    const double slope = (values[last] - values[last - 1]) /
                         double(sizes[last] - sizes[last - 1]);
    const double at_design =
        values[last] + slope * double(design_balancers - sizes[last]);
    std::printf("%s_slope: %.4g %s/node\n", name, slope, unit);
    std::printf("%s_extrapolated_550: %.4g %s\n", name, at_design, unit);
}

} // namespace

int main(int argc, char** argv)
{
    spdlog::set_level(spdlog::level::off);
    const bool quick = argc > 1 && std::strcmp(argv[1], "--quick") == 0;
    const bool full = argc > 1 && std::strcmp(argv[1], "--full") == 0;
    std::vector<std::size_t> sizes{25, 50};
    if (quick)
        sizes = {10, 25};
    if (full)
        sizes.insert(sizes.end(), {100, 200});
    std::vector<double> steady;
    std::vector<double> day;
    std::vector<double> zone;
    std::vector<double> cpu;
    std::vector<double> memory;
    for (const std::size_t n : sizes)
    {
        const figures f = run_size(n);
        steady.push_back(f.steady);
        day.push_back(f.day);
        zone.push_back(f.zone);
        cpu.push_back(f.cpu);
        memory.push_back(f.memory);
    }
    run_loss(quick ? 10 : 50);
    extrapolate("control_bytes_steady", "B/s", sizes, steady);
    extrapolate("control_bytes_busy_day", "B/s", sizes, day);
    extrapolate("control_bytes_zone_lost_minute", "B/s", sizes, zone);
    extrapolate("control_cpu_steady", "%", sizes, cpu);
    extrapolate("control_memory", "MB", sizes, memory);
    return 0;
}
