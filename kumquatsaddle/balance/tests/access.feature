Feature: Requests whose API key is revoked after they were accepted

  Scenario: A key is revoked while a connection to the server is opened
    # Guards against a request that is written to a server after its key was revoked.
    Then a request whose key is revoked before the first byte is refused as unauthorized
    And the server that was chosen for it counts as no worse than before

  Scenario: A key is revoked between two attempts
    # Guards against a retry of a request whose key was revoked, and against `not-run`
    # for a request that may have run.
    Then after a refusal by the server the request is refused as unauthorized
    And after a failure that may have run it keeps the answer of the attempt
