Feature: Rate limits at the balanced dispatcher

  Scenario: A rate limit that a server states is logged, changed and ended
    # Guards against a limit that no log line shows, so that its cause cannot be found.
    Given a server that states rates and then none
    Then its rate follows the latest answer and each change is logged

  Scenario: Only an answer that shows the end of a rate limit ends it
    # Guards against a limit that a refusal or the bytes of something else end for all instances.
    Given a server that states a rate, refuses and is replaced at its address
    Then its rate stays in force

  Scenario: A request waits while no server is in service for a moment
    # Guards against a refusal for rate limits where there is no server at all.
    Given one server with 6 slots that holds its answers
    When 7 requests are dispatched, the server drains and answers, and is ready again
    Then all are served

  Scenario: A draining server that states a rate limit is used again
    # Guards against an instance that fails at each choice because the limit has no share.
    Given one server with 6 slots that holds its answers
    When it drains, states a rate limit of 2 requests a second and is ready again
    Then a request that waited is served
