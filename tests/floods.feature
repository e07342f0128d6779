Feature: Service by rank while one kind of work floods

  Scenario Outline: A flood of <rank> work leaves the other ranks their service
    # Guards against a flood, of the least or the most urgent rank, that occupies the
    # slots of the other ranks.
    Given a fleet of 2 instances with 3 slow servers
    When callers flood the fleet with <rank> work for 6 seconds
    Then the other ranks get complete answers to nearly all of their requests
    And hardly any request of the flood starts too late to be answered

    Examples:
      | rank   |
      | bulk   |
      | urgent |

  Scenario: A flood of bulk work and then one of urgent work
    # Guards against effects of the first flood on the second: full queues, credit and
    # estimates of a slow service.
    Given a fleet of 2 instances with 3 slow servers
    When callers flood the fleet with bulk work for 4 seconds
    Then the other ranks get complete answers to nearly all of their requests
    When callers flood the fleet with urgent work for 4 seconds
    Then the other ranks get complete answers to nearly all of their requests

  Scenario: The check finds a queue that serves first in, first out
    # Verifies that the check above detects queues without ranks.
    Given queues that serve first in, first out
    And a fleet of 2 instances with 3 slow servers
    When callers flood the fleet with bulk work for 6 seconds
    Then the check finds ranks that are starved
