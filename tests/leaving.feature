Feature: A backend server that leaves gets nothing new

  Scenario: The list does not say yet that a server leaves
    # Guards against new requests to a draining server before the platform's list marks
    # it as leaving.
    Given a fleet of 3 instances
    When a server reports draining while callers send lookups
    Then it gets no request after 3 seconds

  Scenario: The check finds instances that wait for the list
    # Verifies that the check above detects instances that rely on the list only.
    Given instances that ignore a server that reports draining
    And a fleet of 3 instances
    When a server reports draining while callers send lookups
    Then the check finds requests after 3 seconds

  Scenario: Work in flight at a leaving server ends
    # Guards against aborting the requests that a leaving server still runs.
    Given a fleet of 3 instances
    When the list marks all but one server as leaving while lookups run on them
    Then each of these lookups gets its complete answer
