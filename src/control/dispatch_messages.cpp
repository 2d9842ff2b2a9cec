#include "briarfield/control/dispatch_messages.hpp"

#include "capnp_codec.hpp"
#include "capnp_fields.hpp"
#include "dispatch.capnp.h"

namespace briarfield
{

namespace
{

using address_list = capnp::List<wire::Address>;

void write_all(address_list::Builder w, const std::vector<endpoint>& all)
{
    for (unsigned i = 0; i < all.size(); ++i)
        write_endpoint(w[i], all[i]);
}

result<std::vector<endpoint>> read_all(address_list::Reader r)
{
    std::vector<endpoint> all;
    all.reserve(r.size());
    for (const auto item : r)
    {
        BOOST_OUTCOME_TRY(e, read_endpoint(item));
        all.push_back(e);
    }
    return all;
}

void write(wire::DispatchDatagram::Builder root, const agent_status& s)
{
    auto w = root.initStatus();
    write_endpoint(w.initData(), s.relay_address);
    w.setIncarnation(s.incarnation);
    w.setSequence(s.sequence);
    w.setService(s.service);
    w.setZone(s.zone);
    w.setState(static_cast<wire::ServerState>(s.state));
    w.setSlots(s.slots);
    w.setFlows(s.flows);
    w.setBusy(s.requests_in_progress);
    w.setWarmup(s.warmup_ms);
    w.setRestarting(s.restarting);
}

void write(wire::DispatchDatagram::Builder root, const flow_held_message& m)
{
    auto w = root.initHeld();
    write_endpoint(w.initSource(), {m.key.source, m.key.source_port});
    write_endpoint(w.initDestination(),
                   {m.key.destination, m.key.destination_port});
    w.setProtocol(static_cast<std::uint8_t>(m.key.protocol));
    write_endpoint(w.initAgent(), m.agent);
}

void write(wire::DispatchDatagram::Builder root, const balancer_notice& n)
{
    auto w = root.initNotice();
    write_endpoint(w.initRelay(), n.relay);
    w.setConfigVersion(n.config_version);
    write_all(w.initBalancers(static_cast<unsigned>(n.balancers.size())),
              n.balancers);
    write_all(w.initAgents(static_cast<unsigned>(n.agents.size())), n.agents);
    w.setLeaving(n.leaving);
    w.setIncarnation(n.incarnation);
    w.setAgentCount(n.agent_count);
}

result<dispatch_message> read(wire::AgentStatus::Reader r)
{
    if (r.getState() > wire::ServerState::SILENT)
        return fail(errc::message_malformed, "unknown server state");
    agent_status s;
    BOOST_OUTCOME_TRY(data_value, read_endpoint(r.getData()));
    s.relay_address = data_value;
    s.incarnation = r.getIncarnation();
    s.sequence = r.getSequence();
    s.service = r.getService().cStr();
    s.zone = r.getZone().cStr();
    s.state = static_cast<server_state>(r.getState());
    s.slots = r.getSlots();
    s.flows = r.getFlows();
    s.requests_in_progress = r.getBusy();
    s.warmup_ms = r.getWarmup();
    s.restarting = r.getRestarting();
    return dispatch_message(std::move(s));
}

result<dispatch_message> read(wire::FlowHeld::Reader r)
{
    BOOST_OUTCOME_TRY(source, read_endpoint(r.getSource()));
    BOOST_OUTCOME_TRY(destination, read_endpoint(r.getDestination()));
    flow_held_message m;
    m.key = {source.address, destination.address, source.port, destination.port,
             static_cast<transport>(r.getProtocol())};
    BOOST_OUTCOME_TRY(agent_value, read_endpoint(r.getAgent()));
    m.agent = agent_value;
    return dispatch_message(m);
}

result<dispatch_message> read(wire::BalancerNotice::Reader r)
{
    balancer_notice n;
    BOOST_OUTCOME_TRY(relay_value, read_endpoint(r.getRelay()));
    n.relay = relay_value;
    n.config_version = r.getConfigVersion();
    BOOST_OUTCOME_TRY(balancers_value, read_all(r.getBalancers()));
    n.balancers = std::move(balancers_value);
    BOOST_OUTCOME_TRY(agents_value, read_all(r.getAgents()));
    n.agents = std::move(agents_value);
    n.leaving = r.getLeaving();
    n.incarnation = r.getIncarnation();
    n.agent_count = r.getAgentCount();
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
        [](wire::DispatchDatagram::Reader r) -> result<dispatch_message>
        {
            switch (r.which())
            {
            case wire::DispatchDatagram::STATUS:
                return read(r.getStatus());
            case wire::DispatchDatagram::HELD:
                return read(r.getHeld());
            case wire::DispatchDatagram::NOTICE:
                return read(r.getNotice());
            }
            return fail(errc::message_malformed, "unknown message kind");
        });
}

} // namespace briarfield
