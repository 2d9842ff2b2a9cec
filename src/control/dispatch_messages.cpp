#include "briarfield/control/dispatch_messages.hpp"

#include "capnp_codec.hpp"
#include "capnp_fields.hpp"
#include "dispatch.capnp.h"

namespace briarfield
{

namespace
{

using namespace std::chrono_literals;

using address_list = capnp::List<wire::Address>;

void write_all(address_list::Builder writer, const std::vector<endpoint>& all)
{
    for (unsigned i = 0; i < all.size(); ++i)
        write_endpoint(writer[i], all[i]);
}

result<std::vector<endpoint>> read_all(address_list::Reader reader)
{
    std::vector<endpoint> all;
    all.reserve(reader.size());
    for (const auto item : reader)
    {
        BOOST_OUTCOME_TRY(e, read_endpoint(item));
        all.push_back(e);
    }
    return all;
}

void write_route_times(wire::AgentStatus::Builder writer,
                       const std::vector<route_time>& all)
{
    auto list = writer.initRouteTimes(static_cast<unsigned>(all.size()));
    for (unsigned i = 0; i < all.size(); ++i)
    {
        write_endpoint(list[i].initDestination(), all[i].destination);
        list[i].setServiceTime(
            static_cast<std::uint32_t>(all[i].service_time / 1us));
    }
}

void write_evacuations(wire::Evacuations::Builder writer,
                       const evacuated_zones& evacuations)
{
    writer.setEra(evacuations.era);
    writer.setRevision(evacuations.revision);
    auto zones =
        writer.initZones(static_cast<unsigned>(evacuations.zones.size()));
    for (unsigned i = 0; i < evacuations.zones.size(); ++i)
        zones.set(i, evacuations.zones[i]);
}

void write_warmup_limits(wire::BalancerNotice::Builder writer,
                         const std::vector<warmup_limit>& all)
{
    auto list = writer.initWarmupLimits(static_cast<unsigned>(all.size()));
    for (unsigned i = 0; i < all.size(); ++i)
    {
        list[i].setService(all[i].service);
        list[i].setPerSecond(all[i].per_second);
        list[i].setDuration(static_cast<std::uint32_t>(all[i].warmup / 1ms));
    }
}

/// Writes a flow into a message with the fields of wire::FlowId.
template <class Builder>
void write_flow_id(Builder writer, const flow_key& key)
{
    write_endpoint(writer.initSource(), {key.source, key.source_port});
    write_endpoint(writer.initDestination(),
                   {key.destination, key.destination_port});
    writer.setProtocol(static_cast<std::uint8_t>(key.protocol));
}

void write(wire::DispatchDatagram::Builder root, const agent_status& s)
{
    auto writer = root.initStatus();
    write_endpoint(writer.initData(), s.relay_address);
    writer.setIncarnation(s.incarnation);
    writer.setSequence(s.sequence);
    writer.setService(s.service);
    writer.setZone(s.zone);
    writer.setState(static_cast<wire::ServerState>(s.state));
    writer.setSlots(s.slots);
    writer.setFlows(s.flows);
    writer.setBusy(s.requests_in_progress);
    writer.setWarmup(s.warmup_ms);
    writer.setRestarting(s.restarting);
    writer.setServiceTime(static_cast<std::uint32_t>(s.service_time / 1us));
    writer.setFlowsComplete(s.flows_complete);
    writer.setOpeningRoom(s.opening_room);
    write_route_times(writer, s.route_times);
}

void write(wire::DispatchDatagram::Builder root, const flow_held_message& m)
{
    auto writer = root.initHeld();
    write_flow_id(writer, m.key);
    write_endpoint(writer.initAgent(), m.agent);
}

void write(wire::DispatchDatagram::Builder root, const balancer_notice& n)
{
    auto writer = root.initNotice();
    write_endpoint(writer.initRelay(), n.relay);
    writer.setConfigVersion(n.config_version);
    write_all(writer.initBalancers(static_cast<unsigned>(n.balancers.size())),
              n.balancers);
    write_all(writer.initAgents(static_cast<unsigned>(n.agents.size())),
              n.agents);
    writer.setLeaving(n.leaving);
    writer.setIncarnation(n.incarnation);
    writer.setAgentCount(n.agent_count);
    write_evacuations(writer.initEvacuations(), n.evacuations);
    write_warmup_limits(writer, n.warmup_limits);
}

void write(wire::DispatchDatagram::Builder root, const flow_query& q)
{
    auto writer = root.initQuery();
    write_endpoint(writer.initBalancer(), q.balancer);
    writer.setId(q.id);
    auto flows = writer.initFlows(static_cast<unsigned>(q.flows.size()));
    for (unsigned i = 0; i < q.flows.size(); ++i)
        write_flow_id(flows[i], q.flows[i]);
}

void write(wire::DispatchDatagram::Builder root, const flow_answer& a)
{
    auto writer = root.initAnswer();
    write_endpoint(writer.initAgent(), a.agent);
    writer.setId(a.id);
    writer.setComplete(a.complete);
    auto held = writer.initHeld(static_cast<unsigned>(a.held.size()));
    for (unsigned i = 0; i < a.held.size(); ++i)
        held.set(i, a.held[i]);
}

result<std::vector<route_time>>
read_route_times(capnp::List<wire::RouteTime>::Reader list)
{
    std::vector<route_time> all;
    all.reserve(list.size());
    for (const auto item : list)
    {
        BOOST_OUTCOME_TRY(destination, read_endpoint(item.getDestination()));
        all.push_back({destination, item.getServiceTime() * 1us});
    }
    return all;
}

evacuated_zones read_evacuations(wire::Evacuations::Reader reader)
{
    evacuated_zones evacuations;
    evacuations.era = reader.getEra();
    evacuations.revision = reader.getRevision();
    for (const auto zone : reader.getZones())
        evacuations.zones.emplace_back(zone.cStr());
    return evacuations;
}

/// A limit that is negative or no number is ignored.
std::vector<warmup_limit>
read_warmup_limits(capnp::List<wire::WarmupLimit>::Reader list)
{
    std::vector<warmup_limit> all;
    for (const auto item : list)
        if (item.getPerSecond() >= 0)
            all.push_back({item.getService().cStr(), item.getPerSecond(),
                           item.getDuration() * 1ms});
    return all;
}

/// Reads a flow from a message with the fields of wire::FlowId.
template <class Reader>
result<flow_key> read_flow_id(Reader reader)
{
    BOOST_OUTCOME_TRY(source, read_endpoint(reader.getSource()));
    BOOST_OUTCOME_TRY(destination, read_endpoint(reader.getDestination()));
    return flow_key{source.address, destination.address, source.port,
                    destination.port,
                    static_cast<transport>(reader.getProtocol())};
}

result<dispatch_message> read(wire::AgentStatus::Reader reader)
{
    if (reader.getState() > wire::ServerState::SILENT)
        return fail(errc::message_malformed, "unknown server state");
    agent_status s;
    BOOST_OUTCOME_TRY(data_value, read_endpoint(reader.getData()));
    s.relay_address = data_value;
    s.incarnation = reader.getIncarnation();
    s.sequence = reader.getSequence();
    s.service = reader.getService().cStr();
    s.zone = reader.getZone().cStr();
    s.state = static_cast<server_state>(reader.getState());
    s.slots = reader.getSlots();
    s.flows = reader.getFlows();
    s.requests_in_progress = reader.getBusy();
    s.warmup_ms = reader.getWarmup();
    s.restarting = reader.getRestarting();
    s.service_time = reader.getServiceTime() * 1us;
    s.flows_complete = reader.getFlowsComplete();
    s.opening_room = reader.getOpeningRoom();
    BOOST_OUTCOME_TRY(times, read_route_times(reader.getRouteTimes()));
    s.route_times = std::move(times);
    return dispatch_message(std::move(s));
}

result<dispatch_message> read(wire::FlowHeld::Reader reader)
{
    flow_held_message m;
    BOOST_OUTCOME_TRY(key, read_flow_id(reader));
    m.key = key;
    BOOST_OUTCOME_TRY(agent_value, read_endpoint(reader.getAgent()));
    m.agent = agent_value;
    return dispatch_message(m);
}

result<dispatch_message> read(wire::BalancerNotice::Reader reader)
{
    balancer_notice n;
    BOOST_OUTCOME_TRY(relay_value, read_endpoint(reader.getRelay()));
    n.relay = relay_value;
    n.config_version = reader.getConfigVersion();
    BOOST_OUTCOME_TRY(balancers_value, read_all(reader.getBalancers()));
    n.balancers = std::move(balancers_value);
    BOOST_OUTCOME_TRY(agents_value, read_all(reader.getAgents()));
    n.agents = std::move(agents_value);
    n.leaving = reader.getLeaving();
    n.incarnation = reader.getIncarnation();
    n.agent_count = reader.getAgentCount();
    n.evacuations = read_evacuations(reader.getEvacuations());
    n.warmup_limits = read_warmup_limits(reader.getWarmupLimits());
    return dispatch_message(std::move(n));
}

result<dispatch_message> read(wire::FlowQuery::Reader reader)
{
    flow_query q;
    BOOST_OUTCOME_TRY(balancer, read_endpoint(reader.getBalancer()));
    q.balancer = balancer;
    q.id = reader.getId();
    for (const auto item : reader.getFlows())
    {
        BOOST_OUTCOME_TRY(key, read_flow_id(item));
        q.flows.push_back(key);
    }
    return dispatch_message(std::move(q));
}

result<dispatch_message> read(wire::FlowAnswer::Reader reader)
{
    flow_answer a;
    BOOST_OUTCOME_TRY(agent, read_endpoint(reader.getAgent()));
    a.agent = agent;
    a.id = reader.getId();
    a.complete = reader.getComplete();
    for (const std::uint16_t position : reader.getHeld())
        a.held.push_back(position);
    return dispatch_message(std::move(a));
}

} // namespace

std::string encode_dispatch_message(const dispatch_message& message)
{
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<wire::DispatchDatagram>();
    std::visit([&root](const auto& m) { write(root, m); }, message);
    return encode_message(builder);
}

result<dispatch_message> decode_dispatch_message(std::string_view bytes)
{
    return decode_message<wire::DispatchDatagram, dispatch_message>(
        bytes,
        [](wire::DispatchDatagram::Reader reader) -> result<dispatch_message>
        {
            switch (reader.which())
            {
            case wire::DispatchDatagram::STATUS:
                return read(reader.getStatus());
            case wire::DispatchDatagram::HELD:
                return read(reader.getHeld());
            case wire::DispatchDatagram::NOTICE:
                return read(reader.getNotice());
            case wire::DispatchDatagram::QUERY:
                return read(reader.getQuery());
            case wire::DispatchDatagram::ANSWER:
                return read(reader.getAnswer());
            }
            return fail(errc::message_malformed, "unknown message kind");
        });
}

} // namespace briarfield
