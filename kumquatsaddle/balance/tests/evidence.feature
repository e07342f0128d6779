Feature: Evidence on backend servers

  Scenario: A failure at once makes a server doubtful, successes make it sure again
    # Guards against a server that keeps getting requests while it fails them fast.
    Then after one fast failure a server is likelier to fail than an unobserved one for 5 s
    And without observations the failure probability decays to the stationary one

  Scenario: The filter stays within its bounds
    # Guards against a probability outside of the unit interval, or stuck at its end.
    Then any sequence of observations keeps the failure probability between 0 and 1
    And after any sequence 25 successes lower the failure probability below 0.05

  Scenario: Requests that started before a failure say nothing of the time after it
    # Guards against a request that was in flight when its server began to fail, and
    # whose success then makes the server look healthy.
    Then a success of an earlier request leaves the failure probability unchanged
    And a later request that can no longer fail fast lowers it

  Scenario: A failure that took its time is weak evidence
    # Guards against errors caused by the requests themselves, which would keep requests
    # away from healthy servers.
    Then one slow failure raises the failure probability less than one fast failure

  Scenario: A new server is tried once it is warm
    # Guards against new servers that get no request while others are known to be
    # healthy.
    Then a warm new server is preferred to a healthy one, but only until its first request
    And a cold new server is not preferred

  Scenario: A server in another zone has to be worth the bytes
    # Guards against answers that cross zones while a server of this zone is healthy.
    Then a healthy server of this zone is preferred to a healthy one of another
    And a server of another zone is preferred to one of this zone that failed fast

  Scenario: The size of an answer does not outweigh a failure
    # Guards against downloads whose only retry goes to a gray server of this zone.
    Then a large answer comes from another zone rather than from a server that failed fast

  Scenario: A slow server is passed over before its answer comes
    # Guards against requests that pile up at a server that hangs.
    Then a server with an overdue request costs more than one without

  Scenario: The floor of servers in use is kept when evidence is old
    # Guards against recovered servers that get no request because they failed before,
    # so that fewer servers are in use than required.
    Given a pool of 8 servers of which 4 failed fast and recovered
    When 40 requests a second are served for 8 seconds
    Then in the last 2 seconds at least 6 servers got requests

  Scenario: Requests that may be repeated try recovering servers for the others
    # Guards against orders that are lost because they are the first to try a server that
    # failed before, although lookups that can be retried go to the same service.
    Given a pool of 8 servers of which 4 failed fast and still fail
    When 30 orders and 10 lookups a second are sent for 30 seconds
    Then lookups try the failing servers and at most 2 orders are lost to them
    And after the servers recover the floor of 6 is in use within 6 seconds

  Scenario: Servers of a zone that lost its instances stay in use
    # Guards against healthy servers that get no request because only the instances of
    # their zone sent to them (seen with deploy/days/dark_zone.toml --vary --seed
    # 222164436477).
    Given a pool of 6 servers in this zone and 6 in a zone without instances
    When 40 requests a second are served for 8 seconds
    Then in the last 2 seconds at least 10 servers got requests

  Scenario: Passing over distant servers changes no choice
    # Guards against a lower bound of the cost of servers in another zone that exceeds
    # their cost, so that a cheaper server is skipped.
    Then the chosen server is the cheapest among any servers of two zones

  Scenario: A queue does not drain into servers that fail at once
    # Guards against waiting requests that are sent to a faulty server, whose slots are
    # always free because it fails fast (393 of 4,098 requests of a class).
    Given a healthy server whose slots are taken and one that failed fast
    Then a request waits for most of the time until its deadline
    And it is sent to the faulty server shortly before its deadline

  Scenario: A request waits for a slot here before it crosses zones
    # Guards against traffic between zones while all servers of the service are busy.
    Given a healthy server whose slots are taken and a free one in another zone
    Then a request waits at first and is sent to the other zone later

  Scenario: Many waiting requests do not take the processor
    # Guards against an event loop that is blocked for seconds while many requests wait.
    Given a pool of 8 servers of which 0 failed fast and recovered
    Then with 200 waiting requests a change takes one choice for each selection key

  Scenario: Servers without room cost no weighing of their evidence
    # Guards against a waiting request for which the failure probability of each full
    # server is computed at each change: 5.6 ms of processor time for one choice among
    # 191 servers.
    Given a pool of 40 servers of which 0 failed fast and recovered
    Then while all are full a waiting request computes the failure probability of none
