Feature: Merge rules of the member table

  Scenario: The order and repetition of news do not matter
    # Guards against tables that stay different after updates in another order.
    Then any order and any repetition of updates give the same table

  Scenario: Merging tables is associative
    # Guards against a result that depends on which tables met first.
    Then merging three tables gives the same whichever two are merged first

  Scenario: The table digest tells whether two tables hold the same members
    # Guards against different tables that are never compared, and equal ones that are.
    Then the digests of two tables are equal exactly when their live members are

  Scenario: Late news does not bring back a dead incarnation
    # Guards against groups whose home is a stopped process.
    Then no update of the same or an earlier revision revives a dead member

  Scenario: A restarted instance replaces its former incarnation
    # Guards against a restarted instance that waits until its predecessor is dead.
    Given a table with an instance that was just declared dead
    When an update of a later incarnation of it arrives
    Then the table holds the later incarnation as alive
    And updates of the earlier incarnation change nothing

  Scenario: An instance joins although the clock of its predecessor was ahead
    # Guards against an instance that cannot join after a restart on another machine.
    Given a joining instance whose predecessor started in the future
    When it sees the record of its predecessor
    Then its own record supersedes that of the predecessor

  Scenario: An instance refutes a suspicion of itself
    # Guards against a live instance that stays SUSPECT until it is declared dead.
    Then any suspicion or death of an instance is superseded by its refutation

  Scenario: Out-of-range members in a message are rejected
    # Guards against a record that makes a later send raise or a datagram too long.
    Then members with a bad state, address, start time or length raise ValueError
