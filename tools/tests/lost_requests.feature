Feature: The causes of lost requests

  Scenario Outline: A request is counted by its cause
    # Guards against counting a server's own errors as failures of a gray server.
    Then a request with outcome <outcome>, status <status> and attempts "<attempts>" counts as <cause>

    Examples:
      | outcome | status | attempts                                                       | cause         |
      | done    | 200    | i-1:served:480ms:sick=0.02:load=1                              | SERVED        |
      | done    | 404    | i-1:served:9ms:sick=0.02:load=1                                | SERVED        |
      | done    | 500    | i-1:failed:3ms:sick=0.11:load=1                                | FIRST_FAILURE |
      | done    | 500    | i-1:failed:470ms:sick=0.02:load=2                              | OWN_ERROR     |
      | done    | 500    | i-1:failed:3ms:sick=0.02:load=1;i-2:failed:4ms:sick=0.81:load=0 | KNOWN_GRAY    |
      | not-run | 503    |                                                                | REFUSED       |
      | unknown | 504    | i-1:late:3001ms:sick=0.02:load=1                               | ANSWER_LOST   |

  Scenario: Lines of a played day are counted by service
    # Guards against missing request lines that have a prefix, and against counting lines
    # of other events.
    Given log lines with a prefix, of other events and with quoted values
    Then 2 requests of one service and 1 of another are counted
