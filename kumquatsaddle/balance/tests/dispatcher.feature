Feature: The balanced dispatcher

  Scenario: Unsafe work runs at most once and "not run" is true
    # Guards against a request that is not idempotent and runs twice, and against one
    # that is refused as not run although it ran, whatever the servers answer.
    Then for any script of answers no non-idempotent request runs twice
    And no request that was refused as not run has reached a server that ran it

  Scenario: A caller gets the answer to its own request
    # Guards against a late second copy of an answer that is taken for the answer to the
    # next request on the connection.
    Then for any script of answers each success is the answer to its own request
    And a second copy of an answer on a reused connection is skipped

  Scenario: What may repeat is sent again within its attempts and its budget
    # Guards against retries beyond the attempts of the route or the retry budget.
    Then for any script of answers an idempotent request runs on two servers at most
    And a service whose retry budget is empty sends no retry

  Scenario: A late copy of a refusal ends no other request
    # Guards against orders reported as not run, or run again, because a server repeats an earlier refusal.
    Then for any repeated refusals an order runs at most once and "not run" is true

  Scenario: A repeatable request relies on a retry only if the budget has room for it
    # Guards against requests lost at a doubtful server because their retry is denied.
    Given a server whose slots are taken and one that failed fast
    Then a repeatable request tries the doubtful server if the budget allows a retry
    And it waits for the other one if the budget allows none

  Scenario: A server that answers for another one is left at once
    # Guards against further requests to an address that now belongs to another server.
    Given servers of which one answers 421
    Then every request is served and the server gets one request only

  Scenario: A request waits for a slot and is served when one is free
    # Guards against a refusal although a slot becomes free before the deadline.
    Given one server with 6 slots that holds its answers
    When 8 requests are dispatched
    Then 6 reach it and the others wait
    And all are served after the answers are released

  Scenario: A request that can no longer be answered in time is refused
    # Guards against a request that is sent too late to be answered in time, and against
    # a refusal after its deadline.
    Given one server with 6 slots that holds its answers
    When 6 requests and one with 0.3 seconds left are dispatched
    Then the last one is refused as not run before its deadline

  Scenario: A caller that leaves frees its slot
    # Guards against slots that stay taken after a waiting or running request is
    # cancelled because its caller disconnects.
    Given one server with 6 slots that holds its answers
    When 8 requests are dispatched and cancelled
    Then no load and no waiting request is left

  Scenario: A failure with no other server to try is answered at once
    # Guards against an answer that is delayed until the deadline although no server is
    # left to try.
    Given one server that fails
    Then an idempotent request gets the failure within a second

  Scenario: The answer of a server outweighs a later attempt that was lost
    # Guards against an unknown outcome in place of the answer of an earlier attempt.
    Given two servers of which the first fails and the second closes
    Then an idempotent request gets the failure
