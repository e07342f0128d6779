Feature: Home groups, homes and the address answer

  Scenario: Ejection tokens never exceed the allowance of the service
    # Guards against homes whose ejections together leave less than the floor in use.
    Then the tokens of all groups stay within the allowance for any servers and floor

  Scenario: Every backend server is in exactly one group
    # Guards against a server that has no home or two homes.
    Then the groups of any list of servers are a partition of the list

  Scenario: One instance that leaves moves few homes
    # Guards against moving most homes when one of 520 instances leaves.
    Given 110 services with 4300 backend servers and 520 instances in 7 zones
    When each of 40 instances leaves in turn
    Then on average at most 2 times its share of the groups change their home
    And no instance is loaded above 1.25 times the mean and one group

  Scenario: The accounts of a service spread over its homes by weight
    # Guards against an instance that is the primary of too many accounts.
    Then 20000 accounts spread over weighted homes within 10 percent

  Scenario: A zone without instances is served from its own region
    # Guards against homes that a network partition between regions makes unreachable.
    Then a zone without instances is served from its region only

  Scenario: A planner derives what a fresh derivation would
    # Guards against a placement that depends on the earlier inputs of an instance, so
    # that two instances would derive different homes.
    Then after any sequence of inputs a planner derives the same as a new one
