Feature: Backend servers that ask for a pause

  Scenario Outline: A refusal with Retry-After <value> pauses the server for <seconds> s
    # Guards against requests to a server that asked for none, and against values that
    # are not understood and cost the service a server for long.
    Given a server that refuses with Retry-After <value>
    Then it is paused for <seconds> s, and no estimate of its health changes

    Examples:
      | value                          | seconds |
      | 7                              | 7       |
      | 0.7                            | 0.7     |
      | 86400                          | 3600    |
      | 0                              | 0       |
      | -3                             | 0       |
      | soon                           | 0       |
      | NaN                            | 0       |
      | 1e400                          | 0       |
      | 3, 9                           | 0       |
      | Fri, 31 Dec 1999 23:59:59 GMT  | 0       |
      | an empty one                   | 0       |
      | 4 and 9                        | 9       |
      | 4 and soon                     | 4       |

  Scenario: Status 503 without the mark of a refusal pauses, too
    # Guards against a failed answer that counts as a fault although it asks for a pause.
    Given a server that fails with status 503 and Retry-After 7
    Then it is paused for 7 s, and no estimate of its health changes

  Scenario: A paused server gets nothing, whatever the order of events
    # Guards against queued requests, retries and unused-server trials that reach a server in its pause.
    Then for any sequence of answers and times no request is written in a pause

  Scenario: Requests return one by one after a pause
    # Guards against a herd that returns at the end of the time and is turned away again.
    Given a server with 6 slots whose pause of 1 s has ended
    Then it gets 1 request at first and one more at a time with each answer

  Scenario: Instances that were sent away together return at different times
    # Guards against the same from all instances at once.
    Then the ends of 40 pauses of 4 s are spread over a second, none too early

  Scenario: While all servers are paused requests are refused with the time to return
    # Guards against requests that wait until their deadline, and callers that come back too early.
    Given two servers that both ask for 7 s
    Then a request is refused at once as not run, to return in about 7 s

  Scenario: Requests that wait are refused when the last server pauses
    # Guards against waiting requests that no server will take in time.
    Given one server with 6 slots that holds its answers
    When 7 requests are dispatched and the server asks for 7 s
    Then the one that waits is refused at once with the time to return
