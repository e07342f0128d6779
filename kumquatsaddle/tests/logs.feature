Feature: Log lines and metrics

  Scenario: No value breaks a line or forges a field
    # Guards against log lines that an outsider writes through a header or a name.
    Then any fields make one line that reads back as the same fields

  Scenario: Secrets stay out of the log
    # Guards against keys and tokens in log collectors.
    Then values of secret fields and bytes are not written

  Scenario: A value that cannot be described is still logged
    # Guards against a log call that fails in place of the error it reports.
    Then a value with a failing str is named by its error

  Scenario: The level changes while the process runs
    # Guards against an incident that cannot be looked at without a restart.
    Then a new level applies to the next event

  Scenario: All counters and histograms exist from the start
    # Guards against alerts that wait for a first event.
    Then new metrics show every reason, rank and limit

  Scenario: Labels neither break the format nor grow without bound
    # Guards against input from outside in labels.
    Then any label value is one valid line and label sets are bounded

  Scenario: A full pipe never holds the process up
    # Guards against an event loop that waits for the reader of its log.
    Given a bounded sink on a pipe that nobody reads
    When 5000 lines are written over 100 seconds
    Then no call has waited and the pipe holds whole lines
    And the dropped lines are counted in a line once the pipe is read

  Scenario: The volume of the log is bounded
    # Guards against a log that grows with a flood.
    Given a bounded sink on a pipe that nobody reads
    When 5000 lines are written over 1 seconds
    Then at most 500 lines are in the pipe
