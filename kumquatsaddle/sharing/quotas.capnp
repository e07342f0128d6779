@0xb7c51f0e9a3d2468;

# A datagram between an instance with requests of client accounts and the owner of their
# quotas. It follows 8 bytes that distinguish it from a Report.
struct QuotaMessage {
  sender @0 :Text;           # instance id
  incarnation @1 :UInt64;    # of the instance that asks, in an answer as well
  asks @2 :List(QuotaAsk);
  answers @3 :List(QuotaAnswer);
}

struct QuotaAsk {
  number @0 :UInt32;         # grows with each ask of an incarnation; a repeat keeps it
  account @1 :Text;
  needed @2 :UInt16;         # requests that wait
  advance @3 :UInt16;        # tokens for requests to come
  returned @4 :UInt16;       # earlier tokens whose requests have not run
}

struct QuotaAnswer {
  number @0 :UInt32;         # of the ask
  granted @1 :UInt16;
  refusal @2 :UInt8;         # 0 if all needed tokens were granted
  retryAfterMs @3 :UInt32;
}
