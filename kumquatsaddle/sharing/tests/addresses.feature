Feature: Addresses that callers are told

  Scenario: The load of an instance follows its capacity
    # Guards against an instance on a slow link that gets as many requests as one with
    # seven times its capacity.
    Given a zone whose active instances have the capacities 430, 430, 62, 62 and 62
    Then each caller is told the first 2, and a part of the callers each other one

  Scenario: Instances of the same capacity are all told
    # Guards against callers that are sent to fewer instances than before.
    Given a zone whose active instances have the capacities 86, 86, 80, 80 and 86
    Then each caller is told all 4
