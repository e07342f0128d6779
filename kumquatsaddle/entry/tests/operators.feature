Feature: Operators' API and pages

  Scenario: Health endpoints
    # Guards against work for an instance that has no configuration.
    Given an operators' server with a token
    Then it is alive at once and ready only with a configuration

  Scenario: Tokens
    # Guards against an API that is open without a token or to a wrong one.
    Then only health is answered without a token, with a wrong one or without a setting
    And basic authentication opens the pages but not the API

  Scenario: An account from creation to deletion
    # Guards against edits that overwrite those of another operator.
    Given an operators' server with a token
    Then an account is created, read, changed, compared and deleted by its version

  Scenario: Errors name the field
    # Guards against errors that leave the operator searching.
    Given an operators' server with a token
    Then hostile requests to the API are refused with field and outcome

  Scenario: Draining a backend server
    # Guards against a drain that only one instance knows.
    Given an operators' server with a token
    Then a drained backend server is listed as leaving until it is undrained

  Scenario: Explaining a request
    # Guards against an explanation that differs from what callers get.
    Given an operators' server with a token
    Then a request is explained with rank, limit and homes

  Scenario: Status page
    # Guards against markup in names that runs in the operator's browser.
    Given an operators' server with a token
    Then the status page escapes every value and the JSON has the same parts

  Scenario: Versions of all instances
    # Guards against a list that shows only what was heard long ago.
    Given an operators' server with a token
    Then members not heard of recently are asked for their version
