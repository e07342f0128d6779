Feature: Requests under which backend servers end

  Scenario: A request that ends its servers is blocked after the second one
    # Guards against one request that its caller and the fleet send to server after server.
    Given 5 servers that end when they get a request for /fatal
    When an idempotent request for /fatal is dispatched 4 times, each with its own id
    Then 2 servers have ended, and the last 3 were refused at once as unknown
    And other requests are served

  Scenario: A request that is not idempotent is blocked as well
    # Guards against attempts of a caller that each end one server.
    Given 5 servers that end when they get a request for /fatal
    When a request for /fatal that is not idempotent is dispatched 4 times
    Then 2 servers have ended, and the last 2 were refused at once as unknown

  Scenario: Lost answers of servers that live block nothing
    # Guards against good requests that are blocked because their answers were lost.
    Given a server that closes every connection without an answer
    When an idempotent request for /lost is dispatched 6 times
    Then none was refused as fatal

  Scenario: A request that waits is not sent once it is blocked
    # Guards against copies that were queued before the second server ended.
    Given one server with 6 slots that holds its answers
    When 6 requests run, one for /0 waits and its content is blocked elsewhere
    Then the one that waits is refused as unknown and never sent

  Scenario: Many servers that end at once count as one end
    # Guards against a popular request that is blocked because it ran on all servers when a rack failed.
    Then any number of ends of attempts that started before the first end counts once

  Scenario: An answer clears what came before
    # Guards against a popular request that is blocked by the crashes of a long day.
    Then a request that is answered between two ends is not blocked

  Scenario: The order in which ends become known does not matter
    # Guards against instances that disagree on what is blocked.
    Then any order of ends and clearances gives the same blocked requests

  Scenario: The number of digests held is bounded, and each for a limited time
    # Guards against memory that grows with every request that was lost.
    Then after 10000 ends at most 2000 digests are held, and none 20 minutes later

  Scenario: The content decides what is the same request
    # Guards against different requests that are taken for one, and against copies that are not recognized.
    Then requests with other ids have one digest, and those with another content have not
