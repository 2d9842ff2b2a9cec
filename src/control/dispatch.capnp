@0xe2c4a1960b7d5f83;
# Messages between balancers and agents whose servers return packets of flows
# that they do not have.

using Cxx = import "/capnp/c++.capnp";
using Control = import "control.capnp";
$Cxx.namespace("briarfield::wire");

enum ServerState {
  unknown @0;
  ready @1;
  draining @2;
  gone @3;
  silent @4;
}

# Heartbeat of an agent.
struct AgentStatus {
  data @0 :Control.Address;    # where it takes frames
  incarnation @1 :UInt64;      # differs with each start
  sequence @2 :UInt64;         # grows with each heartbeat
  service @3 :Text;
  zone @4 :Text;
  state @5 :ServerState;
  slots @6 :UInt32;
  flows @7 :UInt32;
  busy @8 :Float32;            # requests in progress, on average
  warmup @9 :UInt32;           # milliseconds
  restarting @10 :Bool;        # the agent stops; its server may live on
}

# An agent tells the balancer that sent a packet: my server has the flow.
struct FlowHeld {
  source @0 :Control.Address;
  destination @1 :Control.Address;
  protocol @2 :UInt8;          # IANA number
  agent @3 :Control.Address;   # where the agent takes frames
}

# A balancer to balancers and agents: who is there.
struct BalancerNotice {
  relay @0 :Control.Address;           # where it takes frames
  configVersion @1 :UInt64;
  balancers @2 :List(Control.Address); # where they take frames
  agents @3 :List(Control.Address);    # the same; to balancers only
  leaving @4 :Bool;
  incarnation @5 :UInt64;              # differs with each start
  agentCount @6 :UInt32;               # agents heard of lately
}

struct DispatchDatagram {
  union {
    status @0 :AgentStatus;
    held @1 :FlowHeld;
    notice @2 :BalancerNotice;
  }
}
