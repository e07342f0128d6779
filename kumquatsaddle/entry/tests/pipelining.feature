Feature: Requests that callers send before earlier ones are answered

  Scenario: Idempotent requests of one connection run at the same time
    # Guards against a slow request that holds up the work of all requests behind it.
    Then a slow first request delays only the answers of those behind it
    And no more than 8 requests of a connection run at the same time
    And large answers that wait for a slow one hold back further requests

  Scenario: A request that is not idempotent runs alone
    # Guards against an order that overtakes an earlier request of its connection, and
    # against a lookup that does not see the order before it.
    Then a request that is not idempotent starts after all earlier answers
    And a request behind one that is not idempotent starts after its answer

  Scenario: Requests behind a closing answer are never started
    # Guards against a request that runs although its caller takes it for unread and
    # sends it again.
    Then at any order of a stop and of requests, exactly those answered were started
    And nothing behind a request with Connection: close is started
    And nothing behind a malformed request is started, and earlier ones are answered

  Scenario: A caller that goes away cancels all of its requests
    # Guards against work for callers that have gone.
    Then all requests of a connection are cancelled when its caller goes away

  Scenario: The deadline counts from the arrival of a request
    # Guards against a request that runs after its deadline because it waited behind
    # others of its connection.
    Then the time of arrival of a request that waited is that of its last byte
    And bytes that keep coming do not move the arrival of those before

  Scenario: Continue is sent in order
    # Guards against an interim response that is read as part of an earlier answer.
    Then 100 Continue is sent after the answers to all earlier requests

  Scenario: Timeouts while requests run
    # Guards against a connection that is closed as idle while an answer is due, and
    # against one that is kept although its caller stopped in the middle of a request.
    Then a connection is not idle while a request runs
    And a head that stays incomplete is refused after the earlier answers
