Feature: Operators' API and pages

  Scenario: Health endpoints
    # Guards against traffic to an instance that has no configuration.
    Given an operators' server with a token
    Then it is alive at once and ready only with a configuration

  Scenario: Tokens
    # Guards against an API that accepts requests without the right token.
    Then only health is answered without a token, with a wrong one or without a setting
    And basic authentication opens the pages but not the API

  Scenario: An account from creation to deletion
    # Guards against changes that overwrite those of another operator.
    Given an operators' server with a token
    Then an account is created, read, changed, compared and deleted by its version

  Scenario: Errors name the field
    # Guards against errors that do not tell the operator which field is wrong.
    Given an operators' server with a token
    Then invalid requests to the API are refused with field and outcome

  Scenario: Draining a backend server
    # Guards against a drain that takes effect on one instance only.
    Given an operators' server with a token
    Then a drained backend server is listed as leaving until it is undrained

  Scenario: Explaining a request
    # Guards against an explanation that differs from the handling of the request.
    Given an operators' server with a token
    Then a request is explained with rank, limit and homes
    And each home is explained with the share of the limit that applies there

  Scenario: Status page
    # Guards against scripts in names that run in the operator's browser.
    Given an operators' server with a token
    Then the status page escapes every value and the JSON has the same parts

  Scenario: Versions of all instances
    # Guards against a list of outdated versions.
    Given an operators' server with a token
    Then members not heard of recently are asked for their version
