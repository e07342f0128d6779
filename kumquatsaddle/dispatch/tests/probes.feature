Feature: Answers of health endpoints

  Scenario Outline: A health endpoint that answers with <answer>
    # Guards against an answer to a probe that ends the instance or its probes, or that
    # takes a server out of service without its word.
    When the health endpoint of a server answers with <answer>
    Then the probe ends and the server stays in service

    Examples:
      | answer                     |
      | nothing                    |
      | bytes that are no answer   |
      | such bytes without end     |
      | a head without end         |
      | a body without end         |
      | half of a body             |
      | a text that is no JSON     |
      | JSON that is nested deeply |
