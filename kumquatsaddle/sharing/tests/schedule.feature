Feature: When an instance reports to which of its peers

  Scenario: The datagrams of a zone grow with its close instances
    # Guards against reports from every instance to every other: 1,570 datagrams a second
    # by calculation in a zone of 34 idle instances, of which 9 are active. Simulating an
    # idle second of four such zones took 8 s.
    Given the schedules of 34 instances of which 9 are active
    When 10 seconds pass
    Then at most 900 reports a second are sent

  Scenario: Every peer is told in time
    # Guards against a peer that is considered silent because its next report comes later
    # than it announced.
    Given the schedules of 12 instances of which 4 are active
    When 20 seconds pass, in which the active ones change every 2 seconds
    Then no report comes later than the sender announced

  Scenario: A reader of the store is heard by all often
    # Guards against instances that read the store themselves because they get reports
    # of its reader too rarely.
    Given the schedules of 12 instances of which 4 are active
    And a distant one reads the store
    When 10 seconds pass
    Then every other one gets its reports at least twice a second
