Feature: Dispatch to backend servers
  # Lookups are idempotent requests, orders are not.

  Scenario: Any sequence of faults gives whole answers of the right request or errors
    # Guards against partial answers, answers to another request, and an order that is
    # sent again after a server may have run it.
    Given 3 scripted servers on loopback
    Then every result of any script of faults is whole and right, or an error
    And orders reach the servers at most once unless they were refused

  Scenario: No slot leaks under cancellation
    # Guards against slots that are never released after callers disconnect at any
    # moment.
    Given 2 scripted servers on loopback
    Then all slots are free after callers are cancelled at any moment

  Scenario Outline: A slot granted <order> the cancellation of its waiter is given back
    # Guards against the race between the grant of a slot and the cancellation of its
    # waiter in the same step of the event loop; the two orders take different code
    # paths.
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
    # Guards against a retry that waits for a slot of the server that has just failed.
    Given 1 scripted servers on loopback
    When all servers fail and 5 lookups are sent
    Then the servers got 5 requests

  Scenario: A process that was paused sends nothing late
    # Guards against a request that starts after its caller got the answer that it was
    # not run.
    Given 1 scripted servers on loopback
    Then an order whose deadline passes before the first byte is not run

  Scenario: An order on a reused connection that fails is unknown
    # Guards against an order that is sent again because its connection was stale.
    Given 2 scripted servers on loopback
    Then an order whose reused connection closes after the request is unknown

  Scenario: A malformed request or a large answer is not held against the server
    # Guards against callers whose requests cause the ejection of healthy servers.
    Given 2 scripted servers on loopback
    Then a malformed request is refused without a retry or a sample
    And an answer above the bound is an error without a retry or a sample

  Scenario: The limit of a server follows what it sheds
    # Guards against sending as many requests as before to a server that sheds them.
    Given 1 scripted servers on loopback
    Then shed orders lower the limit and whole answers raise it again

  Scenario: Waiting requests are refused when the last server goes
    # Guards against requests that wait until their deadline at an instance that is no
    # longer the home of the servers.
    Given 1 scripted servers on loopback
    Then a waiter is refused with reason no_backend when the home moves away

  Scenario: A home sends no more to a server than the rate that it states
    # Guards against orders that a server in trouble gets beyond the rate that it accepts.
    Given 1 scripted servers on loopback
    Then requests beyond the rate that the server states are refused at once
    And they are sent again once it states no rate

  Scenario: A rate limit refuses the least urgent requests first
    # Guards against urgent requests that are refused because bulk work fills the queue.
    Given 1 scripted servers on loopback
    Then an urgent request is queued although bulk requests use up the rate of the server

  Scenario: A home that stops starts no request in its last seconds
    # Guards against requests that leave the queue and are cut off by the end of the process.
    Given 1 scripted servers on loopback
    Then waiting and new requests are refused once the dispatcher stops starting

  Scenario: A home that stops starts no request that would outlast the stop
    # Guards against long requests that are started early in a stop and cut off at its end.
    Given 1 scripted servers on loopback
    Then waiting and new requests of 2 seconds are refused when a stop ends sooner
