Feature: Answers that instances pass on to each other

  Scenario: A refusal keeps its time to come back over a hop
    # Guards against callers that are not told when to come back because another instance refused.
    Then any answer is the same after a hop between instances
