Feature: Messages of strangers

  Scenario: A stranger cannot change the member table
    # Guards against members that are made up by a process without the key.
    Given a fleet of 2 instances
    When a process with another key sends news of a member to each instance
    Then no instance knows this member
    And each instance counted a rejected message

  Scenario: A stranger cannot run work
    # Guards against forwarded orders from a process without the key.
    Given a fleet of 2 instances
    When a process with another key forwards an order to each instance
    Then 0 orders ran

  Scenario: A replayed message runs nothing again
    # Guards against a second run from a recorded message, also on a new connection.
    Given a fleet of 2 instances
    When a recorded forwarded order is sent 3 times to one instance
    Then 1 order ran

  Scenario: The check finds an instance that does not look for replays
    # Shows that the check above fails for the naive variant.
    Given instances that accept any sequence number
    And a fleet of 2 instances
    When a recorded forwarded order is sent 3 times to one instance
    Then 3 orders ran

  Scenario: A message that was recorded is of no use at another instance
    # Guards against a second run from a message recorded on its way to another
    # instance, or to this one before its restart.
    Given a fleet of 2 instances
    When a recorded forwarded order for one instance is sent to another one
    Then 0 orders ran

  Scenario: Broken messages do not end an instance
    # Guards against a crash by frames that are cut, too long or no messages at all.
    Given a fleet of 2 instances
    When broken frames and datagrams reach each instance
    Then each instance still answers lookups
