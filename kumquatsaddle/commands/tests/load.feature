Feature: The load tool

  Scenario: A load is sent, counted and bounded
    # Guards against figures that miss requests and loads that do not stop.
    Then an open-loop load of three ranks is counted by rank, outcome and reason
    And a load stops at its count and skips what exceeds its requests in flight

  Scenario: Operation ids make repeats safe
    # Guards against orders that the tool itself runs twice.
    Then every request that is not idempotent carries its own issued id
    And a request without an answer is repeated with its id
    And a repeat that is refused leaves the outcome unknown

  Scenario: Addresses are kept for their time to live
    # Guards against a caller that asks before each request, or never again.
    Then addresses are asked once in their time to live and again after a failure

  Scenario: A load is sent over TLS
    # Guards against callers that talk to anyone who listens.
    Then requests over TLS reuse their connection and trust the authority only

  Scenario Outline: Invalid arguments are named
    # Guards against a run that measures something else than asked.
    Then load with "<arguments>" exits with <code> and says "<message>"

    Examples:
      | arguments                                                  | code | message     |
      | --seed=x --flow=service=a,account=b,target=/               | 2    | --seed      |
      | --seed=127.0.0.1:1 --flow=service=a,account=b              | 2    | target      |
      | --seed=127.0.0.1:1 --flow=service=a,account=b,target=/,x=1 | 2    | x=1         |
      | --seed=127.0.0.1:1 --flow=service=a,account=b,target=/,rank=top | 2 | urgent     |
      | --seed=127.0.0.1:1 --flow=service=a,account=b,target=/,rate=nan | 2 | rate       |
      | --seed=127.0.0.1:1 --flow=service=a,account=b,target=/ --seconds=0 | 2 | --seconds |
      | --seed=127.0.0.1:1 --flow=service=a,account=b,target=/ --count=1e3 | 2 | --count |
      | --seed=127.0.0.1:1 --flow=service=a,account=b,target=/ --ca-file=/none | 2 | --ca-file |
      | --seed=127.0.0.1:1 --flow=service=a,account=b,target=/ --seconds=0.3 --json | 9 | no seed |
