Feature: The budget of repeats holds over all instances

  Scenario: No window of any fleet has more repeats than the terms allow
    # Guards against instances that each keep a budget and together exceed it.
    Then repeats of any instances in any window stay within the terms of the fleet

  Scenario: The counts of a budget do not grow with its age
    # Guards against memory that is kept for each request that was ever sent.
    Then a budget remembers no request that is older than its window
