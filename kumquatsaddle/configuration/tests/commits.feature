Feature: Commits of configuration changes

  Scenario: Interleaved operators with lost replies, outages and late writes
    # Guards against a change that is accepted twice, lost after it was accepted,
    # or accepted after its operator was told otherwise.
    Then the log is gapless and agrees with every answer in 60 seeded runs

  Scenario: A write that takes effect after the read that looked for it
    # Guards against "not written" for a change that is in the log later.
    Then after a write that is 3 seconds late the log has the change once

  Scenario: A withdrawn edit never takes effect
    # Guards against a late write that takes effect after its edit was withdrawn.
    Then after 4 late writes, "unknown" and a withdrawal the log has no change of it

  Scenario: Edits of different entities do not conflict
    # Guards against conflicts between operators who edit different accounts.
    Given a configuration with 2 accounts that two operators have read
    When both edit different accounts at the same version of the log
    Then both edits are accepted
    And an edit of an entity that has changed since is a conflict
    And a repetition of the earlier edit is accepted with its first version

  Scenario: References between entities are checked
    # Guards against routes to unknown services and accounts of unknown templates.
    Given a configuration with 2 accounts that two operators have read
    Then an account of an unknown template is refused with its field
    And a route to an unknown service is refused with its field
    And a template and a service in use cannot be deleted

  Scenario: The platform is unavailable
    # Guards against "not written" for an edit that an earlier attempt wrote.
    Given a configuration with 2 accounts that two operators have read
    Then without the platform a first attempt is not written and a repeated one unknown

  Scenario: The late write arrives while the edit is being withdrawn
    # Guards against "not written" for a change that is written just before the
    # withdrawal takes its version.
    Then the withdrawal answers that the edit was accepted

  Scenario: The platform's table was restored from a backup
    # Guards against a change after a gap in the log, which no starting instance would
    # read.
    Given a configuration with 2 accounts that two operators have read
    Then without the last row edits and withdrawals write nothing until it is back
