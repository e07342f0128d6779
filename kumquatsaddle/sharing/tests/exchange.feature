Feature: Reports between instances

  Scenario: Messages read back as they were written
    # Guards against fields that are lost or swapped by encoding and decoding.
    Then any report, fetch and update is decoded unchanged, and truncation is an error

  Scenario: A long update is compressed for instances that accept it
    # Guards against large configurations that a slow link does not carry to a zone in time.
    Then any update is the same with and without compression, and a broken one is an error
    And an update of 1800 like routes takes a tenth of its bytes, but not for older builds

  Scenario: Only a few long updates are sent at the same time
    # Guards against a slow link on which all fetches of a zone time out together.
    Given 12 instances that fetch a long update over links that carry nothing
    Then 4 of them are being sent and the others are refused within a second
    And a short update is sent at once

  Scenario: A report whose columns do not match is refused
    # Guards against loads that are decoded from the numbers of another server.
    Then a report with too many or too few numbers is an error

  Scenario: A failure at once is known to every instance of every zone
    # Guards against instances that do not learn of the first failures of a server, and
    # against zones that learn of none (a share of 0.041 instead of 0.026 failed on a day
    # with few faults).
    Given 3 instances in zone a and 2 in zone b that know a server
    When an instance of zone a observes a fast failure of it
    Then within a second all of them suspect it

  Scenario: A summary of another zone is relayed once
    # Guards against instances that relay summaries which were relayed to them: 75
    # datagrams a second at each instance.
    Given 3 instances in zone a and 2 in zone b that know a server
    When an instance of zone a observes a fast failure of it
    Then no instance sends more than 40 datagrams in the next second

  Scenario: What a silent instance had in flight is forgotten
    # Guards against slots that remain counted as used by an instance that was killed.
    Given 3 instances in zone a and 2 in zone b that know a server
    When an instance of zone a has a request in flight and stops
    Then the others count its load at first and drop it within 5 seconds

  Scenario: A zone whose instances all die is known to have none
    # Guards against healthy servers that get no requests for 2 seconds because all
    # instances of their zone have failed (seen with deploy/days/dark_zone.toml --vary
    # --seed 222164436477).
    Given 3 instances in zone a and 2 in zone b that know a server
    Then no zone is unattended
    When all instances of zone a stop
    Then within 1.8 seconds the instances of zone b mark it as unattended

  Scenario: The loss of an instance that callers are sent to is known to all
    # Guards against distant instances that answer callers with the address of a dead
    # instance, since they get its reports only every 1.2 seconds.
    Given 9 instances in zone a and 1 in zone b that know a server
    When an instance that callers are sent to stops
    Then within 2.2 seconds no other instance of its zone considers it alive

  Scenario: Whole summaries go on while failures come all the time
    # Guards against zones that send only partial summaries while their servers fail:
    # their loads are not reported and they count as unattended.
    Given 3 instances in zone a and 2 in zone b that know a server
    When an instance of zone a observes 10 fast failures a second for 4 seconds
    Then zone b gets at least 2 full summaries of zone a

  Scenario: A change of load is told by itself
    # Guards against reports that repeat all loads for each request: decoding 30 loads
    # takes 140 us at each recipient, up to 67 times a second.
    Given 3 instances in zone a and 2 in zone b that know a server
    And each of them knows 40 more servers, all in use
    When the load of a server changes at an instance of zone a
    Then its next report lists that server only
    And the others count the change

  Scenario: The first report of a peer leads to a fetch even if it is partial
    # Guards against a change that nobody fetches from an instance which is lost right
    # after its first report.
    Then an instance fetches what the first partial report of a peer names as newer

  Scenario: A report of a read takes the place of a round
    # Guards against more datagrams in calm by reports that come besides the rounds.
    Then a reader that reports each of its reads sends no more reports than the rounds
