Feature: Broken answers of backend servers

  Scenario Outline: An answer without a length to <request>, with <ending>, seen first by the <side>
    # Guards against a part of an answer that passes for all of it: once a failed write
    # has taken the error of a reset, reading shows an orderly end.
    When a server answers <request> without a length; <ending> is seen by the <side>
    Then the exchange returns <result>

    Examples:
      | request               | ending             | side   | result     |
      | a short request       | a reset            | reader | no answer  |
      | a short request       | an end             | reader | the answer |
      | a request read whole  | a reset            | reader | no answer  |
      | a request read whole  | an end             | reader | the answer |
      | an upload in progress | a reset            | reader | no answer  |
      | an upload in progress | a reset            | writer | no answer  |
      | an upload in progress | an end             | reader | the answer |
      | an upload in progress | an end and a reset | reader | the answer |
      | an upload in progress | an end and a reset | writer | the answer |

  Scenario Outline: A part of an answer and a reset on an idle connection, before <request>
    # Guards against a request written to a connection that has just been reset, whose
    # unread bytes then pass for the answer.
    When an idle connection gets an answer without a length and a reset before <request>
    Then the exchange returns no answer

    Examples:
      | request               |
      | a short request       |
      | an upload in progress |

  Scenario: Resets of uploads at any moment
    # Guards against a result that depends on which task of an exchange runs first.
    Then none of 50 uploads whose connection is reset in an answer returns an answer

  Scenario Outline: An answer with <fault>
    # Guards against bytes that are no answer but are passed on as one, and against a
    # framing that the server has not given.
    When a server sends an answer with <fault>
    Then the exchange returns no answer

    Examples:
      | fault                                  |
      | the status 000                         |
      | the status 099                         |
      | a status of two digits                 |
      | a status of four digits                |
      | a blank in a field name                |
      | a tab in a field name                  |
      | a blank before the colon               |
      | a blank before the colon of its length |
      | a blank before the colon of its coding |
      | a control byte in a field name         |
      | a null byte in a field name            |
      | a delete byte in a field name          |
      | an escape byte before a field name     |
      | no field name                          |
      | a line without a colon                 |
      | a broken line in an earlier head       |

  Scenario Outline: A line of a head that begins with white space: <line>, <pieces>
    # Guards against a line that is joined to the field before it: a signature or a
    # length then has another value than the server gave.
    When a server sends a head with <line> that begins with white space <pieces>
    Then the exchange returns no answer

    Examples:
      | line                    | pieces            |
      | a field                 | at once           |
      | a field                 | byte by byte      |
      | its first field         | at once           |
      | its length              | at once           |
      | its length              | byte by byte      |
      | a tab and a field       | at once           |
      | a line of blanks        | at once           |
      | a field after bare LF   | at once           |
      | a field of a 103 answer | at once           |
      | a field after a 103     | byte by byte      |
      | a field after another's | at once           |

  Scenario: Lines of a body may begin with white space
    # Guards against a check of the head that also reads the body.
    Then a body whose lines begin with white space is returned whole, in any pieces
