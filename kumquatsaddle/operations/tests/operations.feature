Feature: Operations run at most once

  Scenario: The ledger runs an operation once and answers repeats from its record
    # Guards against a second run when a caller repeats an id, in any interleaving.
    Then repeats in any order run each operation at most once with equal answers

  Scenario: A refused operation never runs
    # Guards against the answer NOT_RUN for an id that runs later.
    Then an operation that was refused is never started afterwards

  Scenario: An operation past its validity and off the record is unknown
    # Guards against a second run after the record of the first has been removed.
    Then an id that has run never runs again after any sequence of pauses

  Scenario: A cancelled caller does not cancel its operation
    # Guards against an operation that is interrupted when its caller is cancelled.
    Then the operation of a cancelled caller completes and is on record

  Scenario: Only the issuer verifies an id
    # Guards against forged ids and ids of another incarnation.
    Then an issued id with any one character changed is rejected

  Scenario: A key is claimed by one operation at a time through any table faults
    # Guards against two operations under one Idempotency-Key when replies are lost,
    # writes take effect late, or the table is unavailable.
    Then claims of a key by several instances under random faults run it at most once
