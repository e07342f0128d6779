Feature: The list of backend servers

  Scenario: Rows in any order give the newest state
    # Guards against an old row, from a slow reply or a stale replica, that makes a
    # server usable again which is draining or has left.
    Then rows applied in any order and any number of times give the newest of each key

  Scenario: A server that drains is taken over at once
    # Guards against requests to a server that is shutting down.
    Given a directory with a server
    When its entry is marked as draining
    Then the server is listed as draining

  Scenario: A removal while the store works is final
    # Guards against requests to a server that has left without draining.
    Given a directory with a server
    When its entry is removed
    Then no server is listed

  Scenario: An entry that lapses around an outage is kept until it had time to return
    # Guards against a list of servers that an outage of the store empties.
    Given a directory with a server
    When the store is away for 5 seconds and its entry is removed
    Then the server is still listed
    And it is dropped 2.5 seconds after the store works again

  Scenario: An entry that comes back in time is not dropped
    # Guards against healthy servers that are dropped after an outage.
    Given a directory with a server
    When the store is away for 5 seconds and its entry is removed
    And the entry is written again 1 second after the store works again
    Then the server is listed 10 seconds later

  Scenario: A removal after a single failed call is final
    # Guards against requests to a server that has left, because the path of this
    # instance to the store failed for a moment.
    Given a directory with a server
    When one call to the store fails and its entry is removed
    Then no server is listed

  Scenario: A whole list from an old replica changes nothing
    # Guards against a stale read that reverts changes.
    Given a directory with a server
    When a complete list of an older version without the server is read
    Then the server is still listed
