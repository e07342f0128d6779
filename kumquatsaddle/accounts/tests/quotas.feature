Feature: Quotas of client accounts over all instances

  Scenario: The bound holds whatever happens to instances and links
    # Guards against owners that grant the same quota twice, and tokens that outlive a freeze.
    Then for any faults no account runs more requests in a window than its bound

  Scenario: The bound holds while zones cannot communicate with each other
    # Guards against several owners that each grant the whole quota.
    Then for any lasting partition of zones no account exceeds its bound

  Scenario: A lower quota is binding one window later
    # Guards against tokens of the former quota that stay in use.
    Then for any lower quota no account exceeds it one window later

  Scenario: A quota for which there is demand is used
    # Guards against tokens that are lost at instances without requests, or in full buckets.
    Then for any demand above the quota at least 90 % of it are used in contact

  Scenario: A quota is used again after a fault
    # Guards against instances that count as lost for good, and against owners that stay new.
    Then for any faults at least 90 % of the quota are used 10 seconds after the last one

  Scenario: An instance that is cut off refuses at once
    # Guards against requests that wait for an owner that cannot answer.
    Then instances that are cut off refuse with a Retry-After and use a small part only

  Scenario: The owners of an account that all instances choose
    # Guards against accounts that move although their owner stays, and uneven ownership.
    Then for any fleet the loss of an instance moves its accounts only

  Scenario: A new owner waits and starts without tokens
    # Guards against two owners that overlap, and against a burst for each owner.
    Given an instance that has just become the owner of an account
    Then it grants nothing for the takeover delay
    And afterwards it grants what the rate adds, and not the burst

  Scenario: An owner that was suspended starts anew
    # Guards against a resumed owner that grants what another one grants meanwhile.
    Given an owner that was suspended for 4 seconds
    Then it grants nothing for the takeover delay

  Scenario: The share of an owner falls at once and rises late
    # Guards against an owner that uses again what the other side still uses.
    Given an owner that is out of contact with half of the fleet for 1 second
    Then its share is a half until the takeover delay has passed

  Scenario: Tokens in advance expire
    # Guards against tokens that are used long after they were granted, as after a freeze.
    Given an instance that got tokens in advance
    Then they admit requests for half a second and none later
    And those whose answer arrives a second after the request admit none

  Scenario: Tokens in advance are few and only granted while there are many
    # Guards against many requests at the same moment, and tokens that expire unused.
    Then for any quota few tokens are granted in advance, and none when it is used up

  Scenario: An instance that left on purpose does not count
    # Guards against a quota that shrinks with each planned stop.
    Given a fleet in which an instance leaves on purpose and another one is killed
    Then the share is smaller by the killed instance only
    And the name of the one that left is forgotten with the list of peers

  Scenario: Retry-After tells when a token is there
    # Guards against callers that come back too early, or all at the same time.
    Given an owner whose account has used up a rate of 10
    Then refused requests are told different times, a tenth of a second apart
    And a request at the first of these times is admitted

  Scenario: All instances restart at the same moment
    # Guards against seconds without service after a loss of power, in which each new
    # owner waits for a former one that no longer exists.
    Then restarted instances together admit at most the slack and the rate, for 6 seconds
    And an instance admits by itself only if all that it hears, at least half, are new
