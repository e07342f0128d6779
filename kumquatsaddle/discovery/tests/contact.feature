Feature: For how long an instance has received nothing from the store

  Scenario: The age counts from the latest answer that shows the routes to be current
    # Guards against an instance that is cut off and takes its keys for current, because
    # of a peer that has newer ones or of a report that waited during a pause.
    Then for any answers and reports the age is that of the latest one that counts

  Scenario: A suspension makes the data older
    # Guards against data that look new because the clock stood still.
    Then the age grows by the time for which the machine was suspended
