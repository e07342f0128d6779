Feature: Detection, return and draining of backend servers

  Scenario: A service that slows down as a whole loses no server
    # Guards against ejections caused by load or by a slow database that all servers use.
    Then no server is ejected when all 4 become 10 times slower, for 5 seeds

  Scenario: A home with one server waits for what the other homes say
    # Guards against ejecting the only server of a home while the whole service is slow.
    Then the only server of a home stays while the digests of the other homes are slow
    And the only server of a home is ejected while the digests of the other homes are fast

  Scenario: One slow server is ejected although it pollutes no limit
    # Guards against a slow server whose answers raise the slow limit of its service.
    Then 1 slow server of 2 is ejected for slow answers, for 5 seeds

  Scenario: A request that passes the slow limit counts once
    # Guards against evidence that needs an answer, which may never come, and against
    # counting a request again when its answer comes.
    Given a pool with 4 servers
    When 3 requests to b0 pass the slow limit and are answered later
    Then b0 has the evidence of 3 slow answers
    When 7 requests to b0 are never answered
    Then b0 is ejected for slow

  Scenario: The task that runs a request need not name it
    # Guards against counting a request twice if the dispatcher passes no key for it.
    Then requests tracked by their task count once on trio's clock

  Scenario: What callers cause is no evidence
    # Guards against ejections caused by short deadlines or bad requests of callers.
    Given a pool with 4 servers
    When callers send 50 bad requests and set 50 short deadlines on b0
    Then b0 is healthy and without evidence

  Scenario: Failed connections eject a server
    # Guards against a server that refuses connections and so gives no answers to test.
    Given a pool with 4 servers
    When 6 connections to b0 fail
    Then b0 is ejected for unreachable

  Scenario: A server returns through PROBATION and WARMING
    # Guards against full load, or requests that are not idempotent, on a server that
    # has just recovered.
    Given a pool with 4 servers
    When b0 is ejected by errors and 5 seconds pass
    Then b0 takes 1 idempotent request at a time and no other requests
    When b0 answers well for 3 seconds
    Then b0 doubles its limit from 1 to 6 and takes non-idempotent requests from 4 on
    And b0 had 1 return by probation_passed

  Scenario: Slow answers fail a PROBATION, and the ejection time doubles
    # Guards against the return of a server that answers, but slowly.
    Given a pool with 4 servers
    When b0 is ejected by errors and 5 seconds pass
    And b0 answers slowly 2 times
    Then b0 is ejected for 10 seconds

  Scenario: A service without idempotent requests recovers
    # Guards against a PROBATION that never ends because it gets no samples.
    Given a pool with 4 servers
    When b0 is ejected by errors and 5 seconds pass
    And 30 seconds pass without idempotent requests
    Then b0 takes non-idempotent requests with limit 1

  Scenario: A flapping server returns slowly
    # Guards against a server that is readmitted in each of its good phases.
    Then a flapping server is used less than 5 percent of 600 seconds, for 3 seeds

  Scenario: New servers start cold, servers taken over start at half
    # Guards against full load on a new server, and on one that two homes use for a time.
    Given a pool with 4 servers
    Then each server has 3 slots for 2 seconds and 6 later
    When b4 is new in the list
    Then b4 is warming with limit 1
    And only servers that were not in the first list are new

  Scenario: A draining server gets no new work and comes back cold
    # Guards against requests to a leaving server before the list shows that it leaves.
    Given a pool with 4 servers
    Then b0 drains by a probe and comes back warming after 2 clear probes
    And b1 drains by an answer for 30 seconds although its probes are clear
    And b2 drains while the list says that it is leaving
    And headers and health endpoints are read for draining only

  Scenario: Health endpoints are polled over HTTP
    # Guards against a probe that is no valid HTTP request.
    Then a home finds a draining server by its health endpoint over HTTP

  Scenario: A probe is no evidence of health
    # Guards against the return of servers that answer probes but fail requests.
    Given a pool with 4 servers
    When b0 is ejected by errors and 4 seconds pass
    Then probes of b0 that succeed change nothing

  Scenario: A server that is gone is closed after its work ended
    # Guards against a change of the list that aborts requests in flight.
    Given a pool with 4 servers
    Then b0 closes its connection in use only when it is returned

  Scenario: Ejections without tokens are counted and their server comes last
    # Guards against withheld ejections that operators cannot see.
    Given a pool with 4 servers
    When b0, b1 and b2 fail all requests
    Then 2 ejections and 1 withheld ejection are counted
    And the gauges show 2 healthy and 2 ejected servers
    And b2 is chosen after b3
