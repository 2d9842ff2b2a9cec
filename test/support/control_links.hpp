#ifndef BRIARFIELD_TEST_SUPPORT_CONTROL_LINKS_HPP
#define BRIARFIELD_TEST_SUPPORT_CONTROL_LINKS_HPP

#include "briarfield/control/announcer.hpp"
#include "briarfield/control/balancer_control.hpp"
#include "briarfield/core/random.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace briarfield::test
{

/// In-memory network on the manual clock, with delay, loss and partitions.
class control_links
{
public:
    using receiver = std::function<void(const std::string&, const endpoint&)>;

    explicit control_links(std::uint64_t seed) : random_(seed) {}

    manual_clock& time() { return clock_; }

    void attach(const endpoint& address, receiver callback)
    {
        receivers_[address] = std::move(callback);
    }

    void detach(const endpoint& address) { receivers_.erase(address); }

    void send(const endpoint& from, const endpoint& to, std::string bytes)
    {
        const std::size_t balancer_ends = is_balancer(from) + is_balancer(to);
        balancer_bytes += balancer_ends * (bytes.size() + framing);
        if (random_.unit() < loss || (cut && cut(from, to)))
            return;
        const time_point due = clock_.now() + delay;
        queue_.emplace(due, message{from, to, std::move(bytes)});
    }

    /// Delivers the messages whose delay has passed.
    void deliver()
    {
        while (!queue_.empty() && queue_.begin()->first <= clock_.now())
        {
            const message arrived = std::move(queue_.begin()->second);
            queue_.erase(queue_.begin());
            const auto found = receivers_.find(arrived.to);
            if (found != receivers_.end())
                found->second(arrived.bytes, arrived.from);
        }
    }

    duration delay = std::chrono::milliseconds(2);
    double loss = 0;
    /// Whether messages from the first to the second endpoint are dropped.
    std::function<bool(const endpoint&, const endpoint&)> cut;

    /// Bytes sent or received by balancers, lost ones included.
    std::uint64_t balancer_bytes = 0;

private:
    /// Tag, UDP and IP headers of a datagram.
    static constexpr std::size_t framing = message_authenticator::tag_size + 28;

    static bool is_balancer(const endpoint& e)
    {
        return e.address.v4_bytes()[1] == 1;
    }

    struct message
    {
        endpoint from;
        endpoint to;
        std::string bytes;
    };

    manual_clock clock_;
    random_source random_;
    std::multimap<time_point, message> queue_;
    std::map<endpoint, receiver> receivers_;
};

inline endpoint address_of(std::uint8_t kind, std::size_t index)
{
    const std::uint8_t bytes[] = {10, kind,
                                  static_cast<std::uint8_t>(index >> 8U),
                                  static_cast<std::uint8_t>(index)};
    return {ip_address::from_v4(bytes), 7000};
}

/// A balancer's control objects, connected to the network.
struct test_balancer
{
    test_balancer(control_links& network,
                  std::size_t index,
                  std::uint64_t incarnation,
                  const std::vector<endpoint>& seeds)
        : links(&network), address(address_of(1, index))
    {
        balancer_record local_record;
        local_record.instance = "balancer-" + std::to_string(index);
        local_record.zone = "zone-" + std::to_string(index % 11);
        local_record.region = "region-" + std::to_string(index % 11 / 4);
        local_record.control = address;
        local_record.incarnation = incarnation;
        control = std::make_unique<balancer_control>(local_record, seeds,
                                                     network.time());
        control->send =
            [this](const endpoint& to, const control_datagram& datagram)
        { links->send(address, to, encode_control_datagram(datagram)); };
        network.attach(address,
                       [this](const std::string& bytes, const endpoint& from)
                       {
                           auto datagram = decode_control_datagram(bytes);
                           if (datagram && !paused)
                               control->on_datagram(datagram.value(), from);
                       });
    }

    ~test_balancer() { links->detach(address); }

    void poll()
    {
        if (!paused)
            control->poll();
    }

    control_links* links;
    endpoint address;
    std::unique_ptr<balancer_control> control;
    bool paused = false;
};

/// An agent's announcer, connected to the network; applies maps as the data
/// path does.
struct test_agent
{
    test_agent(control_links& network,
               std::size_t index,
               const std::string& service,
               std::uint64_t incarnation,
               std::vector<endpoint> seeds,
               const std::string& name = {})
        : links(&network), address(address_of(2, index))
    {
        announcement own;
        own.instance = name.empty() ? "agent-" + std::to_string(index) : name;
        own.team = "himal";
        own.service = service;
        own.overlay = address_of(3, index);
        own.incarnation = incarnation;
        own.state = serving_state::serving;
        own.capacity = 1;
        core =
            std::make_unique<announcer>(own, std::move(seeds), network.time());
        core->send = [this](const endpoint& to, const announcement& a)
        { links->send(address, to, encode_control_datagram(a)); };
        core->fill = [this](announcement& a)
        {
            a.applied_map = applied_map;
            a.released = released;
        };
        network.attach(address,
                       [this](const std::string& bytes, const endpoint&)
                       {
                           auto datagram = decode_control_datagram(bytes);
                           if (datagram && !paused)
                               on_datagram(datagram.value());
                       });
    }

    ~test_agent() { links->detach(address); }

    void on_datagram(const control_datagram& datagram)
    {
        const auto* grant = std::get_if<service_grant>(&datagram);
        if (grant == nullptr || !core->on_grant(*grant) ||
            !(applied_map < grant->map))
            return;
        applied_map = grant->map;
        released = bucket_bitmap(grant->bucket_count);
        for (std::uint32_t b = 0; b < grant->bucket_count; ++b)
            if (!grant->owned.test(b))
                released.set(b);
    }

    void poll()
    {
        if (!paused)
            core->poll();
    }

    instance_id id() const { return make_instance_id(core->own().instance); }

    control_links* links;
    endpoint address;
    std::unique_ptr<announcer> core;
    map_version applied_map;
    bucket_bitmap released;
    bool paused = false;
};

/// Balancers and agents connected by a simulated network.
class control_fixture
{
public:
    explicit control_fixture(std::uint64_t seed = 1) : links(seed)
    {
        links.time().advance(std::chrono::seconds(100));
    }

    static service_id id_of(const std::string& service)
    {
        return make_service_id("himal", service);
    }

    void add_service(const std::string& name)
    {
        granted_service granted;
        granted.bucket_count = 256;
        granted.addresses.push_back(
            {address_of(9, services.size()), transport::tcp});
        services[id_of(name)] = granted;
        for (auto& b : balancers)
            if (b)
                b->control->set_services(services, services.size());
    }

    test_balancer& add_balancer(std::size_t index, std::uint64_t incarnation)
    {
        if (balancers.size() <= index)
            balancers.resize(index + 1);
        balancers[index].reset();
        balancers[index] =
            std::make_unique<test_balancer>(links, index, incarnation, seeds);
        balancers[index]->control->set_services(services, services.size());
        return *balancers[index];
    }

    test_agent& add_agent(std::size_t index,
                          const std::string& service,
                          std::uint64_t incarnation = 1,
                          const std::string& name = {})
    {
        if (agents.size() <= index)
            agents.resize(index + 1);
        agents[index].reset();
        agents[index] = std::make_unique<test_agent>(links, index, service,
                                                     incarnation, seeds, name);
        return *agents[index];
    }

    /// Advances the clock by \a time_span in steps of \a step.
    void run(duration time_span, duration step = std::chrono::milliseconds(10))
    {
        for (duration passed{0}; passed < time_span; passed += step)
        {
            links.time().advance(step);
            links.deliver();
            for (auto& b : balancers)
                if (b)
                    b->poll();
            for (auto& a : agents)
                if (a)
                    a->poll();
            if (each_step)
                each_step();
        }
    }

    /// Number of buckets that \a agent owns in the map of \a balancer.
    std::size_t owned(std::size_t balancer,
                      const std::string& service,
                      const test_agent& agent)
    {
        return owned(balancer, service, agent.id());
    }

    std::size_t
    owned(std::size_t balancer, const std::string& service, instance_id id)
    {
        const auto map =
            balancers[balancer]->control->maps().map(id_of(service));
        std::size_t count = 0;
        if (map != nullptr)
            for (const bucket_owners& o : map->buckets)
                count +=
                    o.length > 0 && map->targets[o.target[0]].instance == id;
        return count;
    }

    /// Whether all running balancers have the same map of \a service.
    bool agree(const std::string& service)
    {
        std::set<std::uint64_t> versions;
        for (auto& b : balancers)
        {
            if (!b || b->paused)
                continue;
            const auto map = b->control->maps().map(id_of(service));
            versions.insert(map == nullptr ? 0 : map->version.value);
        }
        return versions.size() == 1 && *versions.begin() != 0;
    }

    /// Index of the running balancer that is the author of \a service, or the
    /// number of balancers if there is none.
    std::size_t author(const std::string& service)
    {
        for (std::size_t i = 0; i < balancers.size(); ++i)
            if (balancers[i] && !balancers[i]->paused &&
                balancers[i]->control->members().ranks_first(id_of(service)))
                return i;
        return balancers.size();
    }

    control_links links;
    std::vector<endpoint> seeds{address_of(1, 0), address_of(1, 1)};
    std::map<service_id, granted_service> services;
    std::vector<std::unique_ptr<test_balancer>> balancers;
    std::vector<std::unique_ptr<test_agent>> agents;
    std::function<void()> each_step;
};

} // namespace briarfield::test

#endif
