Feature: Ejections stay within the tokens of each group

  Scenario: Any order of events leaves a group its size minus its tokens
    # Guards against ejections beyond the tokens that draining or warming servers, changes
    # of the list or a higher floor leave.
    Then no order of events makes a pool of ServicePool eject beyond its tokens

  Scenario Outline: The property finds the faults of simpler rules
    # Guards against a property that holds for any rule of ejection.
    Then some order of events makes a pool of <rule> eject beyond its tokens

    Examples:
      | rule           |
      | CountingPool   |
      | NeverReturning |
      | IgnoresDrained |

  Scenario: All homes of a service together keep it at its floor
    # Guards against homes that each keep their limits but exceed them in sum, and
    # against two instances that both act as the home of one group.
    Then no order of events makes homes of ServicePool leave a service below its floor

  Scenario Outline: The property over all homes finds the faults of simpler rules
    # Guards against a property over homes that holds for any rule of ejection.
    Then some order of events makes homes of <rule> leave a service below its floor

    Examples:
      | rule          |
      | CountingPool  |
      | ServiceTokens |
