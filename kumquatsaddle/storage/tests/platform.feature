Feature: The platform's interface

  Scenario: Both implementations behave alike
    # Guards against an in-memory platform that hides faults of the HTTP client, because
    # it behaves differently.
    Then the memory and the HTTP platform give the same results for rows and objects

  Scenario: Replies are lost after the effect
    # Guards against a change that is written twice, or reported as a conflict with itself,
    # because a retry follows a write whose reply was lost.
    Given a stand-in of the platform that loses the replies of 2 writes
    When a change is committed through the HTTP client
    Then the change log contains it once, with the returned version

  Scenario: Writes take effect after the client has given up
    # Guards against a wrong result for a write that takes effect after its timeout.
    Given a stand-in of the platform that handles calls after 0.4 seconds
    When a change is committed with a timeout of 0.1 seconds for each call
    Then its result is unknown and a repeated request finds it committed once

  Scenario: The platform is down
    # Guards against exceptions of the HTTP library that end a task, untranslated.
    Given a stand-in of the platform that refuses every call
    Then every method of the HTTP client raises the error of an unavailable platform

  Scenario: Replies that are not of the interface
    # Guards against the replies of a proxy or another server at the address of the
    # platform.
    Then hostile replies raise the error of an unavailable platform

  Scenario: Invalid entries in the list of instances
    # Guards against one malformed entry that hides all the other backend servers.
    Then invalid entries are left out and the others are returned

  Scenario: An unchanged list of instances
    # Guards against a transfer of the whole list of 0.6 MB with every read, against an
    # outdated cached list, and against a damaged reply.
    Then the HTTP client gets the list only when it has changed, with a later time
    And a damaged compressed list raises the error of an unavailable platform

  Scenario Outline: A platform that sends <bytes>
    # Guards against a reply that fills the memory of an instance, and against one that
    # passes for a whole reply because its connection ends.
    When a platform sends <bytes>
    Then a read through the HTTP client fails after at most 24 MB

    Examples:
      | bytes                    |
      | a line without end       |
      | a head without end       |
      | a body without end       |
      | chunks without end       |
      | bytes that are no answer |
      | half of a body           |
      | half of a JSON text      |
