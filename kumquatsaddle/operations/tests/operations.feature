Feature: Operations run at most once

  Scenario: The ledger runs an operation once and answers repeats from its record
    # Guards against a second run when a caller repeats an id, in any interleaving.
    Then repeats in any order run each operation at most once with equal answers

  Scenario: A refused operation never runs
    # Guards against NOT_RUN being said of an id that runs later.
    Then an operation that was refused is never started afterwards

  Scenario: An operation past its validity and off the record is unknown
    # Guards against a second run once the record of the first is forgotten.
    Then after any passage of time a known id never runs again

  Scenario: A cancelled caller does not cancel its operation
    # Guards against an operation that is cut in the middle by its caller.
    Then the operation of a cancelled caller ends and is on record

  Scenario: Only the issuer verifies an id
    # Guards against forged ids and ids of another incarnation.
    Then any change to an issued id is rejected

  Scenario: A key is claimed by one operation at a time through any table faults
    # Guards against two operations under one Idempotency-Key when replies are lost,
    # writes take effect late, or the table is away.
    Then claims by several instances under random faults never run a key twice
