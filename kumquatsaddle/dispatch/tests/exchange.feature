Feature: Exchanges with a backend server

  Scenario: An answer that is cut at any byte is never passed on
    # Guards against a truncated answer that is taken for a whole one.
    Then every proper prefix of every form of answer is an error
    And every form of answer with a known end is returned whole

  Scenario: An answer without a known end is an error
    # Guards against a truncation that cannot be told from the end of the answer.
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
    # Guards against answers to another request that the framing alone cannot reveal.
    Then an answer with a wrong or missing number is an error

  Scenario: A refusal before the first byte
    # Guards against a request that starts too late because the process was paused.
    Then an error just before the first byte leaves the stream untouched

  Scenario: Too many bytes or too many informational answers
    # Guards against unbounded use of memory and time by the answers of a server.
    Then a long answer and endless informational answers are errors

  Scenario: An answer to another request before the own one
    # Guards against a request that fails because a late second answer to an earlier
    # request precedes its own answer.
    Then an answer to another request is skipped if allowed, at any split of bytes

  Scenario: An answer that ends with its connection
    # Guards against whole answers that are discarded for lack of a length, and against
    # a reset that is taken for the end of an answer.
    Then an unframed answer is whole after an orderly end where the protocol allows it
    And an unframed answer whose connection is reset is an error

  Scenario: A server that stops in the head of its answer gives no answer
    # Guards against an empty or short body that callers get framed as whole.
    Then an orderly end inside the head is an error although it may end a body
    And so is an end inside a body that has a length

  Scenario: An answer before the request is read
    # Guards against waiting for a server that answers before it reads the whole
    # request, and against bytes of another request where the server expects the rest of
    # this one.
    Then an early answer is returned and its connection is not reused

  Scenario: The time for which a server keeps a connection
    # Guards against requests on connections that the server is about to close.
    Then the time-out of the Keep-Alive header is kept with the connection

  Scenario: A request that is given up does not arrive later
    # Guards against delayed bytes of a request that reach a server after the caller was
    # answered.
    Then a connection closed during an exchange is reset, others are closed normally
