Feature: Dispatch to backend servers

  Scenario: Any sequence of faults gives whole answers of the right request or errors
    # Guards against mixed-up or partial answers, and against an order that is sent
    # again after a server may have run it.
    Given 3 scripted servers on loopback
    Then every result of any script of faults is whole and right, or an error
    And orders reach the servers at most once unless they were refused

  Scenario: No slot leaks under cancellation
    # Guards against slots that are lost when callers go away at any moment.
    Given 2 scripted servers on loopback
    Then all slots are free after callers are cancelled at any moment

  Scenario Outline: A slot granted <order> the cancellation of its waiter is given back
    # Guards against the race between a grant and a caller that goes away in the same
    # step of the event loop; the two orders end in different places of the code.
    Given 1 scripted servers on loopback
    Then a slot granted just <order> its waiter is cancelled goes to the next one

    Examples:
      | order  |
      | before |
      | after  |

  Scenario: Retries stay within the budget
    # Guards against retries that multiply the load of a service that fails.
    Given 2 scripted servers on loopback
    When all servers fail and 200 lookups are sent
    Then 29 or 30 of them are retried and the others get the failed answer
    And each denied retry is counted

  Scenario: A request is not retried where no other server is
    # Guards against a retry that waits for the server that has just failed.
    Given 1 scripted servers on loopback
    When all servers fail and 5 lookups are sent
    Then the servers got 5 requests

  Scenario: A process that was paused sends nothing late
    # Guards against a request that starts after its caller was told that it did not.
    Given 1 scripted servers on loopback
    Then an order whose deadline passes before the first byte is not run

  Scenario: An order on a reused connection that fails is unknown
    # Guards against an order that is sent again because its connection was stale.
    Given 2 scripted servers on loopback
    Then an order whose reused connection closes after the request is unknown

  Scenario: A malformed request or a large answer is not held against the server
    # Guards against callers that can have healthy servers ejected.
    Given 2 scripted servers on loopback
    Then a malformed request is refused without a retry or a sample
    And an answer above the bound is an error without a retry or a sample

  Scenario: The limit of a server follows what it sheds
    # Guards against a server that sheds work and is sent as much as before.
    Given 1 scripted servers on loopback
    Then shed orders lower the limit and whole answers raise it again

  Scenario: Waiting requests are refused when the last server goes
    # Guards against callers that wait for their deadline at a former home.
    Given 1 scripted servers on loopback
    Then a waiter is refused with reason no_backend when the home moves away
