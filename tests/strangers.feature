Feature: Messages of strangers

  Scenario: A stranger cannot change the member table
    # Guards against member records forged by a process without the key.
    Given a fleet of 2 instances
    When a process with another key sends an update of a member to each instance
    Then no instance knows this member
    And each instance counted a rejected message

  Scenario: A stranger cannot run work
    # Guards against orders forwarded by a process without the key.
    Given a fleet of 2 instances
    When a process with another key forwards an order to each instance
    Then 0 orders ran

  Scenario: A replayed message runs nothing again
    # Guards against a second run by a replayed message, also on a new connection.
    Given a fleet of 2 instances
    When a recorded forwarded order is sent 3 times to one instance
    Then 1 order ran

  Scenario: The check finds an instance that does not look for replays
    # Verifies that the check above detects instances without replay protection.
    Given instances that accept any sequence number
    And a fleet of 2 instances
    When a recorded forwarded order is sent 3 times to one instance
    Then 3 orders ran

  Scenario: A message that was recorded is of no use at another instance
    # Guards against a second run by a replayed message that was sent to another
    # instance, or to this one before its restart.
    Given a fleet of 2 instances
    When a recorded forwarded order for one instance is sent to another one
    Then 0 orders ran

  Scenario: Broken messages do not end an instance
    # Guards against a crash by frames that are truncated, too long or no messages.
    Given a fleet of 2 instances
    When broken frames and datagrams reach each instance
    Then each instance still answers lookups
