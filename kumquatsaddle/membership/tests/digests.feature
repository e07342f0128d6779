Feature: Digests between the homes of a service

  Scenario: At most 3 homes are told, each of its own services
    # Guards against traffic that grows with the number of homes.
    Then any choice has at most 3 other homes and only services they share

  Scenario: All homes are told in turn
    # Guards against a home that never learns the median of its peers.
    Then within 30 rounds each of 12 other homes is chosen

  Scenario: Digests survive a message
    # Guards against units that differ between the sender and the receiver.
    Then any digests survive encoding in a message, which stays below 1400 bytes

  Scenario: Malformed digests are rejected
    # Guards against a median of NaN or infinity in the slow limit of all servers.
    Then digests with bad latencies, long names or too many services are rejected

  Scenario: The book keeps recent digests only, within a bound
    # Guards against digests of a stopped home that stay in use, and unbounded memory.
    Then digests older than 10 s are dropped and at most 8192 are kept

  Scenario: Digests reach the other homes
    # Guards against digests that are sent but not recorded.
    Then a digest sent by gossip is recorded by its receiver under the sender's name
