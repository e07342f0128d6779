Feature: Scenarios on a busy machine

  Scenario: A loop that waits for a core loses no time of its deadlines
    # Guards against scenarios that fail since other processes keep the cores busy.
    Given a loop for tests
    When the loop's thread gets no core for 0.3 seconds in a deadline of 0.1 seconds
    Then the deadline has not passed

  Scenario: Work and waiting use up a deadline
    # Guards against a clock that stands still, which would hide each late answer.
    Given a loop for tests
    When a task waits for 0.3 seconds in a deadline of 0.1 seconds
    Then the deadline has passed
    When a task computes for 0.3 seconds in a deadline of 0.1 seconds
    Then the deadline has passed
