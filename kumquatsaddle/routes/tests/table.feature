Feature: The published routes

  Scenario: The longest prefix of the host wins
    # Guards against a request that is sent to the service of a shorter prefix.
    Then any path is matched by the longest prefix that begins it, as a scan finds it

  Scenario: Requests are shared by weight
    # Guards against shares that drift from their weights, and against restarts of the
    # count with each version.
    Then after any number of requests each share is within one request of its weight

  Scenario Outline: A table with <fault> is refused
    # Guards against a version that takes requests nowhere.
    Then a table with <fault> is refused with the name of the route

    Examples:
      | fault           |
      | unknown service |
      | no attempt      |
      | no timeout      |
      | no share        |
      | zero weights    |
      | open prefix     |
      | a route twice   |
