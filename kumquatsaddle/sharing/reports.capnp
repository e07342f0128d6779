@0x9d2f7c1be04a6385;

# Messages between instances that balance load over the backend servers themselves.

# A datagram: the requests in flight and observations of its sender, or of the sender's
# zone, and the age of the sender's data from the store.
struct Report {
  sender @0 :Text;           # instance id
  zone @1 :Text;
  incarnation @2 :UInt64;    # random, new with each start
  sequence @3 :UInt32;       # grows with each report of an incarnation
  callers @4 :Text;          # host:port
  control @5 :Text;          # host:port
  serving @6 :Bool;          # whether callers may be sent there
  leaving @7 :Bool;
  routesVersion @8 :UInt64;  # store version of the routes in force, in storeEpoch
  serversVersion @9 :UInt64; # store version of the newest known entry, in storeEpoch
  readAgeMs @10 :UInt32;     # time since the store last answered the sender
  # Loads are stored in columns because reading a field of a struct costs more than
  # reading a whole list of numbers.
  servers @11 :List(Text);   # ids of servers
  wantsReply @12 :Bool;      # whether the sender needs the load of the recipient
  summary @13 :Bool;         # loads are those of all instances of the sender's zone
  partial @14 :Bool;         # servers that are not listed have not changed
  capacity @15 :Float32;     # requests per second that the sender can handle
  intervalMs @16 :UInt16;    # longest time until the sender's next report to the recipient
  # For each of the servers: requests in flight; observations since the sender first knew
  # it (served, failed fast, failed slowly); requests in flight for longer than a fast
  # failure takes.
  numbers @17 :List(UInt32);
  silent @18 :List(Text);    # peers that became silent recently; set by the zone leader
  limits @19 :List(RateLimit); # rate limits that servers state or have ended
  departures @20 :List(Departure); # servers that have said that they leave
  ends @21 :List(ServerEnd); # requests under which servers ended, and those cleared
  holdsQuotas @22 :Bool;     # whether the sender takes part in the quotas of accounts
  zoneView @23 :ZoneView;    # in a full summary: the instances of the sender's zone
  recentlyStarted @24 :Bool; # whether the sender is too new to have granted tokens before
  storeEpoch @25 :UInt64;    # epoch of the store versions; 0 if the store names none
  routesRevision @26 :UInt64; # version of the routes in force, as their operator set it
}

# A Report without its pointers from `silent` on. As the order of the fields is the same,
# it is read as a Report whose further fields are unset.
struct ShortReport {
  sender @0 :Text;
  zone @1 :Text;
  incarnation @2 :UInt64;
  sequence @3 :UInt32;
  callers @4 :Text;
  control @5 :Text;
  serving @6 :Bool;
  leaving @7 :Bool;
  routesVersion @8 :UInt64;
  serversVersion @9 :UInt64;
  readAgeMs @10 :UInt32;
  servers @11 :List(Text);
  wantsReply @12 :Bool;
  summary @13 :Bool;
  partial @14 :Bool;
  capacity @15 :Float32;
  intervalMs @16 :UInt16;
  numbers @17 :List(UInt32);
  holdsQuotas @18 :Bool;
  recentlyStarted @19 :Bool;
  storeEpoch @20 :UInt64;
  routesRevision @21 :UInt64;
}

struct ZoneView {
  active @0 :List(UInt64);   # hashes of the names of those that may own quotas
  live @1 :UInt16;           # number of those in contact with the sender
  known @2 :UInt16;          # number of those that have not left on purpose
  # The active instances themselves; in some summaries only, because they are long.
  records @3 :List(Instance);
}

struct ServerEnd {
  digest @0 :UInt64;         # of the content of the request
  server @1 :Text;           # empty if an answer or an operator cleared the digest
  startedAgoMs @2 :UInt32;   # time since the attempt started
  endedAgoMs @3 :UInt32;     # time since it ended
}

struct Departure {
  server @0 :Text;
  startedAtMs @1 :UInt64;    # which incarnation of the server
}

struct RateLimit {
  server @0 :Text;
  rate @1 :Float64;          # requests a second; negative if the server states none now
  ageMs @2 :UInt32;          # time since the answer that stated it
}

# A frame: requests what changed after the given store versions.
struct Fetch {
  sender @0 :Text;
  routesAfter @1 :UInt64;
  serversAfter @2 :UInt64;
  wantsInstances @3 :Bool;   # whether the answer shall list the known instances
  acceptsCompressed @4 :Bool; # whether the answer may be compressed
  storeEpoch @5 :UInt64;     # epoch of the store versions; 0 if the store names none
  # Version of the routes known, as their operator set it; 0 without any. With it,
  # routesAfter is not needed.
  routesRevision @6 :UInt64;
}

# A frame: the answer to a Fetch.
struct Update {
  routesVersion @0 :UInt64;
  routes @1 :Data;           # as the platform encodes them; empty if not newer
  serversVersion @2 :UInt64;
  rows @3 :List(Row);
  instances @4 :List(Instance); # empty if not wanted
  completeVersion @5 :UInt64; # version as of which the rows are the whole list, or 0
  compressed @6 :Data;       # if not empty, the whole Update in zlib format
  storeEpoch @7 :UInt64;     # epoch of all store versions; 0 if the store names none
}

struct Row {
  key @0 :Text;
  version @1 :UInt64;        # 0 if the entry was not read in the epoch of the Update
  removed @2 :Bool;
  text @3 :Data;             # of a removed entry, the state before
  # How long the server of a removed entry stays in use, because the entry may have
  # expired in an outage of the store.
  keepMs @4 :UInt32;
}

struct Instance {
  name @0 :Text;
  zone @1 :Text;
  callers @2 :Text;
  control @3 :Text;
}
