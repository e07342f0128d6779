Feature: The list of backend servers

  Scenario: Rows in any order give the newest state
    # Guards against an old row, from a slow reply or replica, that brings back a
    # server which drains or has left.
    Then rows applied in any order and any number of times give the newest of each key

  Scenario: A server that drains is taken over at once
    # Guards against work for a server that is leaving.
    Given a directory with a server
    When its entry says that it drains
    Then the server is listed as draining

  Scenario: A removal while the store works is final
    # Guards against work for a server that has left without draining.
    Given a directory with a server
    When its entry is removed
    Then no server is listed

  Scenario: An entry that lapses around an outage is kept until it had time to return
    # Guards against a list that is emptied by an outage of the store.
    Given a directory with a server
    When the store fails and its entry is removed
    Then the server is still listed
    And it is dropped 2.5 seconds after the store works again

  Scenario: An entry that comes back in time is not dropped
    # Guards against sound servers that are lost after an outage.
    Given a directory with a server
    When the store fails and its entry is removed
    And the entry is written again 1 second after the store works again
    Then the server is listed 10 seconds later

  Scenario: A whole list from an old replica changes nothing
    # Guards against a stale read that undoes changes.
    Given a directory with a server
    When a whole list of an older version without the server is read
    Then the server is still listed
