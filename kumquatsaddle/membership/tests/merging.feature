Feature: Merge rules of the member table

  Scenario: The order and repetition of news do not matter
    # Guards against tables that differ for good because news came in another order.
    Then any order and any repetition of news give the same table

  Scenario: Merging tables is associative
    # Guards against a result that depends on which tables met first.
    Then merging three tables gives the same whichever two are merged first

  Scenario: The table digest tells whether two tables hold the same members
    # Guards against different tables that are never compared, and equal ones that are.
    Then the digests of two tables are equal exactly when their live members are

  Scenario: Late news does not bring back a dead incarnation
    # Guards against groups whose home is a process that is gone.
    Then no news of the same revision or an earlier one revives a dead member

  Scenario: A restarted instance replaces its former incarnation
    # Guards against a restarted instance that waits for the death of its predecessor.
    Given a table with an instance that was just declared dead
    When news of a later incarnation of it arrives
    Then the table holds the later incarnation as alive
    And news of the earlier incarnation changes nothing

  Scenario: An instance joins although the clock of its predecessor was ahead
    # Guards against an instance that stays out after its restart on another machine.
    Given a joining instance whose predecessor started in the future
    When it sees the record of its predecessor
    Then its own record supersedes that of the predecessor

  Scenario: An instance refutes a suspicion of itself
    # Guards against a live instance that stays SUSPECT until it is declared dead.
    Then any doubt of an instance about itself is superseded by its answer

  Scenario: Out-of-range members in a message are rejected
    # Guards against a record that makes a later send raise or a datagram too long.
    Then members with a bad state, address, start time or length raise ValueError
