Feature: The exchange of member tables over a stream

  Scenario: A hello is answered with the whole table and introduces its sender
    # Guards against a joining instance that no peer knows, or that knows no peer.
    Given a control server with 30 members
    When an instance sends a hello over a stream
    Then it receives all members
    And the server knows the instance

  Scenario: A hello for another member is rejected
    # Guards against an instance that introduces itself under the name of another one.
    Given a control server with 3 members
    When an instance sends a hello that introduces another one
    Then the stream is closed and unknown_sender is counted

  Scenario: Malformed members end the stream of a hello
    # Guards against a record with a malformed address that stops the server.
    Given a control server with 3 members
    When an instance sends a hello with a malformed address
    Then the stream is closed and malformed is counted
