Feature: The budget of repeats holds over all instances

  Scenario: No window of any fleet has more repeats than the terms allow
    # Guards against instances that each keep a budget and together exceed it.
    Then repeats of any instances in any window stay within the terms of the fleet
