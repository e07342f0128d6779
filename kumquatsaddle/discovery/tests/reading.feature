Feature: When the store is read

  Scenario Outline: An answer counts as old as it may be: <answer>
    # Guards against a reader over a slow path whose late answers pass for new ones, so
    # that no other instance reads in its place.
    Then <answer> counts as <age> s old

    Examples:
      | answer                                                     | age |
      | an answer at the end of its wait                           | 0.0 |
      | an answer 0.3 s after the end of its wait                  | 0.3 |
      | a change in a wait, when the last one came 0.3 s late      | 0.3 |
      | an answer to a call of 0.2 s without a wait                | 0.2 |

  Scenario: The watches of both tables end together whatever changed before
    # Guards against two reads in turn that are each reported, twice the datagrams.
    Then after any early answers both tables are read within 1.2 s, and at the same time

  Scenario: The last turn comes as soon in a large zone as in a small one
    # Guards against a wait for each instance that was lost with the reader.
    Then no instance of any zone waits more than 0.2 s for the others
    And a reader that knows what is not known here delays nothing
