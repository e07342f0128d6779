Feature: Following the store

  Scenario: An instance alone watches the store
    # Guards against an instance that waits for peers that do not exist.
    Given a follower without peers
    When 3 seconds pass
    Then it has the routes and the servers
    And it has called the store in the last second

  Scenario: An instance with a watching peer does not call the store
    # Guards against store calls by every instance, since each call has a cost.
    Given a follower with a peer that reads the store
    When 6 seconds pass
    Then it has not called the store in the last 3 seconds

  Scenario: A silent reader is replaced before a change is late
    # Guards against a drain that is missed because the reader of the zone has failed.
    Given a follower with a peer that reads the store
    When 6 seconds pass
    And the peer becomes silent and a server drains
    Then the follower knows of the drain within 2 seconds

  Scenario: Lost history is read anew
    # Guards against a follower that retries a watch from a version whose history the
    # store no longer holds.
    Given a follower without peers
    When 3 seconds pass
    And the store loses its history and a server drains
    Then the follower knows of the drain within 2 seconds

  Scenario: A stale read after the loss of history hides no change
    # Guards against old rows from a lagging replica that are returned with the newest
    # version.
    Given a follower without peers
    When 3 seconds pass
    And the store loses its history, reads are stale and a server drains
    Then the follower knows of the drain within 2 seconds

  Scenario: A version that is not newer or not valid is refused
    # Guards against a configuration that reverts to an older version or is invalid.
    Given a follower without peers
    When 3 seconds pass
    And an older version and a broken one are published
    Then the follower keeps the version that it had

  Scenario: Versions from the store and from peers never go back
    # Guards against late updates that restore an older configuration or revert a drain.
    Then any order of versions from the store and from peers leaves the newest in force

  Scenario: Only who reads the store tells of its changes
    # Guards against a change that each instance of a zone reports to all others: 1,100
    # datagrams and as many fetches for one drain in a zone of 34.
    Given a follower without peers
    Then it reports a change read from the store, but none fetched from a peer

  Scenario: Instances are told only to those that look for them
    # Guards against updates that list 128 instances for each change of a server, which
    # takes 23 ms at each instance that fetches one.
    Given a follower without peers
    Then its update lists the instances only if the fetch asks for them

  Scenario: A server that left while an instance was cut off does not stay in its list
    # Guards against a server that is used for good after it has left: the instance
    # missed its removal, and the peers that started since never knew the server.
    Then a list from a peer that started later removes the server that left
    And a server that may only have lapsed is kept while the store does not answer

  Scenario: A removal that a peer has read from the store is final
    # Guards against a server that has left and gets requests from an instance that the
    # store refuses, for as long as it does.
    Then a server that a peer reports as removed is dropped although the store is away

  Scenario: What a peer knows is fetched once
    # Guards against an instance that fetches the whole list at each report of a peer
    # that started later and has therefore read newer heartbeats of the same servers.
    Then a fetch of unchanged servers leaves nothing newer to fetch

  Scenario: New routes that no peer can send are read from the store
    # Guards against an instance that uses old routes for as long as its fetches fail.
    Given a follower with a peer that reads the store
    When 2 seconds pass
    And the routes change and the peer reports them but answers no fetch
    Then the new routes are in force after one failed fetch and one call
