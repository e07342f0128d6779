Feature: An instance on the platform

  Scenario: A request is sent to a server of its route and answered with its signature
    # Guards against a failure on the whole path: settings, store, routes, servers, answer.
    Given a platform with a server and an instance
    Then the instance is ready and gives its own address
    And a request of a route is answered by the server
    And a request of no route is answered 404 with its id
    And the metrics are served

  Scenario: A server that drains gets nothing new
    # Guards against requests to a draining server later than the bound of 2 seconds.
    Given a platform with a server and an instance
    When the server drains
    Then a second later a request is refused as not run, with a retry-after header

  Scenario: An instance without a configuration refuses
    # Guards against status 404 for routes that are not known yet.
    Given a platform without a configuration and an instance
    Then the instance is not ready
    And a request is refused with 503

  Scenario: A new configuration is in force within a second
    # Guards against requests that are routed by an old version.
    Given a platform with a server and an instance
    When the route is dropped
    Then a second later a request of the route is answered 404

  Scenario: A stop lets a request in flight end
    # Guards against a planned stop that cuts off answers.
    Given a platform with a server and an instance
    When the instance is stopped while a request runs
    Then the request is answered by the server
    And the instance ends

  Scenario: A stop passes on no request that it would have to cut off
    # Guards against orders without an answer that arrive late in the grace of a planned stop.
    Given a platform with a server and an instance
    When the server is slow and a request arrives slowly while the instance stops
    Then it is refused as not run and told to come back, and no server gets it
