Feature: Servers that send bytes without end

  Scenario Outline: Bytes without end on a new connection
    # Guards against an exchange that reads until its memory or its time is used up, and
    # against a connection that is used again although it still carries such bytes. A
    # body is limited to 64 KB; in chunks of one byte it takes six times as much.
    When a server sends "<bytes>" without end
    Then the exchange fails after at most <kilobytes> KB and the connection is reset

    Examples:
      | bytes                         | kilobytes |
      | a line that never ends        | 64        |
      | lines that are no status line | 64        |
      | header lines                  | 128       |
      | a header line                 | 128       |
      | informational answers         | 64        |
      | answers to other requests     | 64        |
      | a body until the close        | 128       |
      | chunks of one byte            | 448       |
      | an extension of a chunk       | 128       |
      | digits of a chunk size        | 128       |
      | trailers                      | 128       |

  Scenario: Bytes without end behind a whole answer
    # Guards against a wait for the end of input that belongs to no request.
    When a server sends "bytes behind an answer" without end
    Then the answer is returned whole and its connection is not reused

  Scenario: Other tasks run while small chunks are parsed
    # Guards against a server that blocks the event loop of the instance.
    Then other tasks run while a body of 5000 chunks of one byte arrives

  Scenario: Bytes that are no answer, a few at a time
    # Guards against waiting until the deadline for the rest of what is no answer.
    Then a server that sends "z" once a second is given up at the first byte

  Scenario: Many answers without end at the same time
    # Guards against an instance that runs out of memory while several servers send
    # answers without end.
    Then 50 bodies without end never use more memory than their common limit
    And the memory is free again afterwards
