#include "briarfield/control/balancer_control.hpp"

#include <algorithm>
#include <spdlog/spdlog.h>

namespace briarfield
{

balancer_control::balancer_control(const balancer_record& local_record,
                                   std::vector<endpoint> seeds,
                                   const clock& c,
                                   const options& opts)
    : clock_(&c), options_(opts), members_(local_record, c, opts.members),
      agents_(c, opts.agents),
      maps_(local_record.id(), local_record.incarnation, c, opts.maps),
      peers_(members_,
             c,
             random_source(local_record.id() ^ local_record.incarnation),
             opts.peers),
      started_(c.now()), last_poll_(c.now())
{
    peers_.add(members_);
    peers_.add(maps_);
    peers_.set_seeds(std::move(seeds));
    peers_.send = [this](const endpoint& to, const peer_message& m)
    { send(to, m); };
    members_.on_change = [this]
    {
        agents_.retain([this](service_id id) { return observes(id); });
        maps_.authors_changed();
    };
    members_.on_suspect = [this](const balancer_record& r)
    { peers_.send_hello(r.control); };
    agents_.query_observers =
        [this](service_id id, const observation_report& query)
    { return query_observers(id, query); };
    agents_.on_change = [this](service_id id, map_urgency urgency)
    { maps_.input_changed(id, urgency); };
    maps_.is_author = [this](service_id id)
    { return members_.ranks_first(id); };
    maps_.input = [this](service_id id, const bucket_map* current)
    { return agents_.input(id, current); };
    maps_.on_merged = [this](const bucket_map& m)
    { agents_.expect_targets(m); };
    maps_.on_map = [this](service_id id)
    {
        push_pending_ = true;
        if (on_map)
            on_map(id);
    };
}

void balancer_control::set_services(
    std::map<service_id, granted_service> services, std::uint64_t version)
{
    services_ = std::move(services);
    config_version_ = version;
    std::map<service_id, std::uint32_t> counts;
    for (const auto& [id, granted] : services_)
        counts[id] = granted.bucket_count;
    maps_.set_services(counts);
}

void balancer_control::poll()
{
    detect_stall();
    if (next_sweep_ <= last_poll_)
    {
        next_sweep_ = last_poll_ + options_.sweep_interval;
        members_.sweep();
        agents_.sweep();
    }
    check_synchronized();
    maps_.poll();
    peers_.poll();
    if (!push_pending_ || clock_->now() < next_push_)
        return;
    push_pending_ = false;
    next_push_ = clock_->now() + options_.push_interval;
    peers_.push();
}

/// After a pause the local maps may be out of date, so that no map is built
/// until they are synchronized with the peers again.
void balancer_control::detect_stall()
{
    const time_point now = clock_->now();
    const duration gap = now - last_poll_;
    last_poll_ = now;
    if (gap <= options_.stall_threshold)
        return;
    spdlog::info(
        "event=resumed_after_pause milliseconds={}",
        std::chrono::duration_cast<std::chrono::milliseconds>(gap).count());
    started_ = now;
    maps_.set_synchronized(false);
    peers_.reset_agreement();
}

void balancer_control::leave()
{
    members_.leave();
    peers_.push();
}

void balancer_control::check_synchronized()
{
    if (maps_.synchronized())
        return;
    const duration age = clock_->now() - started_;
    const bool alone = members_.live_count() == 1;
    const bool ready = peers_.agreed_once() ||
                       (alone && age >= options_.alone_startup_grace) ||
                       age >= options_.agreement_timeout;
    if (!ready)
        return;
    spdlog::info("event=maps_synchronized alone={}", alone);
    maps_.set_synchronized(true);
}

bool balancer_control::observes(service_id id) const
{
    return members_.among_first(id, membership::observer_count);
}

std::size_t balancer_control::query_observers(service_id id,
                                              const observation_report& query)
{
    observation_report message = query;
    message.sender = members_.local_record().id();
    std::size_t queried_count = 0;
    for (const balancer_record& peer :
         members_.ranked(id, membership::observer_count))
    {
        if (peer.id() == message.sender)
            continue;
        send(peer.control, message);
        ++queried_count;
    }
    return queried_count;
}

void balancer_control::on_datagram(const control_datagram& datagram,
                                   const endpoint& from)
{
    if (const auto* a = std::get_if<announcement>(&datagram))
        return on_announcement(*a, from);
    if (const auto* m = std::get_if<peer_message>(&datagram))
        return peers_.on_message(*m, from);
    if (const auto* o = std::get_if<observation_report>(&datagram))
        return on_observations(*o, from);
}

void balancer_control::on_observations(const observation_report& report,
                                       const endpoint& from)
{
    if (!report.query)
        return agents_.on_report(report);
    observation_report answer = agents_.answer(report);
    answer.sender = members_.local_record().id();
    send(from, answer);
}

void balancer_control::on_announcement(const announcement& a,
                                       const endpoint& from)
{
    service_grant grant;
    grant.instance = a.instance;
    grant.incarnation = a.incarnation;
    grant.sequence = a.sequence;
    grant.service = make_service_id(a.team, a.service);
    if (observes(grant.service))
    {
        announcement effective = a;
        const bool serving = a.state == serving_state::starting ||
                             a.state == serving_state::serving;
        if (serving && may_serve && !may_serve(a))
            effective.state = serving_state::draining;
        if (!agents_.on_heartbeat(effective))
            return;
        grant.incarnation =
            agents_.incarnation_of(make_instance_id(a.instance));
    }
    for (const balancer_record& observer :
         members_.ranked(grant.service, membership::observer_count))
        grant.observers.push_back(observer.control);
    grant.config_version = config_version_;
    const auto found = services_.find(grant.service);
    if (found != services_.end())
    {
        grant.bucket_count = found->second.bucket_count;
        grant.addresses = found->second.addresses;
    }
    fill_map(grant, a);
    send(from, grant);
}

void balancer_control::fill_map(service_grant& grant,
                                const announcement& a) const
{
    const auto map = maps_.map(grant.service);
    if (map == nullptr || !(a.applied_map < map->version))
        return;
    grant.map = map->version;
    grant.owned = bucket_bitmap(map->buckets.size());
    const instance_id id = make_instance_id(a.instance);
    for (std::size_t b = 0; b < map->buckets.size(); ++b)
    {
        const bucket_owners& owners = map->buckets[b];
        if (owners.length > 0 && map->targets[owners.target[0]].instance == id)
            grant.owned.set(b);
    }
}

} // namespace briarfield
