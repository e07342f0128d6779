Feature: Following the store

  Scenario: An instance alone watches the store
    # Guards against an instance that waits for peers which do not exist.
    Given a follower without peers
    When 3 seconds pass
    Then it has the routes and the servers
    And it has called the store in the last second

  Scenario: An instance with a watching peer does not call the store
    # Guards against calls of every instance, which are priced.
    Given a follower with a peer that reads the store
    When 6 seconds pass
    Then it has not called the store in the last 3 seconds

  Scenario: A silent reader is replaced before a change is late
    # Guards against a drain that is missed because the reader of the zone died.
    Given a follower with a peer that reads the store
    When 6 seconds pass
    And the peer falls silent and a server drains
    Then the follower knows of the drain within 2 seconds

  Scenario: Lost history is read anew
    # Guards against a follower that repeats a watch whose history is gone.
    Given a follower without peers
    When 3 seconds pass
    And the store loses its history and a server drains
    Then the follower knows of the drain within 2 seconds

  Scenario: A stale read after the loss of history hides no change
    # Guards against rows of a replica that lags, read with the newest version (CONFIG
    # broken on baytsughra-gw scale-1).
    Given a follower without peers
    When 3 seconds pass
    And the store loses its history, reads are stale and a server drains
    Then the follower knows of the drain within 2 seconds

  Scenario: A version that is not newer or not valid is refused
    # Guards against a configuration that goes back or takes requests nowhere.
    Given a follower without peers
    When 3 seconds pass
    And an older version and a broken one are published
    Then the follower keeps the version that it had

  Scenario: Versions from the store and from peers never go back
    # Guards against an older configuration or an undone drain, whatever comes late.
    Then any order of versions from the store and from peers leaves the newest in force

  Scenario: Only who reads the store tells of its changes
    # Guards against a change that each instance of a zone tells all others: 1,100
    # datagrams and as many fetches for one drain in a zone of 34.
    Given a follower without peers
    Then it reports a change that the store told, and none that a peer told

  Scenario: Instances are told only to those that look for them
    # Guards against updates that repeat 128 instances for each change of a server, 23 ms
    # at each instance that fetches one.
    Given a follower without peers
    Then its update names the instances only to a fetch that wants them
