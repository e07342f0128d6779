Feature: kumquatsaddle-node

  Scenario: An instance that cannot start
    # Guards against a traceback that hides which setting is wrong.
    Then each setting that prevents the start is named in one line
    And an unknown log level is named in one line

  Scenario: An idle instance is stopped
    # Guards against a planned stop that a process supervisor takes for a failure.
    Then SIGTERM ends an idle instance with exit code 0

  Scenario: An instance that cannot begin to work is stopped
    # Guards against a process that ignores SIGTERM while the platform is unreachable.
    Then SIGTERM ends an instance that waits for its platform with exit code 0
