Feature: The platform's interface

  Scenario: Both implementations behave alike
    # Guards against a fake that hides a fault of the HTTP client.
    Then the memory and the HTTP platform give the same results for rows and objects

  Scenario: Replies are lost after the effect
    # Guards against a change that is accepted twice or reported as a conflict.
    Given a stand-in of the platform that loses the replies of 2 writes
    When a change is committed through the HTTP client
    Then it is accepted at one version and the log has it once

  Scenario: Writes take effect after the client has given up
    # Guards against a wrong answer about a write that is delayed in the platform.
    Given a stand-in of the platform that handles calls 0.4 seconds late
    When a change is committed with a limit of 0.1 seconds for each call
    Then its result is unknown and asking again finds it accepted once

  Scenario: The platform is down
    # Guards against exceptions of the HTTP library that end a task.
    Given a stand-in of the platform that refuses every call
    Then every method of the HTTP client raises the error of an unavailable platform

  Scenario: Replies that are not of the interface
    # Guards against a proxy or another server that answers in place of the platform.
    Then hostile replies raise the error of an unavailable platform

  Scenario: Invalid entries in the list of instances
    # Guards against one malformed entry that hides all backend servers.
    Then invalid entries are left out and the others are returned

  Scenario: An unchanged list of instances
    # Guards against a list of 0.6 MB that is sent again with every read, against one
    # that stays when the platform has a newer one, and against a damaged one.
    Then the HTTP client gets the list only when it has changed, with a later time
    And a damaged compressed list raises the error of an unavailable platform
