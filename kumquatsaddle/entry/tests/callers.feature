Feature: The server for callers under hostile input

  Scenario: Requests with any mutation are answered or end the connection
    # Guards against input that crashes, hangs or confuses the server.
    Then every mutation of real requests gets valid responses and ends in time

  Scenario Outline: A request that can be read in two ways is refused
    # Guards against request smuggling past a limit or a route.
    Then the ambiguous request "<shape>" is refused as bad_request and ends

    Examples:
      | shape                                                                |
      | POST / HTTP/1.1~Host: x~Content-Length: 4~Transfer-Encoding: chunked~~ |
      | POST / HTTP/1.1~Host: x~Content-Length: 4~Content-Length: 4~~abcd    |
      | POST / HTTP/1.1~Host: x~Content-Length: 4~Content-Length: 5~~abcde   |
      | POST / HTTP/1.1~Host: x~Content-Length: 4, 4~~abcd                   |
      | POST / HTTP/1.1~Host: x~Content-Length: +4~~abcd                     |
      | POST / HTTP/1.1~Host: x~Content-Length: -4~~abcd                     |
      | POST / HTTP/1.1~Host: x~Content-Length:~~abcd                        |
      | POST / HTTP/1.1~Host: x~Transfer-Encoding: gzip, chunked~~0~~        |
      | POST / HTTP/1.1~Host: x~Transfer-Encoding: xchunked~~0~~             |
      | POST / HTTP/1.1~Host: x~Transfer-Encoding: chunked~Transfer-Encoding: x~~0~~ |
      | POST / HTTP/1.0~Host: x~Transfer-Encoding: chunked~~0~~              |
      | POST / HTTP/1.1~Host: x~Transfer-Encoding: chunked~~zz~~             |
      | GET / HTTP/1.1~Host: x~Folded: a~ b~~                                |
      | GET / HTTP/1.1~Host: x~Spaced : a~~                                  |
      | GET / HTTP/1.1~Host: x~NoColon~~                                     |
      | GET / HTTP/1.1~Host: x\nBare: a~~                                    |
      | GET / HTTP/1.1\nHost: x~~                                            |
      | GET / HTTP/1.1~Host: x~Bare: a\rb~~                                  |
      | GET / HTTP/1.1~Host: x~Control: a\x01b~~                             |
      | GET / HTTP/1.1~Host: x~Control: a\x00b~~                             |
      | GET / HTTP/1.1~~                                                     |
      | GET / HTTP/1.1~Host: x~Host: y~~                                     |
      | GET http://other/ HTTP/1.1~Host: x~~                                 |
      | GET //other/lookup HTTP/1.1~Host: x~~                                |
      | GET /lookup/../order HTTP/1.1~Host: x~~                              |
      | GET /lookup/%2e%2E/order HTTP/1.1~Host: x~~                          |
      | GET /lookup/. HTTP/1.1~Host: x~~                                     |
      | GET /lookup/..;/order HTTP/1.1~Host: x~~                             |
      | GET /lookup/..%2Forder HTTP/1.1~Host: x~~                            |
      | GET /lookup%5c..%5corder HTTP/1.1~Host: x~~                          |
      | GET /#part HTTP/1.1~Host: x~~                                        |
      | GET /a\tb HTTP/1.1~Host: x~~                                         |
      | GET /\xe9 HTTP/1.1~Host: x~~                                         |
      | OPTIONS * HTTP/1.1~Host: x~~                                         |
      | CONNECT x:80 HTTP/1.1~Host: x~~                                      |
      | GET / HTTP/1.2~Host: x~~                                             |
      | GET / HTTP/2.0~Host: x~~                                             |
      | GET  / HTTP/1.1~Host: x~~                                            |
      | GET /~~                                                              |
      | GET / HTTP/1.1~Host: x~Kumquatsaddle-Account: a~kumquatsaddle-account: b~~ |
      | GET / HTTP/1.1~Host: x~Kumquatsaddle-Later: a~kumquatsaddle-later: b~~ |

  Scenario: A head or body that is too large is refused
    # Guards against unbounded use of memory.
    Then too large a head is refused with 431
    And too large a body is refused with 413, announced or chunked
    And bodies beyond the memory limit for all bodies are refused with 503

  Scenario: A body in many small chunks does not stop other work
    # Guards against a caller that blocks the event loop.
    Then other tasks run while a body of 5000 chunks of one byte is parsed

  Scenario: A caller that sends too slowly is refused
    # Guards against connections that are held open one byte at a time (slowloris).
    Then a head of one byte a second is refused with 408 after the head timeout
    And a body below the minimum rate is refused with 408
    And a body above the minimum rate is served although it takes long

  Scenario: Pipelined requests are answered in order
    # Guards against lost bytes and answers in the wrong order.
    Then requests in any split of their bytes are answered in order

  Scenario: Older and cautious callers are served
    # Guards against a hang of callers that wait for 100 Continue or for the close.
    Then a caller that expects 100-continue gets it before it sends the body
    And a body above the limit is refused instead of 100 Continue
    And a caller with HTTP/1.0 is answered and the connection ends
    And an answer to HEAD and one with status 204 have no body

  Scenario: A caller that does not read times out
    # Guards against answers that stay in memory forever.
    Then a caller that never reads is dropped after the write timeout

  Scenario: A caller that goes away cancels its request
    # Guards against slots that stay busy after the caller has disconnected.
    Then a request is cancelled when its caller goes away
    And bytes of the next request that arrive meanwhile are kept

  Scenario: A fault of the proxy ends one connection only
    # Guards against one request that stops the whole instance.
    Then a fault in one answer leaves other connections working

  Scenario: Connections above the limit are told so
    # Guards against callers that mistake a full instance for a dead one.
    Then a connection above the limit gets 503 too_many_connections

  Scenario: A backend server cannot forge an outcome
    # Guards against a caller that mistakes an unknown outcome for a refusal.
    Then headers of a backend server that state an outcome are dropped
    And an answer that is not a valid response becomes an unknown outcome
