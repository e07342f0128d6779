Feature: Exchanges with a backend server

  Scenario: An answer that is cut at any byte is never passed on
    # Guards against a part of an answer that is taken for a whole one.
    Then every proper prefix of every form of answer is an error
    And every form of answer with a known end is returned whole

  Scenario: An answer without a known end is an error
    # Guards against a cut that cannot be told from the end of the connection.
    Then answers without length or with two framings are errors

  Scenario: Bytes after the end of an answer
    # Guards against surplus bytes that are read as the answer to the next request.
    Then an answer with bytes after its end is whole and its connection is not reused

  Scenario: Bytes that arrive while no request is under way
    # Guards against an answer that was sent before the request.
    Then a connection with unread bytes or an end is not reused

  Scenario: A cancelled exchange
    # Guards against a late answer that is read as the answer to the next request.
    Then a connection whose exchange was cancelled at any byte is not reused

  Scenario: An answer to another request on a server that repeats request numbers
    # Guards against answers that are mixed up where the byte stream cannot show it.
    Then an answer with a wrong or missing number is an error

  Scenario: A refusal before the first byte
    # Guards against a late start after the process was paused.
    Then an error just before the first byte leaves the stream untouched

  Scenario: Too many bytes or too many informational answers
    # Guards against memory and time that a server can claim without bound.
    Then a long answer and endless informational answers are errors

  Scenario: An answer to another request before the own one
    # Guards against a late second answer that costs the next request its answer.
    Then a stray answer is skipped where the protocol says so, at any split of bytes

  Scenario: An answer that ends with its connection
    # Guards against whole answers that are thrown away for lack of a length, and
    # against a reset that passes for the end.
    Then an unframed answer is whole after an orderly end where the protocol allows it
    And an unframed answer whose connection is reset is an error

  Scenario: An answer before the request is read
    # Guards against a wait for a server that answers first and reads on later, and
    # against other bytes where the rest of the request is due.
    Then an early answer is returned and its connection is not reused

  Scenario: The time for which a server keeps a connection
    # Guards against requests on connections that the server is about to close.
    Then the time-out of the Keep-Alive header is kept with the connection

  Scenario: A request that is given up does not arrive later
    # Guards against bytes that the network held up and a server gets after the caller
    # was answered (CONFIG broken on baytsughra-gw scale-1 and scale-2).
    Then a connection that is closed within an exchange is reset, others end in order
