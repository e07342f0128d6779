Feature: Callers before an instance whose answers are broken

  Scenario Outline: An instance that answers a question for <question> with <answer>
    # Guards against an answer that ends the program of a caller with an error that it
    # does not expect, or makes it believe that a request was sent.
    When an instance answers a question for <question> with <answer>
    Then the request of the caller was not sent

    Examples:
      | question      | answer                     |
      | addresses     | a text that is no JSON     |
      | addresses     | JSON that is nested deeply |
      | addresses     | half of a body             |
      | addresses     | bytes that are no answer   |
      | operation ids | a text that is no JSON     |
      | operation ids | JSON that is nested deeply |
      | operation ids | half of a body             |
      | operation ids | bytes that are no answer   |
