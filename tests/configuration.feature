Feature: An accepted configuration is in force everywhere and stays so

  Scenario: Outage, crashes and a platform whose reads lag
    # Guards against a version that goes down anywhere: in an outage, at an instance
    # that starts without the platform, and when an old state of the table is read.
    Given a watched fleet of 5 instances
    When an edit of an account is accepted by an instance
    Then it comes into force at all instances
    When the platform goes away and 2 instances crash
    And they are replaced by instances that know their peers
    Then the replaced instances serve with the accepted configuration
    And an edit during the outage is refused as "not-written"
    When the platform returns with reads from before the edit
    Then the edit stays in force while all instances read the old state
    When an instance crashes and its replacement knows only the list of the platform
    Then the replaced instances serve with the accepted configuration
    When the reads of the platform are current again
    And an edit of an account is accepted by an instance
    Then it comes into force at all instances
    And no version went down at any time

  Scenario: Two operators change the same account at once
    # Guards against the loss of one of two edits that are both said to be accepted.
    Given a watched fleet of 4 instances
    When two operators change an account at once through two instances, 10 times
    Then each time one edit was accepted and the other got a conflict
    And the accepted edits come into force at all instances
    And no version went down at any time

  Scenario Outline: The reply to a commit is lost and <then>
    # Guards against an edit that is made twice, or that is said to have failed
    # although it is in the log.
    Given a watched fleet of 4 instances
    When the reply to an edit is lost and <then>
    Then the operator is told "<outcome>"
    When the platform answers again and the edit is repeated at another instance
    Then the operator is told "accepted"
    And the log has the edit once
    And it comes into force at all instances
    And no version went down at any time

    Examples:
      | then                   | outcome  |
      | the platform goes on   | accepted |
      | the platform goes away | unknown  |

  Scenario: The check finds an instance that takes over an older configuration
    # Shows that the check of the versions fails for a naive variant.
    Given a watched fleet of 4 instances
    When an instance takes over an older version
    Then the check finds a version that went down
