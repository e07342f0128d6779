Feature: The order of waiting requests

  Scenario: More urgent ranks go first under each policy
    # Guards against a less urgent request that takes a slot from a more urgent one.
    Then for any waiting requests both orders list more urgent ranks first

  Scenario: A queue holds what was added and not removed
    # Guards against requests that are lost, or stay, when their place in the order changes.
    Then for any additions, removals and times the order lists each waiting request once

  Scenario: A request that can make its objective goes before one that cannot
    # Guards against slots spent on late answers while others miss their objective.
    Given a waiting request past its objective and a newer one within it
    Then the order by value begins with the newer one
    And the order by deadline begins with the older one

  Scenario: The usual load of accounts goes before a flood
    # Guards against an account that delays others by sending more than usual.
    Given a waiting request of a flood and a newer late one of another account
    Then the order by value begins with the newer one

  Scenario: Work is estimated by its tail and with bounded memory
    # Guards against requests started when half of them miss the objective.
    Then for any response times the estimate is a quantile of the latest ones
    And a route without enough answers has no estimate
    And routes that are no longer published are forgotten
