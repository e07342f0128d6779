Feature: Client accounts and their API keys

  Scenario: A key belongs to the account that the version in force gives it
    # Guards against a key that stays valid after it was revoked, and against one that
    # passes for another account.
    Then after any versions each key gives the account of the newest one, or none
    And a version in which two accounts share a key or a name is refused without the key

  Scenario: A key is read from exactly one well-formed header
    # Guards against a caller that is taken for another one, and against a key in an
    # error text.
    Then any headers give the key of the only bearer token, or a problem without it

  Scenario: A request that waits is held to the keys in force when it is sent
    # Guards against a request that is sent after its key was revoked.
    Then at any versions and ages a waiting request is refused for what holds then

  Scenario: An instance without contact to the store refuses keys only if it is set so
    # Guards against revoked keys that stay in use at an instance that is cut off, and
    # against refusals where the deployment has not asked for them.
    Then keys are refused as stale beyond the age of the settings, and never by default
