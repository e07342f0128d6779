Feature: The rate at which a queue drains

  Scenario: Delays follow the rate of the last seconds
    # Guards against requests refused, or left waiting, by an estimate from another time.
    Then it is unknown until requests have waited for 2 seconds
    And for any rate the tenth request is expected after half of its time at that rate

  Scenario: A queue that never empties takes no more memory
    # Guards against a count of all requests of an overload of hours.
    Then after 100000 starts at 50 a second at most 101 of them are kept
