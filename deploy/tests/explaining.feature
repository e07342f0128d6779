Feature: From the id of a failed request to its cause, by the log alone

  # Each scenario follows one procedure of docs/OPERATIONS.md on the log of an instance.

  Scenario: A request that a server failed
    # Guards against a log line of a failure without its server and the evidence.
    Given the log of an instance is captured
    And a platform with a server and an instance
    When the server fails a request at once
    Then the line of the request has outcome=done status=500
    And its attempts name the server, verdict failed, failure estimate and load
    And a line backend_doubted of that server has observation=failed_fast

  Scenario: A request that no server could take
    # Guards against a refusal whose cause is not in the log.
    Given the log of an instance is captured
    And a platform with a server and an instance
    When the only server is removed and a request comes
    Then the line of the request has outcome=not-run status=503 reason=no_backend
    And its attempts are empty
    And a line backend_listed of that server has state=removed

  Scenario: A request without an answer
    # Guards against a log line of a lost request without the server it was sent to.
    Given the log of an instance is captured
    And a platform with a server and an instance
    When the server leaves a request without an answer
    Then the line of the request has outcome=unknown status=504 reason=answer_late
    And its attempts name the server, verdict late, failure estimate and load

  Scenario: A request before the configuration is known
    # Guards against a refusal that cannot be told from that of an unknown route.
    Given the log of an instance is captured
    And a platform without a configuration and an instance
    When the store fails and a request comes
    Then the request has a line request_refused with reason=not_ready
    And a line store_lost names the table and the error
