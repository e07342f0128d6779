Feature: The published routes

  Scenario: The longest prefix of the host wins
    # Guards against a request that is sent to the service of a shorter prefix.
    Then any path is matched by the same longest prefix as a linear scan finds

  Scenario: Requests are shared by weight
    # Guards against shares that drift from their weights, and against credits that are
    # reset with each version of the routes.
    Then after any number of requests each share is within two requests of its weight

  Scenario: A service whose weight is set to 0 gets no further request
    # Guards against requests to a service that a new version of the routes has taken
    # out of a split: credits from before made it the one furthest behind its weight.
    Then no service gets a request while its weight is 0, whatever the weights before

  Scenario Outline: A table with <fault> is refused
    # Guards against a version of the routes that leaves requests without a server.
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
