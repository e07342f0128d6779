Feature: Answers to HEAD

  Scenario: The length of the answer to GET
    # Guards against Content-Length: 0 in place of the length that was asked for.
    Then an answer to HEAD has the length of the answer to GET on every instance
    And an answer to HEAD with no valid length of a backend server has none
    And a length of a backend server is not passed on in answers to GET
