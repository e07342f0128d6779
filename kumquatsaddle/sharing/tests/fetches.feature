Feature: Fetches from an instance whose answer is broken

  Scenario Outline: An instance that answers a fetch with <answer>
    # Guards against an answer that ends the instance that asked, or that holds it until
    # its memory is full.
    When an instance answers a fetch with <answer>
    Then the fetch fails after at most 24 MB

    Examples:
      | answer                       |
      | nothing                      |
      | bytes without end            |
      | a frame without end          |
      | half of a frame              |
      | a reset in a frame           |
      | a frame that is no message   |
      | a frame of bytes of one kind |
