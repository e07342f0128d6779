Feature: Processes that are killed and paused

  Scenario Outline: <signal> of instances in the middle of their work, seed <seed>
    # Guards against a second run, a false "not run" and a foreign answer when a
    # process ends, or is paused and goes on, between any two steps of a dispatch.
    Given a fleet of 3 processes
    When callers send orders for 6 seconds while instances get <signal>, seed <seed>
    Then no order ran twice and none ran that was refused
    And orders were done

    Examples:
      | signal  | seed |
      | SIGKILL | 31   |
      | SIGSTOP | 32   |

  Scenario: A paused instance starts no work that is late
    # Guards against an instance that goes on after a pause and runs what its callers
    # have given up, when others hold its groups.
    Given a fleet of 3 processes
    When orders reach an instance that is paused for longer than their deadline
    Then none of these orders runs after it goes on

  Scenario: A planned stop of one instance cuts off nothing
    # Guards against requests in flight that a stop breaks.
    Given a fleet of 3 processes
    When one instance is told to stop under load
    Then every request in flight got a whole answer and the process ended well

  Scenario: A planned stop of the whole fleet cuts off nothing
    # Guards against instances that go while others still need their servers.
    Given a fleet of 3 processes
    When all instances are told to stop under load
    Then every request in flight got a whole answer and the processes ended well

  Scenario: The check finds an end that is no graceful shutdown
    # Shows that the check above fails for the naive variant that just ends.
    Given a fleet of 3 processes
    When one instance is killed under load
    Then the check finds requests that were cut off
