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

/// All keys, in the order of the reference page.
constexpr setting_row rows[] = {
    row("instance", "name", &settings::instance_name)
        .needed(balancer)
        .needed(agent)
        .needed(relay_balancer)
        .needed(relay_agent)
        .doc("Name of this instance, unique within the deployment."),
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
    row("store", "config_bound_ms", &settings::store_config_bound_ms)
        .by_default("3000")
        .range("500", "300000")
        .doc("Time in ms within which a balancer of the relay applies a change "
             "of "
             "the configuration, although its connection to the store was lost "
             "without notice. Watches last 60% of it."),
    row("store", "evacuation_bound_ms", &settings::store_evacuation_bound_ms)
        .by_default("0")
        .range("0", "300000")
        .doc("Time in ms within which a balancer of the relay places no more "
             "flows in a zone whose evacuation was written to the store. 0: "
             "evacuations are not followed. Positive at agents, too: an agent "
             "then takes no opening before a balancer has told it the "
             "evacuated zones."),

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
        .doc("File with the secret of the flow hash. It must be identical on "
             "all balancers and must not change while flows are open. Without "
             "it the overlay key is used, which then cannot be rotated."),

    row("balancer", "fabric", &settings::balancer_fabric)
        .needed(balancer)
        .doc("Address that receives packets from the fabric, in GUE."),
    row("balancer", "overlay", &settings::balancer_overlay)
        .needed(balancer)
        .doc("Source address of overlay datagrams to agents."),
    row("balancer", "control", &settings::balancer_control)
        .needed(balancer)
        .doc("Address that receives the announcements of agents."),
    row("balancer", "peers", &settings::balancer_peers)
        .doc("Control addresses of some other balancers; the rest are "
             "discovered."),
    row("balancer", "new_flow_limit", &settings::balancer_new_flow_limit)
        .by_default("20000")
        .range("1", "10000000")
        .reload()
        .doc("New TCP flows per second that this balancer admits; when more "
             "arrive, the limit is divided among services by their shares."),
    row("balancer", "withdrawal", &settings::balancer_withdrawal)
        .by_default("2s")
        .range("0s", "10min")
        .reload()
        .doc("How long a stopping balancer continues to forward, so that the "
             "fabric detects that /readyz fails."),
    row("balancer", "drain_limit", &settings::balancer_drain_limit)
        .by_default("30s")
        .range("1s", "24h")
        .reload()
        .doc("Time after which a stopping balancer exits in any case."),

    row("http", "address", &settings::http_address)
        .needed(balancer)
        .needed(agent)
        .needed(relay_balancer)
        .needed(relay_agent)
        .doc("Address that serves /metrics, /healthz and /readyz."),

    row("agent", "overlay", &settings::agent_overlay)
        .needed(agent)
        .doc("Address that receives overlay datagrams; it must be reachable "
             "from the balancers."),
    row("agent", "server", &settings::agent_server)
        .needed(agent)
        .doc("Address that receives packets of the backend server, in GUE."),
    row("agent", "control", &settings::agent_control)
        .needed(agent)
        .doc("Address that sends announcements and receives grants."),
    row("agent", "server_address", &settings::server_address)
        .needed(agent)
        .doc("Address at which the backend server receives packets, in GUE."),
    row("agent", "fabric_address", &settings::fabric_address)
        .needed(agent)
        .doc("Destination of packets for callers, in GUE."),
    row("agent", "team", &settings::agent_team)
        .needed(agent)
        .doc("Team whose service the backend server runs."),
    row("agent", "service", &settings::agent_service)
        .needed(agent)
        .doc("Service that the backend server runs."),
    row("agent", "balancers", &settings::balancers)
        .needed(agent)
        .doc("Control addresses of some balancers; the rest are discovered."),
    row("agent", "drain_limit", &settings::agent_drain_limit)
        .by_default("24h")
        .range("1s", "168h")
        .reload()
        .doc("Time after which a stopping agent exits, even with flows open."),

    row("relay", "address", &settings::relay_address)
        .needed(relay_balancer)
        .needed(relay_agent)
        .doc("Address that receives frames of other balancers and agents."),
    row("relay", "callers", &settings::relay_callers)
        .needed(relay_balancer)
        .doc("Address that receives packets of callers."),
    row("relay", "caller_port", &settings::relay_caller_port)
        .by_default("0")
        .range("0", "65535")
        .doc("Port at which callers receive packets, at their own address. 0: "
             "the port of relay.callers or, for an agent, relay.address."),
    row("relay", "from_server", &settings::relay_from_server)
        .needed(relay_agent)
        .doc("Address that receives packets of the backend server."),
    row("relay", "server", &settings::relay_server)
        .needed(relay_agent)
        .doc("Address at which the backend server receives packets."),
    row("relay", "heartbeats", &settings::relay_heartbeats)
        .needed(relay_agent)
        .doc("Address that receives the backend server's heartbeats, by HTTP."),
    row("relay", "service", &settings::relay_service)
        .needed(relay_agent)
        .reload()
        .doc("Service that the backend server runs, until its heartbeats name "
             "the service."),
    row("relay", "seeds", &settings::relay_seeds)
        .reload()
        .doc("Relay addresses of some balancers; the rest are discovered."),
    row("relay", "seed_port", &settings::relay_seed_port)
        .by_default("0")
        .range("0", "65535")
        .doc("Port that replaces the port of each seed's address; 0: the port "
             "as given."),
    row("relay", "silence_limit", &settings::relay_silence_limit)
        .by_default("1900ms")
        .range("100ms", "1min")
        .doc("A server that has sent neither a heartbeat nor a packet for this "
             "long gets no new flows; its address may then belong to another "
             "service. Returned packets do not count."),
    row("relay", "checkpoint_interval", &settings::relay_checkpoint_interval)
        .by_default("6s")
        .range("500ms", "10min")
        .doc("Time between two checkpoints of an agent's open flows, if a "
             "store is set; longer when many agents share the store."),
    row("relay", "store_writes", &settings::relay_store_writes)
        .by_default("400")
        .range("1", "1000000")
        .doc("Write calls per second that the store allows all instances "
             "together; checkpoints use at most a twentieth of them."),
    row("relay", "warmup_overshoot", &settings::relay_warmup_overshoot)
        .by_default("0")
        .range("0", "1000")
        .doc("Factor on the openings per second that the configuration allows "
             "a server that is warming up. 0, with warmup_slack 0: openings of "
             "such servers are not limited."),
    row("relay", "warmup_slack", &settings::relay_warmup_slack)
        .by_default("0")
        .range("0", "1000000")
        .doc("Openings per second that a server that is warming up may take "
             "beyond that."),
    row("relay", "max_flow_age_s", &settings::relay_max_flow_age_s)
        .by_default("60")
        .range("1", "86400")
        .doc("Age in seconds up to which flows are kept; an agent that has run "
             "for this long has a record of every flow of its server."),

    row("trace", "collector", &settings::trace_collector)
        .doc("Address of the collector that receives spans by OTLP/HTTP JSON; "
             "without it no spans are recorded."),
    row("trace", "ratio", &settings::trace_ratio)
        .by_default("0")
        .range("0", "1")
        .reload()
        .doc("Fraction of new flows that are traced; at most 200 flows per "
             "second."),

    row("log", "level", &settings::log_level)
        .one_of("trace debug info warn error")
        .by_default("info")
        .reload()
        .doc("Lowest level of lines that are written; --log-level takes "
             "precedence."),
    row("log", "format", &settings::log_format)
        .one_of("text json")
        .by_default("text")
        .doc("Format of log lines; --log-format takes precedence."),
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
