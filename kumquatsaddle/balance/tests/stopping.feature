Feature: The balanced dispatcher in a planned stop

  Scenario: An instance that stops starts no request in its last seconds
    # Guards against requests that leave the queue and are cut off by the end of the process.
    Given one server with 6 slots that holds its answers
    When 8 requests are dispatched and the dispatcher stops starting
    Then the 2 that wait are refused as not run and the others are answered
    And a new request is refused at once

  Scenario: An instance that stops starts no request that would outlast the stop
    # Guards against long requests that are started early in a stop and cut off at its end.
    Given one server with 6 slots that holds its answers
    When 7 requests of 2 seconds are dispatched and a stop in 2 seconds is planned
    Then the one that waits is refused as stopping when a slot becomes free
    And a new request is refused as stopping and a short one is served
