Feature: kumquatsaddle-ctl

  Scenario: The whole command against a running instance
    # Guards against requests that the API or hypercorn does not accept.
    Given a running instance with an operators' token
    Then accounts are created, edited, compared, explained and deleted by the command
    And each class of error has its exit code

  Scenario: Lost replies of an instance
    # Guards against a change that is made twice because a reply was lost.
    Then a repeated change goes to the next address with the same id and a repeated header
    And a change that gets no conclusive reply is reported as unknown with its id
    And a change that no instance can have received is reported as not written

  Scenario: An instance that sends a reply without end
    # Guards against a tool that collects a reply until the memory of its machine is full.
    Given an instance that sends a reply without end
    Then a command through the client fails after at most 32 MB

  Scenario: Repeating an edit by hand
    # Guards against a repeated edit that reads the version its first attempt wrote and
    # is then accepted a second time.
    Then a repeated edit needs the version that the first attempt was based on

  Scenario: Validation without an instance
    # Guards against a configuration file that fails only when it is applied.
    Then files of entities are checked offline with the place of the first problem

  Scenario: Pruning claims
    # Guards against claims that are removed while their request may still be repeated.
    Then only claims older than 24 hours are removed
