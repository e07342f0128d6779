Feature: Rate limits of backend servers after a freeze of an instance

  Scenario: A statement does not look new after the instance was frozen
    # Guards against an instance that keeps a limit that ended while it was frozen, and
    # that spreads it, because the clock that gives its age stood still.
    Then after a suspension the end of a limit that a peer reports is applied

  Scenario: What was read after a freeze does not look new
    # Guards against reports and answers that waited in a buffer and whose age counts
    # from the time at which they were read.
    Then a report that waited in the buffer during a freeze does not count as new

  Scenario: An answer that was read after a freeze does not look new
    # Guards against the same for what a server states to this instance.
    Then an answer that waited in the buffer during a freeze does not count as new
