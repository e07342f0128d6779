Feature: Answers to HEAD

  Scenario: The length of the answer to GET
    # Guards against Content-Length: 0 instead of the length of the answer to GET.
    Then an answer to HEAD has the length of the answer to GET on every instance
    And an answer to HEAD without a valid length from the backend server has none
    And a length from the backend server is not passed on in answers to GET
