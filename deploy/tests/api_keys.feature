Feature: API keys of callers

  Scenario: A request without exactly one valid key is refused
    # Guards against requests of callers that nobody has authorized, and against a 401
    # that does not tell the caller which scheme to use.
    Given a platform with client accounts and an instance
    Then requests with no, malformed, several and unknown keys are refused with 401
    And no server gets any of them, and each problem is counted and logged

  Scenario: The server gets the account and never the key
    # Guards against a caller that passes for another account, and against keys that
    # leak to backend servers.
    Given a platform with client accounts and an instance
    Then the server gets the account of the key and not the header of the caller
    And a public route needs no key, passes none on and names no account

  Scenario: A key leaves no trace in what an instance writes
    # Guards against keys in log lines, metrics and messages between instances.
    Given a platform with client accounts and an instance
    When requests with valid, unknown and revoked keys are answered
    Then no key is in the log, the metrics, a report or an update of a peer

  Scenario: A revoked key is refused on a connection that is kept
    # Guards against a check only at the first request of a connection.
    Given a platform with client accounts and an instance
    When a connection is used before and after its key is revoked and another is added
    Then the statuses are 200, 401, 200, and the other key was unknown before

  Scenario: One request of a pipeline has a revoked key
    # Guards against a pipeline that is judged by its first request.
    Given a platform with client accounts and an instance
    When a key is revoked and a pipeline has requests with it and with another one
    Then the statuses are 200, 401, 200, and the server got two requests

  Scenario: A key is revoked in the middle of a pipeline
    # Guards against requests that are sent although their key was revoked while they
    # waited for the answers before them.
    Given a platform with client accounts and an instance
    When a key is revoked while the first of two orders of a pipeline runs
    Then the statuses are 200, 401, and the server got one request

  Scenario: A key is revoked while the body of its request is read
    # Guards against a check of the head only.
    Given a platform with client accounts and an instance
    When a key is revoked between two halves of a body
    Then the statuses are 401, and the server got no request

  Scenario: A key is revoked while its request waits for a server
    # Guards against a request of the queue that is sent after its key was revoked, and
    # against one that waits although it cannot be served any more.
    Given a platform with client accounts and an instance
    When two requests wait for the only slot and the key of one is revoked
    Then it is refused with 401 before the slot is free, and the other one is served

  Scenario: An instance that is cut off from the store refuses keys
    # Guards against revoked keys that are used at an instance that cannot learn of it.
    Given an instance with client accounts that refuses keys 1500 ms after its last contact
    Then requests are served while the store answers, for longer than that
    When the store answers nothing for longer than that
    Then keys are refused with 503 and a retry-after header, known or not
    And public routes are served
    When the store answers again
    Then a request with a key is served

  Scenario: An instance that is cut off from the store uses the keys that it knows
    # Guards against refusals where the deployment has not asked for them.
    Given a platform with client accounts and an instance
    When the store answers nothing for longer than that
    Then a request with a key is served

  Scenario: An instance without any version judges no key
    # Guards against 401 or 404 by an instance that knows neither keys nor routes.
    Given a platform without a configuration and an instance
    Then requests with and without keys to any path are refused with 503
