Feature: kumquatsaddle-ctl

  Scenario: The whole command against a running instance
    # Guards against a command that does not fit the API or hypercorn.
    Given a running instance with an operators' token
    Then accounts are created, edited, compared, explained and deleted by the command
    And each class of error has its exit code

  Scenario: Lost replies of an instance
    # Guards against a change that is made twice because a reply was lost.
    Then a repeated change has the same id at the next address and is marked
    And a change without any answer is reported as unknown with its id
    And a change that no instance can have received is reported as not written

  Scenario: Repeating an edit by hand
    # Guards against an edit that is accepted twice because it read its own result.
    Then a repetition of an edit needs the version that the first attempt saw

  Scenario: Validation without an instance
    # Guards against a configuration file that fails only when it is applied.
    Then files of entities are checked offline with the place of the first problem

  Scenario: Pruning claims
    # Guards against claims that are removed while a repeat may still come.
    Then only claims older than 24 hours are removed
