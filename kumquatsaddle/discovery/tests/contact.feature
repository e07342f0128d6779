Feature: For how long an instance has received nothing from the store

  Scenario: The age counts from the latest answer that shows the routes to be current
    # Guards against an instance that is cut off and takes its keys for current, because
    # of a peer that has newer ones or of a report that waited during a pause.
    Then for any answers and reports the age is that of the latest one that counts

  Scenario: A suspension makes the data older
    # Guards against data that look new because the clock stood still.
    Then the age grows by the time for which the machine was suspended

  Scenario: Peers that the store answers keep an instance in contact
    # Guards against an instance that refuses keys although its peers tell it what is in
    # force, and against two that confirm each other without the store.
    Then an instance without a path to the store stays in contact through its peers
    And it is out of contact when its peers have no path to the store either
    And it is out of contact when it is cut off from all, and in contact again after that

  Scenario: A peer with newer routes is no contact until they are fetched
    # Guards against an instance that goes on with a revoked key because it hears of
    # newer routes that it cannot get.
    Then an instance that hears of newer routes and cannot fetch them is out of contact
