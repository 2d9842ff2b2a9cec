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
}

void write(wire::DispatchDatagram::Builder root, const flow_held_message& m)
{
    auto writer = root.initHeld();
    write_endpoint(writer.initSource(), {m.key.source, m.key.source_port});
    write_endpoint(writer.initDestination(),
                   {m.key.destination, m.key.destination_port});
    writer.setProtocol(static_cast<std::uint8_t>(m.key.protocol));
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
    return dispatch_message(std::move(s));
}

result<dispatch_message> read(wire::FlowHeld::Reader reader)
{
    BOOST_OUTCOME_TRY(source, read_endpoint(reader.getSource()));
    BOOST_OUTCOME_TRY(destination, read_endpoint(reader.getDestination()));
    flow_held_message m;
    m.key = {source.address, destination.address, source.port, destination.port,
             static_cast<transport>(reader.getProtocol())};
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
    return dispatch_message(std::move(n));
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
            }
            return fail(errc::message_malformed, "unknown message kind");
        });
}

} // namespace briarfield
