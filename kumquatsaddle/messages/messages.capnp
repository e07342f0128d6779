@0xc3a1f0b5d2e84797;

# Messages between the instances of the fleet. Times are seconds since the epoch,
# durations are milliseconds. The field `number` identifies a request; the reply repeats
# the number of its request.

struct Envelope {
  sender @0 :Text;         # instance id
  incarnation @1 :Text;    # incarnation id of the sender
  sequence @2 :UInt64;     # grows with each message of an incarnation
  sentAt @3 :Float64;
  configVersion @4 :UInt64;
  union {
    ping @5 :Ping;
    ack @6 :Ack;
    pingRequest @7 :PingRequest;
    digest @8 :Digest;
    forward @9 :Forward;
    forwardReply @10 :ForwardReply;
    fetchChanges @11 :FetchChanges;
    changes @12 :Changes;
    hello @13 :Hello;
    members @14 :Members;
  }
}

struct Member {
  name @0 :Text;
  incarnation @1 :Text;
  startedAt @2 :Float64;   # orders the incarnations of one instance
  revision @3 :UInt32;     # grows with each refutation or change by the member itself
  state @4 :UInt8;         # index of the InstanceState
  zone @5 :Text;
  region @6 :Text;
  control @7 :Text;        # host:port
  callers @8 :Text;        # host:port
  impairment @9 :UInt8;    # 0, or 1 + index of the ImpairmentReason
}

struct Ping {
  number @0 :UInt32;
  updates @1 :List(Member);
  tableDigest @2 :UInt64;  # of the sender's member table
}

struct Ack {
  number @0 :UInt32;
  updates @1 :List(Member);
  tableDigest @2 :UInt64;
}

struct PingRequest {
  number @0 :UInt32;
  target @1 :Text;         # control address
  updates @2 :List(Member);
  tableDigest @3 :UInt64;
}

# Statistics of the services at the sender, for their other homes.
struct Digest {
  services @0 :List(ServiceDigest);
}

struct ServiceDigest {
  service @0 :Text;
  medianMs @1 :Float32;
  p99Ms @2 :Float32;
  samples @3 :UInt32;
  freeSlots @4 :UInt16;
  queued @5 :UInt16;
}

struct Header {
  name @0 :Data;
  value @1 :Data;
}

struct Forward {
  number @0 :UInt32;
  kind @1 :UInt8;          # 0: to the request's authority, 1: to a home of its service
  method @2 :Text;
  target @3 :Text;
  headers @4 :List(Header);
  body @5 :Data;
  account @6 :Text;
  service @7 :Text;
  rank @8 :UInt8;          # value of the Rank
  idempotent @9 :Bool;
  remainingMs @10 :UInt32; # time to the deadline
  operation @11 :Text;
  floor @12 :Float32;      # requests a second
  recipient @13 :Text;     # the only incarnation that may run the request
}

struct ForwardReply {
  number @0 :UInt32;
  outcome @1 :UInt8;       # index of the Outcome
  status @2 :UInt16;
  headers @3 :List(Header);
  body @4 :Data;
  reason @5 :Text;         # value of the RefusalReason, or empty
  operation @6 :Text;
  retryAfterMs @7 :UInt32; # time after which a retry can succeed, or 0 if unknown
}

struct FetchChanges {
  number @0 :UInt32;
  after @1 :UInt64;        # version in force at the sender
  wantBackends @2 :Bool;   # a starting instance also needs the list of servers
}

struct Changes {
  number @0 :UInt32;
  entries @1 :List(Data);  # JSON of each change, in order
  snapshot @2 :Data;       # the whole configuration, or empty
  ready @3 :Bool;          # whether the sender has read a configuration itself
  backends @4 :Data;       # JSON of the list of backend servers, or empty
  listedAt @5 :Float64;    # when the list was read, by the clock of the platform
  version @6 :UInt64;      # version in force at the sender
}

struct Hello {
  number @0 :UInt32;
  member @1 :Member;       # the sender
}

struct Members {
  number @0 :UInt32;
  members @1 :List(Member);
}
