Feature: A request on its way to the homes of its service

  Scenario Outline: No home replies to <kind> request
    # Guards against `not-run` for work that a home has started: the link was lost, or
    # no reply came by the deadline.
    Given an instance and 2 homes that take requests and do not reply
    When it gets <kind> request
    Then the answer is unknown, answer_lost
    And <homes> of the homes got it

    Examples:
      | kind            | homes |
      | a repeatable    | 2     |
      | an unrepeatable    | 1     |

  Scenario: The deadline passes while a home does not reply
    # Guards against a refusal for the deadline of a request that was handed over.
    Given an instance and 2 homes that take requests and do not reply
    When it gets a repeatable request whose deadline passes at the first home
    Then the answer is unknown, answer_lost

  Scenario: Homes that cannot be reached
    # Guards against `unknown` for a request that nobody got.
    Given an instance and 2 homes that cannot be reached
    When it gets a repeatable request
    Then the answer is not-run, no_backend

  Scenario: The primary of an account does not reply
    # Guards against `not-run` for work that the primary has started, when this instance
    # refuses it afterwards.
    Given an instance and 2 homes that take requests and do not reply
    When a repeatable request beyond the limit goes to the primary first
    Then the answer is unknown, answer_lost
    And 1 of the homes got it

  Scenario: The primary of an account cannot be reached
    # Guards against `unknown` for a request that nobody got.
    Given an instance and 2 homes that cannot be reached
    When a repeatable request beyond the limit goes to the primary first
    Then the answer is not-run, account_limit
