Feature: Clients before a server whose answers are broken

  Scenario Outline: A client gets no answer of the server with <fault>
    # Guards against bytes of a broken answer, or a part of one, that reach a client as
    # the answer of the server.
    Given a platform with a server and an instance
    When the server sends a client an answer with <fault>
    Then the client gets status 502 and nothing that the server sent

    Examples:
      | fault                                 |
      | a reset in place of its end           |
      | the status 000                        |
      | the status 600                        |
      | a blank in a field name               |
      | a control byte in a field name        |
      | a control byte in a field value       |
      | a blank before a field name           |
      | a tab before a field name             |
      | a blank before the name of its length |
      | a blank before its first field        |

  Scenario: A client gets an answer without a length that ends with its connection
    # Guards against whole answers that are discarded for lack of a length while the
    # request is still being written.
    Given a platform with a server and an instance
    When the server sends a client an answer with no length and an orderly end
    Then the client gets all of it
