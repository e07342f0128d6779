Feature: Requests under which servers of the platform end

  Scenario: Operators see and unblock a request
    # Guards against a blocked request that nobody can see or release.
    Given a platform with a server and an instance whose operators have a token
    When servers have ended under a request twice
    Then the request is answered 502 with reason fatal_request, others are served
    And its log line has the digest under which kumquatsaddle-ctl lists the servers
    And kumquatsaddle-ctl without the token is refused, and with it unblocks the request
    And the request is served again
