Feature: Removed servers around failures of the store

  Scenario Outline: A short loss of one path to the store delays no removal
    # Guards against requests to a server long after its entry was removed: one failed
    # call of the reader passed for an outage of the store, and its peers were told of
    # the removal late or, after a further change of the list, never.
    Given a fleet of <instances> followers that knows 3 servers
    When the reader loses the store for <seconds> s and 2 servers leave meanwhile
    Then all others use only the last server 1.5 s after the removal of each

    Examples:
      | instances | seconds |
      | 4         | 0.2     |
      | 4         | 0.5     |
      | 4         | 1.5     |
      | 4         | 6       |
      | 2         | 0.2     |

  Scenario: An outage of the store empties no list
    # Guards against a fleet that drops servers which could not renew their entries and
    # write them again when the store is back.
    Given a fleet of 4 followers that knows 3 servers
    When the store is away for 6 s and 2 entries expire meanwhile
    Then all use the 3 servers until 2 s after its return
    And the server whose entry is written again in that time stays in use everywhere
    And the other one is dropped everywhere 3 s after its return

  Scenario: An instance that started after an outage keeps what its peers keep
    # Guards against a restarted instance that counts every entry missing as final.
    Given a fleet of 4 followers that knows 3 servers
    When the store is away for 6 s and 2 entries expire meanwhile
    Then an instance that starts at its return gets the 3 servers from a peer
