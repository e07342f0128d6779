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

  Scenario Outline: An instance that <trouble> takes no outage from that
    # Guards against removed servers that a returned instance keeps, and lets its peers
    # keep, because it knew of no answer of the store while it heard of nobody.
    Given a fleet of 4 followers that knows 3 servers
    When the first instance <trouble> and a server leaves right after that
    Then all others use only the servers that are left 1.5 s after the removal

    Examples:
      | trouble                  |
      | is restarted             |
      | is cut off from all      |

  Scenario Outline: After 6 s without an answer, <knowledge>
    # Guards against the same, and against entries that are dropped after an outage
    # because each instance blames its own path.
    Then an instance that has heard <heard> meanwhile takes that for <cause>

    Examples:
      | knowledge                    | heard                            | cause           |
      | an instance alone must guess | no other instance ever           | an outage       |
      | silence proves nothing       | nobody                           | its own failure |
      | all others were without, too | that the others got none either  | an outage       |
      | one other was answered       | that one other got answers       | its own failure |
      | one report proves nothing    | old reports and then a new one   | its own failure |
