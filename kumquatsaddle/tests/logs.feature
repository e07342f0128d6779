Feature: Log lines and metrics

  Scenario: No value breaks a line or forges a field
    # Guards against log injection through a header or a name.
    Then any fields make one line that reads back as the same fields

  Scenario: Secrets stay out of the log
    # Guards against keys and tokens that reach log collectors.
    Then values of secret fields and bytes are not written

  Scenario: A value that cannot be described is still logged
    # Guards against a log call that raises and so hides the error that it reports.
    Then a value whose str fails is logged as the name of the error

  Scenario: The level changes while the process runs
    # Guards against a restart being needed to get debug output during an incident.
    Then a new level applies to the next event

  Scenario: All counters and histograms exist from the start
    # Guards against alerts that do not work before the first event.
    Then new metrics show every reason, rank and limit

  Scenario: Labels neither break the format nor grow without bound
    # Guards against labels from outside that break the text format or use up memory.
    Then any label value is one valid line and label sets are bounded

  Scenario: A full pipe never holds the process up
    # Guards against an event loop that blocks until the log is read.
    Given a bounded sink on a pipe that nobody reads
    When 5000 lines are written over 100 seconds
    Then no call has blocked and the pipe contains only complete lines
    And a line reports the number of dropped lines once the pipe is read

  Scenario: The volume of the log is bounded
    # Guards against a log whose volume grows with a flood of requests.
    Given a bounded sink on a pipe that nobody reads
    When 5000 lines are written over 1 seconds
    Then at most 500 lines are in the pipe
