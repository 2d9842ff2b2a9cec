#include "setting_row.hpp"

#include <iterator>

namespace briarfield::app
{

namespace
{

constexpr daemon_role balancer = daemon_role::balancer;
constexpr daemon_role agent = daemon_role::agent;
constexpr daemon_role relay_balancer = daemon_role::relay_balancer;
constexpr daemon_role relay_agent = daemon_role::relay_agent;

/// Every key; the order is that of the reference page.
constexpr setting_row rows[] = {
    row("instance", "name", &settings::instance_name)
        .needed(balancer)
        .needed(agent)
        .needed(relay_balancer)
        .needed(relay_agent)
        .doc("Name of this instance, unique among all of a deployment."),
    row("instance", "zone", &settings::instance_zone)
        .needed(balancer)
        .needed(agent)
        .needed(relay_balancer)
        .needed(relay_agent)
        .doc("Availability zone of this instance."),
    row("instance", "region", &settings::instance_region)
        .needed(balancer)
        .needed(agent)
        .doc("Region of this instance."),

    row("store", "address", &settings::store_address)
        .needed(balancer)
        .needed(relay_balancer)
        .doc("Object API of the platform."),

    row("keys", "overlay", &settings::overlay_key_file)
        .is_secret()
        .needed(balancer)
        .needed(agent)
        .reload()
        .doc("File with the key that signs overlay headers."),
    row("keys", "overlay_other", &settings::overlay_other_key_file)
        .is_secret()
        .reload()
        .doc("File with a second key that is accepted during a rotation."),
    row("keys", "control", &settings::control_key_file)
        .is_secret()
        .needed(balancer)
        .needed(agent)
        .reload()
        .doc("File with the key that signs control messages."),
    row("keys", "control_other", &settings::control_other_key_file)
        .is_secret()
        .reload()
        .doc("File with a second key that is accepted during a rotation."),
    row("keys", "flow_hash", &settings::flow_hash_key_file)
        .is_secret()
        .doc("File with the secret of the flow hash; alike on all balancers "
             "and never changed while flows are open. Without it the overlay "
             "key is used, which then cannot be rotated."),

    row("balancer", "fabric", &settings::balancer_fabric)
        .needed(balancer)
        .doc("Where packets from the fabric arrive, in GUE."),
    row("balancer", "overlay", &settings::balancer_overlay)
        .needed(balancer)
        .doc("Where overlay datagrams to agents leave from."),
    row("balancer", "control", &settings::balancer_control)
        .needed(balancer)
        .doc("Where announcements of agents arrive."),
    row("balancer", "peers", &settings::balancer_peers)
        .doc("Control addresses of some other balancers; the rest are learnt."),
    row("balancer", "new_flow_limit", &settings::balancer_new_flow_limit)
        .by_default("20000")
        .range("1", "10000000")
        .reload()
        .doc("New TCP flows a second that this balancer admits; services "
             "split it by their shares when more come."),
    row("balancer", "withdrawal", &settings::balancer_withdrawal)
        .by_default("2s")
        .range("0s", "10min")
        .reload()
        .doc("How long a stopping balancer goes on forwarding, so that the "
             "fabric notices that /readyz has turned."),
    row("balancer", "drain_limit", &settings::balancer_drain_limit)
        .by_default("30s")
        .range("1s", "24h")
        .reload()
        .doc("When a stopping balancer ends at the latest."),

    row("http", "address", &settings::http_address)
        .needed(balancer)
        .needed(agent)
        .needed(relay_balancer)
        .needed(relay_agent)
        .doc("Where /metrics, /healthz and /readyz are served."),

    row("agent", "overlay", &settings::agent_overlay)
        .needed(agent)
        .doc("Where overlay datagrams arrive; balancers must reach it."),
    row("agent", "server", &settings::agent_server)
        .needed(agent)
        .doc("Where packets of the backend server arrive, in GUE."),
    row("agent", "control", &settings::agent_control)
        .needed(agent)
        .doc("Where announcements leave from and grants arrive."),
    row("agent", "server_address", &settings::server_address)
        .needed(agent)
        .doc("Where the backend server takes packets, in GUE."),
    row("agent", "fabric_address", &settings::fabric_address)
        .needed(agent)
        .doc("Where packets for callers go, in GUE."),
    row("agent", "team", &settings::agent_team)
        .needed(agent)
        .doc("Team whose service the backend server runs."),
    row("agent", "service", &settings::agent_service)
        .needed(agent)
        .doc("Service that the backend server runs."),
    row("agent", "balancers", &settings::balancers)
        .needed(agent)
        .doc("Control addresses of some balancers; the rest are learnt."),
    row("agent", "drain_limit", &settings::agent_drain_limit)
        .by_default("24h")
        .range("1s", "168h")
        .reload()
        .doc("When a stopping agent ends at the latest, even with flows open."),

    row("relay", "address", &settings::relay_address)
        .needed(relay_balancer)
        .needed(relay_agent)
        .doc("Where frames of other balancers and agents arrive."),
    row("relay", "callers", &settings::relay_callers)
        .needed(relay_balancer)
        .doc("Where packets of callers arrive."),
    row("relay", "caller_port", &settings::relay_caller_port)
        .by_default("0")
        .range("0", "65535")
        .doc("Port at which callers take packets, at their own address; 0: "
             "that at which we take theirs or, beside a server, frames."),
    row("relay", "from_server", &settings::relay_from_server)
        .needed(relay_agent)
        .doc("Where packets of the backend server arrive."),
    row("relay", "server", &settings::relay_server)
        .needed(relay_agent)
        .doc("Where the backend server takes packets."),
    row("relay", "heartbeats", &settings::relay_heartbeats)
        .needed(relay_agent)
        .doc("Where the backend server announces itself, by HTTP."),
    row("relay", "service", &settings::relay_service)
        .needed(relay_agent)
        .reload()
        .doc("Service that the backend server runs, until it says so itself."),
    row("relay", "seeds", &settings::relay_seeds)
        .reload()
        .doc("Relay addresses of some balancers; the rest are learnt."),
    row("relay", "seed_port", &settings::relay_seed_port)
        .by_default("0")
        .range("0", "65535")
        .doc("Port of the seeds' relay addresses, where they are given with "
             "another port; 0: as given."),
    row("relay", "silence_limit", &settings::relay_silence_limit)
        .by_default("1900ms")
        .range("100ms", "1min")
        .doc("A server that was silent for so long gets no new flows; its "
             "address may then belong to another service."),
    row("relay", "checkpoint_interval", &settings::relay_checkpoint_interval)
        .by_default("6s")
        .range("500ms", "10min")
        .doc("Time between two checkpoints of an agent's open flows, if a "
             "store is set; longer when many agents share it."),
    row("relay", "store_writes", &settings::relay_store_writes)
        .by_default("400")
        .range("1", "1000000")
        .doc("Writing calls a second that the store grants all instances; "
             "checkpoints take a twentieth at most."),

    row("trace", "collector", &settings::trace_collector)
        .doc("Where spans go by OTLP/HTTP JSON; without it none are kept."),
    row("trace", "ratio", &settings::trace_ratio)
        .by_default("0")
        .range("0", "1")
        .reload()
        .doc("Share of new flows that are traced; never more than 200 a "
             "second."),

    row("log", "level", &settings::log_level)
        .one_of("trace debug info warn error")
        .by_default("info")
        .reload()
        .doc("Least severe lines that are written; --log-level goes first."),
    row("log", "format", &settings::log_format)
        .one_of("text json")
        .by_default("text")
        .doc("How lines are written; --log-format goes first."),
};

} // namespace

const setting_row* setting_rows_begin()
{
    return std::begin(rows);
}

const setting_row* setting_rows_end()
{
    return std::end(rows);
}

} // namespace briarfield::app
