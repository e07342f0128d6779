Feature: The budget of repeats holds over all instances

  Scenario: No window of any fleet has more repeats than the terms allow
    # Guards against instances whose budgets together exceed that of the fleet.
    Then retries of any instances in any window stay within the limits of the fleet

  Scenario: The counts of a budget do not grow with its age
    # Guards against a memory leak: an entry for each request ever sent.
    Then a budget keeps no request that is older than its window
