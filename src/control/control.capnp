@0xb7d1f0c8a4e35921;
# Messages between the processes of briarfield.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("briarfield::wire");

enum ServingState {
  starting @0;
  serving @1;
  draining @2;
  stopped @3;
}

# Sent by an agent to balancers: reports its state and that of its backend
# server.
struct Announcement {
  instance @0 :Text;
  zone @1 :Text;
  region @2 :Text;
  team @3 :Text;
  service @4 :Text;
  overlayAddress @5 :Data;    # 16 bytes, IPv4 mapped
  overlayPort @6 :UInt16;
  incarnation @7 :UInt64;     # increases with each start of the instance
  sequence @8 :UInt64;        # increases with each announcement
  state @9 :ServingState;
  capacity @10 :Float64;      # requests per second served at most; 0: unknown
  inProgress @11 :Float64;    # requests per second that arrive
  openFlows @12 :UInt32;
  mapVersion @13 :UInt64;     # newest bucket map that the agent has applied
  released @14 :Data;         # bitmap: buckets handed over in mapVersion that
                              # have no flows left
}

struct ServiceAddress {
  address @0 :Data;           # 16 bytes, IPv4 mapped
  port @1 :UInt16;
  protocol @2 :UInt8;         # IANA number
}

# Reply of a balancer to an announcement: what the agent may serve.
struct ServiceGrant {
  instance @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;        # of the answered announcement
  service @3 :UInt64;         # identity of the service
  configVersion @4 :UInt64;
  bucketCount @5 :UInt32;
  addresses @6 :List(ServiceAddress);
  mapVersion @7 :UInt64;      # 0: the map is not newer than the agent's
  owned @8 :Data;             # bitmap: buckets that this instance owns in
                              # mapVersion
  observers @9 :List(Address); # balancers to send announcements to
}

struct Address {
  address @0 :Data;           # 16 bytes, IPv4 mapped
  port @1 :UInt16;
}

enum MemberState {
  alive @0;
  suspect @1;
  dead @2;
  left @3;
}

# State of a balancer in the membership.
struct BalancerRecord {
  instance @0 :Text;
  zone @1 :Text;
  region @2 :Text;
  control @3 :Address;
  incarnation @4 :UInt64;
  state @5 :MemberState;
  suspectedBy @6 :List(UInt64); # instance ids of observers, if state is suspect
}

struct MemberList {
  members @0 :List(BalancerRecord);
}

struct MapTarget {
  instance @0 :UInt64;
  agent @1 :Address;
}

# Consecutive versions of a bucket map that one author has created.
struct AuthorRun {
  author @0 :UInt32;
  first @1 :UInt64;           # counter
  last @2 :UInt64;            # counter
}

struct BucketMap {
  service @0 :UInt64;
  version @1 :UInt64;
  lineage @2 :List(AuthorRun); # versions that this one takes into account
  targets @3 :List(MapTarget);
  chains @4 :Data;            # per bucket: length, then target positions
}

struct MapList {
  maps @0 :List(BucketMap);
}

# State of one section in a message between balancers.
struct Section {
  name @0 :Text;
  hash @1 :UInt64;            # hash of the sender's digest
  digest @2 :Data;            # empty if not needed
  delta @3 :Data;             # empty if the sender has nothing newer
}

# Sent by a balancer to a balancer; also a heartbeat of the sender.
struct PeerMessage {
  sender @0 :BalancerRecord;
  sequence @1 :UInt64;
  sections @2 :List(Section);
  round @3 :UInt8;            # round of the exchange; 0: hello message
}

# Time since a balancer last received an announcement of an agent.
struct Observation {
  instance @0 :UInt64;
  incarnation @1 :UInt64;
  silence @2 :UInt32;         # milliseconds
}

# Queries or reports observations of agents.
struct ObservationReport {
  sender @0 :UInt64;
  query @1 :Bool;             # true: queries the receiver's observations
  items @2 :List(Observation);
}

# Content of a control datagram.
struct ControlDatagram {
  union {
    announcement @0 :Announcement;
    grant @1 :ServiceGrant;
    peer @2 :PeerMessage;
    observations @3 :ObservationReport;
  }
}
