Feature: A request on its way to the homes of its service

  Scenario Outline: No home replies to <kind> request
    # Guards against `not-run` for a request that a home may have run, because the link
    # failed or no reply came by the deadline.
    Given an instance and 2 homes that receive requests and do not reply
    When it gets <kind> request
    Then the answer is unknown, answer_lost
    And <homes> of the homes received it

    Examples:
      | kind            | homes |
      | a repeatable    | 2     |
      | an unrepeatable    | 1     |

  Scenario: The deadline passes while a home does not reply
    # Guards against `not-run` for a request that was forwarded before its deadline.
    Given an instance and 2 homes that receive requests and do not reply
    When it gets a repeatable request whose deadline passes at the first home
    Then the answer is unknown, answer_lost

  Scenario: Homes that cannot be reached
    # Guards against `unknown` for a request that no home received.
    Given an instance and 2 homes that cannot be reached
    When it gets a repeatable request
    Then the answer is not-run, no_backend

  Scenario: The primary of an account does not reply
    # Guards against `not-run` for a request that the primary may have run, when this
    # instance refuses it afterwards.
    Given an instance and 2 homes that receive requests and do not reply
    When a repeatable request beyond the limit goes to the primary first
    Then the answer is unknown, answer_lost
    And 1 of the homes received it

  Scenario: The primary of an account cannot be reached
    # Guards against `unknown` for a request that no home received.
    Given an instance and 2 homes that cannot be reached
    When a repeatable request beyond the limit goes to the primary first
    Then the answer is not-run, account_limit
