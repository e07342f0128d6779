Feature: Processes that are killed and paused

  Scenario Outline: <signal> of instances in the middle of their work, seed <seed>
    # Guards against a second run, a false "not run" and an answer to another request
    # when a process is killed, or paused and resumed, during a dispatch.
    Given a fleet of 3 processes
    When callers send orders for 6 seconds while instances get <signal>, seed <seed>
    Then no order ran twice and none answered as not run ran
    And orders were done

    Examples:
      | signal  | seed |
      | SIGKILL | 31   |
      | SIGSTOP | 32   |

  Scenario: A paused instance starts no work that is late
    # Guards against an instance that resumes after a pause and runs requests whose
    # callers have given up, when its groups belong to others.
    Given a fleet of 3 processes
    When orders reach an instance that is paused for longer than their deadline
    Then none of these orders runs after it resumes

  Scenario: A planned stop of one instance cuts off nothing
    # Guards against a stop that aborts requests in flight.
    Given a fleet of 3 processes
    When one instance is told to stop under load
    Then every request in flight got a complete answer and the process exited cleanly

  Scenario: A planned stop of the whole fleet cuts off nothing
    # Guards against instances that exit while others still forward requests to them.
    Given a fleet of 3 processes
    When all instances are told to stop under load
    Then every request in flight got a complete answer and the processes exited cleanly

  Scenario: The check finds an end that is no graceful shutdown
    # Verifies that the check above detects a process that exits at once.
    Given a fleet of 3 processes
    When one instance is killed under load
    Then the check finds requests that were aborted
