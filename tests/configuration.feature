Feature: An accepted configuration is in force everywhere and stays so

  Scenario: Outage, crashes and a platform whose reads lag
    # Guards against a configuration version that decreases at any instance: in an
    # outage, at a start without the platform, and after a stale read of the table.
    Given a monitored fleet of 5 instances
    When an edit of an account is accepted by an instance
    Then it comes into force at all instances
    When the platform becomes unavailable and 2 instances crash
    And they are replaced by instances with the running ones as seeds
    Then the replaced instances serve with the accepted configuration
    And an edit during the outage is refused as "not-written"
    When the platform is available again with reads from before the edit
    Then the edit stays in force while all instances read the stale state
    When an instance crashes and its replacement knows only the platform's list
    Then the replaced instances serve with the accepted configuration
    When the reads of the platform are up to date again
    And an edit of an account is accepted by an instance
    Then it comes into force at all instances
    And no version decreased at any time

  Scenario: Two operators change the same account at once
    # Guards against the loss of one of two edits that were both reported as accepted.
    Given a monitored fleet of 4 instances
    When two operators change an account concurrently at two instances, 10 times
    Then each time one edit was accepted and the other got a conflict
    And the accepted edits come into force at all instances
    And no version decreased at any time

  Scenario Outline: The reply to a commit is lost and <then>
    # Guards against an edit that is applied twice, or reported as failed although it
    # is in the log.
    Given a monitored fleet of 4 instances
    When the reply to an edit is lost and <then>
    Then the operator is told "<outcome>"
    When the platform answers again and the edit is repeated at another instance
    Then the operator is told "accepted"
    And the log has the edit once
    And it comes into force at all instances
    And no version decreased at any time

    Examples:
      | then                   | outcome  |
      | the platform goes on   | accepted |
      | the platform goes away | unknown  |

  Scenario: The check finds an instance that takes over an older configuration
    # Verifies that the check above detects a version that decreases.
    Given a monitored fleet of 4 instances
    When the version of an instance decreases
    Then the check finds a version that decreased
