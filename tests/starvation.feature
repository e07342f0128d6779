Feature: Scenarios on a busy machine

  Scenario: A loop that waits for a core loses no time of its deadlines
    # Guards against scenarios that fail because other processes use the CPU.
    Given a trio loop in a thread
    When the thread gets no CPU time for 0.3 seconds in a deadline of 0.1 seconds
    Then the deadline has not passed

  Scenario: Work and waiting use up a deadline
    # Guards against a clock that stands still, which would hide every late answer.
    Given a trio loop in a thread
    When a task waits for 0.3 seconds in a deadline of 0.1 seconds
    Then the deadline has passed
    When a task computes for 0.3 seconds in a deadline of 0.1 seconds
    Then the deadline has passed
