Feature: Quotas of client accounts on the platform

  Scenario: An account that exceeds its quota
    # Guards against quotas that are decoded and not enforced, and refusals that ran.
    Given an instance with a quota of 1 request/s and a burst of 2
    When the account sends 20 requests at the same moment
    Then the backend server gets those that were admitted, 1 to 27 of them
    And the others are answered 429 account_limit with a Retry-After
    And the log and the metrics lead from a request id to the cause "limit"
    And an account without a quota is not limited

  Scenario: Requests that are refused after they were admitted
    # Guards against a quota that is used up by requests that never ran.
    Given an instance with a quota of 1 request/s and a burst of 2
    When 40 requests of the account are admitted and refused for a full queue
    Then none of them is answered 429
