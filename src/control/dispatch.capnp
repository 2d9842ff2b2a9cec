@0xe2c4a1960b7d5f83;
# Messages between balancers and agents that return packets of flows which their
# servers do not have.

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

# Heartbeat of an agent to the balancers.
struct AgentStatus {
  data @0 :Control.Address;    # address at which the agent receives frames
  incarnation @1 :UInt64;      # differs with each start of the agent
  sequence @2 :UInt64;         # increases with each heartbeat
  service @3 :Text;
  zone @4 :Text;
  state @5 :ServerState;
  slots @6 :UInt32;
  flows @7 :UInt32;
  busy @8 :Float32;            # requests in progress, recent mean
  warmup @9 :UInt32;           # milliseconds until full speed of the server
  restarting @10 :Bool;        # the agent stops; its server may keep running
  serviceTime @11 :UInt32;     # microseconds of a request that need not wait,
                               # recent mean; 0: unknown
  flowsComplete @12 :Bool;     # the agent has a record of every flow that its
                               # server can hold
  openingRoom @13 :UInt16 = 65535; # openings that the server may take within
                               # the next second; 65535: not limited
  routeTimes @14 :List(RouteTime); # empty in most heartbeats
}

# Mean time of a request by route.
struct RouteTime {
  destination @0 :Control.Address; # address and port that callers use
  serviceTime @1 :UInt32;          # microseconds, as in AgentStatus
}

# Sent by an agent to the balancer that forwarded a packet: the agent's server
# has the flow open.
struct FlowHeld {
  source @0 :Control.Address;
  destination @1 :Control.Address;
  protocol @2 :UInt8;          # IANA number
  agent @3 :Control.Address;   # address at which the agent receives frames
}

# Sent by a balancer to balancers and agents: reports its state and the
# balancers and agents of which it has a record.
struct BalancerNotice {
  relay @0 :Control.Address;           # where the sender receives frames
  configVersion @1 :UInt64;
  balancers @2 :List(Control.Address); # addresses at which they receive frames
  agents @3 :List(Control.Address);    # likewise; only sent to balancers
  leaving @4 :Bool;                    # whether the sender is stopping
  incarnation @5 :UInt64;              # differs with each start of the sender
  agentCount @6 :UInt32;               # agents that sent a heartbeat within the
                                       # heartbeat timeout
  evacuations @7 :Evacuations;
  warmupLimits @8 :List(WarmupLimit);  # of the configuration version above
}

# Zones whose servers get no new flows.
struct Evacuations {
  era @0 :UInt64;              # of the store, when they were read
  revision @1 :UInt64;         # of the store; 0: never read
  zones @2 :List(Text);
}

# Limit of the openings that a server of a service takes while it warms up.
struct WarmupLimit {
  service @0 :Text;
  perSecond @1 :Float32;       # openings that a warming server bears
  duration @2 :UInt32;         # milliseconds from the start of a server
}

# A flow, by the addresses and ports of its callers' packets.
struct FlowId {
  source @0 :Control.Address;
  destination @1 :Control.Address;
  protocol @2 :UInt8;          # IANA number
}

# Sent by a balancer to an agent: which of these flows does its server hold?
struct FlowQuery {
  balancer @0 :Control.Address; # address at which the answer is received
  id @1 :UInt32;                # returned in the answer
  flows @2 :List(FlowId);
}

# Answer of an agent to a FlowQuery.
struct FlowAnswer {
  agent @0 :Control.Address;   # address at which the agent receives frames
  id @1 :UInt32;               # of the query
  complete @2 :Bool;           # whether flows that are not listed are not held
  held @3 :List(UInt16);       # positions in FlowQuery.flows
}

struct DispatchDatagram {
  union {
    status @0 :AgentStatus;
    held @1 :FlowHeld;
    notice @2 :BalancerNotice;
    query @3 :FlowQuery;
    answer @4 :FlowAnswer;
  }
}
