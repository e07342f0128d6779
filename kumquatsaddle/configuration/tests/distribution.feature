Feature: Distribution of accepted changes

  Scenario: Every instance has an accepted change within 5 seconds
    # Guards against changes that wait for the poll of the table, and against versions
    # that fall after a restart, an outage or a reply from a stale instance.
    Given 40 connected configurations, 10 percent of the messages lost
    When operators commit for 90 seconds while instances restart and the platform fails
    Then no version ever went down and restarted instances started up to date
    And every change was in force within 5 seconds at every connected instance
    And all instances reach the last accepted version

  Scenario: An instance starts while the platform is unavailable
    # Guards against a start without configuration or without backend servers.
    When the platform fails and an instance starts with one stale peer in reach
    Then it starts with the version and the list of its peers

  Scenario: Nobody has a configuration
    # Guards against an instance that becomes ready with an empty configuration.
    Given 3 instances that start while the platform is unavailable
    Then none of them becomes ready before the platform is back

  Scenario: A peer that is far behind gets a snapshot
    # Guards against gaps when a peer lacks more changes than are kept.
    Given an instance with 450 changes
    Then a peer behind by any number of changes reaches its version in one fetch

  Scenario: Lost, damaged and stale snapshots are harmless
    # Guards against a start from a half-written or an old snapshot.
    Given an instance with 450 changes
    Then a starting instance reaches the same entities whatever happened to snapshots

  Scenario: An older list of backend servers does not replace a newer one
    # Guards against removed servers that return with an old list from a peer.
    Then of lists from the platform and from peers the latest read is in force

  Scenario: A log row that is no change stops the log but not the list
    # Guards against an invalid row of the log that prevents all reads of the platform.
    Then after an invalid row the list of servers is still read and peers are served

  Scenario: A stale reply of a peer
    # Guards against a version that falls when a peer sends an old snapshot.
    Given an instance with 450 changes
    Then a reply with an old snapshot and old changes leaves it as it was

  Scenario: A starting instance knows of a higher version that it cannot fetch
    # Guards against a start with a configuration older than a version known to exist.
    When the platform fails and an instance starts that has heard of version 2
    Then it becomes ready only when version 2 can be fetched

  Scenario: A peer that is itself starting
    # Guards against a start from a peer that has read a list but no configuration.
    Then a reply of a peer that is not ready does not make an instance ready

  Scenario: A snapshot with another version in its head
    # Guards against a configuration that is loaded under a version other than its own.
    Then a snapshot whose head was changed is refused by its digest

  Scenario: A long log without any snapshot
    # Guards against a start that reads only the first page or holds the whole log.
    Then an instance starts from 1700 rows of the table

  Scenario: A changing list of backend servers and drains
    # Guards against a list that is read once and never again.
    Then a server that leaves the list is gone after the next reads of the platform
