Feature: The balanced dispatcher

  Scenario: Unsafe work runs at most once and "not run" is true
    # Guards against a second run of what must not repeat, and against a refusal of
    # work that ran, whatever the servers answer.
    Then under any script of answers no unsafe request runs twice
    And no request that was refused as not run has reached a server that ran it

  Scenario: What may repeat is sent again within its attempts and its budget
    # Guards against repeats beyond the attempts of the route or the budget.
    Then under any script a repeatable request runs on two servers at most
    And a service whose budget is empty repeats nothing

  Scenario: A server that answers for another one is left at once
    # Guards against requests that go on to an address that was given to another server.
    Given servers of which one answers 421
    Then every request is served and the server gets one request only

  Scenario: A request waits for a slot and is served when one is free
    # Guards against refusals while a slot becomes free in time.
    Given one server with 6 slots that holds its answers
    When 8 requests are dispatched
    Then 6 reach it and the others wait
    And all are served after the answers are let go

  Scenario: A request that can no longer be answered in time is refused
    # Guards against work that starts too late, and against a late refusal.
    Given one server with 6 slots that holds its answers
    When 6 requests and one with 0.3 seconds left are dispatched
    Then the last one is refused as not run before its deadline

  Scenario: A caller that leaves frees its slot
    # Guards against slots that leak with callers that leave, waiting or running.
    Given one server with 6 slots that holds its answers
    When 8 requests are dispatched and cancelled
    Then no load and no waiting request is left

  Scenario: A failure with no other server to try is answered at once
    # Guards against an answer that is held back while no server can be asked.
    Given one server that fails
    Then a repeatable request gets the failure within a second

  Scenario: The answer of a server outweighs a later attempt that was lost
    # Guards against an unknown outcome in place of what a server has answered.
    Given two servers of which the first fails and the second closes
    Then a repeatable request gets the failure
