Feature: Limits of client accounts

  Scenario: The sum over the nodes stays within 125 percent while the primary is alive
    # Guards against a limit that grows with the number of instances that enforce it.
    Then two instances admit at most 125 percent of the limit for any arrivals

  Scenario: The sum stays within one more burst after the primary is lost
    # Guards against an instance that takes over the limit and gets tokens at the full
    # rate for the time before.
    Then after the primary is lost at most the limit and one burst are admitted

  Scenario: An account that keeps to its limit is never refused
    # Guards against buckets that lose tokens by rounding or by a change of the share.
    Then requests at the rate of the limit are all admitted

  Scenario: Buckets are bounded
    # Guards against memory that grows with the number of accounts.
    Then 10000 accounts leave at most 4096 buckets
