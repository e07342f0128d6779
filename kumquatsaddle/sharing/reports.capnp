@0x9d2f7c1be04a6385;

# Messages between the instances of a zone that dispatch by themselves.

# A datagram: what its sender has in flight, what it saw, and how recent its view is.
struct Report {
  sender @0 :Text;           # instance id
  zone @1 :Text;
  incarnation @2 :UInt64;    # random, new with each start
  sequence @3 :UInt32;       # grows with each report of an incarnation
  callers @4 :Text;          # host:port
  control @5 :Text;          # host:port
  serving @6 :Bool;          # whether callers may be sent there
  leaving @7 :Bool;
  routesVersion @8 :UInt64;  # store version of the routes in force
  serversVersion @9 :UInt64; # store version of the newest known entry
  readAgeMs @10 :UInt32;     # time since the store answered the sender
  # Loads are told in columns: reading a field of a struct costs more than reading a
  # whole list of numbers.
  servers @11 :List(Text);   # ids of servers
  wantsReply @12 :Bool;      # the sender does not know the recipient's load yet
  summary @13 :Bool;         # loads are those of all instances of the sender's zone
  partial @14 :Bool;         # servers that are not named have not changed
  capacity @15 :Float32;     # requests a second that the sender can take
  intervalMs @16 :UInt16;    # longest time until the sender's next report to the recipient
  # For each of the servers: requests in flight, observations since the sender knows it
  # (served, failed at once, failed slowly), requests in flight that did not fail at once.
  numbers @17 :List(UInt32);
  silent @18 :List(Text);    # instances that the speaker has just ceased to hear
}

# A frame: asks for what changed after two versions.
struct Fetch {
  sender @0 :Text;
  routesAfter @1 :UInt64;
  serversAfter @2 :UInt64;
  wantsInstances @3 :Bool;   # whether the sender looks for its peers
}

# A frame: the answer.
struct Update {
  routesVersion @0 :UInt64;
  routes @1 :Data;           # as the platform encodes them; empty if not newer
  serversVersion @2 :UInt64;
  rows @3 :List(Row);
  instances @4 :List(Instance); # empty if not wanted
}

struct Row {
  key @0 :Text;
  version @1 :UInt64;
  removed @2 :Bool;
  text @3 :Data;
}

struct Instance {
  name @0 :Text;
  zone @1 :Text;
  callers @2 :Text;
  control @3 :Text;
}
