Feature: A backend server that leaves gets nothing new

  Scenario: The list does not say yet that a server leaves
    # Guards against new work for a leaving server while the platform's list lags.
    Given a fleet of 3 instances
    When a server says it is draining while callers send lookups
    Then it gets no request from 3 seconds later on

  Scenario: Work in flight at a leaving server ends
    # Guards against cutting off the work that a leaving server still does.
    Given a fleet of 3 instances
    When the list says that all but one server leave while lookups run on them
    Then each of these lookups gets its whole answer
