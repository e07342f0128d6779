Feature: Ejections stay within the tokens of each group

  Scenario: Any order of events leaves a group its size minus its tokens
    # Guards against ejections that take capacity which draining or cold servers,
    # list changes or a higher floor have used up already.
    Then no order of events makes a pool of ServicePool eject beyond its tokens

  Scenario Outline: The property finds the faults of simpler rules
    # Guards against a property that any rule would pass.
    Then some order of events makes a pool of <rule> eject beyond its tokens

    Examples:
      | rule           |
      | CountingPool   |
      | NeverReturning |
      | IgnoresDrained |

  Scenario: All homes of a service together keep it at its floor
    # Guards against homes that each stay within limits but not in sum, and against
    # two nodes that both believe they are home of one group.
    Then no order of events makes homes of ServicePool leave a service below its floor

  Scenario Outline: The property over all homes finds the faults of simpler rules
    # Guards against a property over homes that any rule would pass.
    Then some order of events makes homes of <rule> leave a service below its floor

    Examples:
      | rule          |
      | CountingPool  |
      | ServiceTokens |
