Feature: The routes in force and those that were refused

  Scenario: The newest valid version is in force, and a refused newer one is told
    # Guards against an instance that keeps old routes, or has none, and does not say so.
    Then any order of valid, invalid and old versions gives the newest valid one
    And the status names the newest row if it was refused, and why

  Scenario: Each refusal is logged once
    # Guards against a log that fills up because the same row is read again and again.
    Then a refused row that is read three times is logged once

  Scenario: An instance says whether the store has no routes or has not answered
    # Guards against a search for a fault of the store while nothing is published.
    Then without routes the problem is the missing answer, then the missing routes
