Feature: Detection, return and draining of backend servers

  Scenario: A service that slows down as a whole loses no server
    # Guards against ejecting servers for load or a slow database behind them all.
    Then nobody is ejected when all 4 servers become 10 times slower, for 5 seeds

  Scenario: A home with one server waits for what the other homes say
    # Guards against ejecting the only server of a home in a slowdown of the service.
    Then the only server of a home stays while the digests of the others are slow
    And the only server of a home is ejected while the digests of the others are quick

  Scenario: One slow server is ejected although it pollutes no limit
    # Guards against a slow server that raises the limit it is judged by.
    Then 1 slow server of 2 is ejected for slow answers, for 5 seeds

  Scenario: A request that passes the slow limit counts once
    # Guards against waiting for answers that never come, and against counting twice.
    Given a pool with 4 servers
    When 3 requests to b0 pass the slow limit and are answered later
    Then b0 has the evidence of 3 slow answers
    When 7 requests to b0 are never answered
    Then b0 is ejected for slow

  Scenario: The task that runs a request need not name it
    # Guards against a dispatcher whose late requests are counted twice.
    Then requests watched by their task count once on trio's clock

  Scenario: What callers cause is no evidence
    # Guards against callers that eject servers by short deadlines or bad requests.
    Given a pool with 4 servers
    When callers send 50 bad requests and set 50 short deadlines on b0
    Then b0 is healthy and without evidence

  Scenario: Failed connections eject a server
    # Guards against a server that refuses connections and shows no answers.
    Given a pool with 4 servers
    When 6 connections to b0 fail
    Then b0 is ejected for unreachable

  Scenario: A server returns through PROBATION and WARMING
    # Guards against full load, or orders, on a server that has just recovered.
    Given a pool with 4 servers
    When b0 is ejected by errors and 5 seconds pass
    Then b0 takes 1 idempotent request at a time and no other work
    When b0 answers well for 3 seconds
    Then b0 doubles its limit from 1 to 6 and takes orders from 4 on
    And b0 had 1 return by probation_passed

  Scenario: Slow answers fail a PROBATION, and the ejection time doubles
    # Guards against servers that return because they answer at all.
    Given a pool with 4 servers
    When b0 is ejected by errors and 5 seconds pass
    And b0 answers slowly 2 times
    Then b0 is ejected for 10 seconds

  Scenario: A service without idempotent requests recovers
    # Guards against a PROBATION that never ends.
    Given a pool with 4 servers
    When b0 is ejected by errors and 5 seconds pass
    And 30 seconds pass without idempotent requests
    Then b0 takes orders with limit 1

  Scenario: A flapping server returns slowly
    # Guards against a server that is readmitted in each of its good moments.
    Then a flapping server is used less than 5 percent of 600 seconds, for 3 seeds

  Scenario: New servers start cold, servers taken over start at half
    # Guards against full load on a cold server, and on one that two homes use.
    Given a pool with 4 servers
    Then each server has 3 slots for 2 seconds and 6 later
    When b4 is new in the list
    Then b4 is warming with limit 1
    And only servers that were not in the first list are new

  Scenario: A draining server gets no new work and comes back cold
    # Guards against work for a leaving server while the list lags.
    Given a pool with 4 servers
    Then b0 drains by a probe and comes back warming after 2 clear probes
    And b1 drains by an answer for 30 seconds although its probes are clear
    And b2 drains while the list says that it is leaving
    And headers and health endpoints are read for draining only

  Scenario: Health endpoints are polled over HTTP
    # Guards against a probe that no server understands.
    Then a home finds a draining server by its health endpoint over HTTP

  Scenario: A probe is no evidence of health
    # Guards against gray servers that answer probes.
    Given a pool with 4 servers
    When b0 is ejected by errors and 4 seconds pass
    Then probes of b0 that succeed change nothing

  Scenario: A server that is gone is closed after its work ended
    # Guards against work in flight that a change of the list cuts off.
    Given a pool with 4 servers
    Then b0 closes its connection in use only when it is returned

  Scenario: Ejections without tokens are counted and their server comes last
    # Guards against withheld ejections that operators cannot see.
    Given a pool with 4 servers
    When b0, b1 and b2 fail all requests
    Then 2 ejections and 1 withheld ejection are counted
    And the gauges show 2 healthy and 2 ejected servers
    And b2 is chosen after b3
