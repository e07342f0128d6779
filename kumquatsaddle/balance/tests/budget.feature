Feature: The budget of repeats holds over all instances

  Scenario: No window of any fleet has more repeats than the terms allow
    # Guards against instances whose budgets together exceed that of the fleet.
    Then retries of any instances in any window stay within the limits of the fleet

  Scenario: Instances that become active one after the other share one allowance
    # Guards against a rolling restart in which each instance that becomes active uses
    # its part of the same window.
    Then the allowance holds however often the active instances change

  Scenario: Active instances have most of the allowance
    # Guards against retries that are denied while most of the allowance belongs to
    # instances that get no request.
    Then an instance that stays active may use 7 of 20 parts of 196

  Scenario: The counts of a budget do not grow with its age
    # Guards against a memory leak: an entry for each request ever sent.
    Then a budget keeps no request that is older than its window
