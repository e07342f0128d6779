Feature: A backend server that leaves gets nothing new

  Scenario: The list does not say yet that a server leaves
    # Guards against new work for a leaving server while the platform's list lags.
    Given a fleet of 3 instances
    When a server says it is draining while callers send lookups
    Then it gets no request from 3 seconds later on

  Scenario: The check finds instances that wait for the list
    # Shows that the check above fails for the naive variant.
    Given instances that do not believe a server that says it is draining
    And a fleet of 3 instances
    When a server says it is draining while callers send lookups
    Then the check finds requests after 3 seconds

  Scenario: Work in flight at a leaving server ends
    # Guards against cutting off the work that a leaving server still does.
    Given a fleet of 3 instances
    When the list says that all but one server leave while lookups run on them
    Then each of these lookups gets its whole answer
