Feature: Decisions on the memory and descriptors of clients

  Scenario: The connection that is furthest behind is closed first
    # Guards against a budget that closes callers at an ordinary pace for stalled ones.
    Given a memory budget of 1 MB
    When one caller stalls with 400 kB and one sends 400 kB steadily
    Then a newcomer gets 300 kB after the stalled one is closed, and the other stays

  Scenario: Nobody is behind
    # Guards against a newcomer that closes callers which send as fast as it does.
    Given a memory budget of 1 MB
    When two callers send 470 kB each at once
    Then a newcomer does not get 300 kB, and nobody is closed

  Scenario: Small connections have a reserve
    # Guards against crowds of large bodies that lock out ordinary requests.
    Given a memory budget of 1 MB
    When two callers send 470 kB each at once
    Then a newcomer gets 40 kB, and nobody is closed

  Scenario: An address with much memory closes nobody of another one
    # Guards against a crowd of one address that pushes out the callers of others.
    Given a memory budget of 1 MB
    When an address holds 700 kB in stalled connections and another one 200 kB
    Then a newcomer of the first address closes connections of that address only

  Scenario: Memory counts until a connection has ended
    # Guards against memory that is given to two connections at a time.
    Given a memory budget of 1 MB
    When one caller stalls with 900 kB and is closed for another one
    Then its memory is free only after it has ended

  Scenario: Any sequence of charges and ends leaves the budget empty
    # Guards against memory that is counted twice or never released.
    Then after any sequence of charges, closes and ends nothing is counted

  Scenario: Each address keeps its floor of descriptors
    # Guards against a crowd at one address that locks out the readiness check.
    Given a table of 40 descriptors for three servers
    When one server takes as many as it can
    Then each of the others still gets 8

  Scenario: The connection that waits longest gives way
    # Guards against silent connections that lock out new ones.
    Given a table of 40 descriptors for three servers
    When one server takes as many as it can
    Then a later connection takes the place of the first that waits
    And one whose request runs stays
