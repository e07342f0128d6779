Feature: Gossip under faults

  Scenario: Tables converge under faults
    # Guards against tables that stay different after losses, cuts and restarts.
    Then fleets of 3 to 12 instances converge after loss, one-way cuts and restarts

  Scenario: Loss does not kill live members
    # Guards against takeovers of the groups of a live instance.
    Given a converged fleet of 8 instances with 20 percent loss
    When 200 periods pass
    Then no member was declared dead

  Scenario: A one-way cut does not kill a live member
    # Guards against a partition in one direction that removes an instance for all.
    Given a converged fleet of 8 instances with 0 percent loss
    When datagrams from instance 1 to instance 2 are dropped
    And 200 periods pass
    Then no member was declared dead
    And only the ends of the cut hold each other as unreachable
    When the cuts heal
    And 20 periods pass
    Then no instance holds another one as unreachable

  Scenario: A killed instance is dead everywhere
    # Guards against homes that are not taken over.
    Given a converged fleet of 12 instances with 10 percent loss
    When instance 3 is killed
    Then all others hold it as dead within 20 periods
    And it stays dead for 60 periods

  Scenario: A restarted instance is back at once
    # Guards against a restart that waits for the suspicion timeout.
    Given a converged fleet of 8 instances with 0 percent loss
    When instance 3 is killed and restarted
    Then the fleet converges within 8 periods without a death

  Scenario: Regions find each other after a partition of an hour
    # Guards against regions that stay separate after the network has recovered.
    Given a converged fleet of 8 instances with 0 percent loss
    When periods last 10 seconds
    And the two halves are cut off from each other for 3600 seconds
    Then each half sees only itself
    When the cuts heal
    Then the fleet converges within 60 periods without a death

  Scenario: A table that lost news is repaired by a fetch
    # Guards against a lost datagram that leaves a table permanently wrong.
    Given a converged fleet of 5 instances with 0 percent loss
    When instance 2 misses the latest changes of instance 4
    Then the fleet converges within 30 periods without a death
    And a table was fetched

  Scenario: Equal tables are not fetched
    # Guards against a periodic full exchange, 90 KB at 520 instances.
    Given a converged fleet of 8 instances with 0 percent loss
    When 300 periods pass
    Then no table was fetched since the fleet converged

  Scenario: A lagging instance gives its peers more time
    # Guards against a paused process that declares its peers dead when it resumes.
    Then a lag of 10 s extends suspicions by 10 s and lengthens the timeout

  Scenario: Datagrams stay small
    # Guards against IP fragmentation, where one lost fragment loses the whole datagram.
    Then datagrams of a fleet with names of 64 bytes stay below 1400 bytes

  Scenario: Messages of unknown senders are dropped
    # Guards against state kept for senders that are not members.
    Then a probe of an unknown sender is counted, and answered once it introduces itself
