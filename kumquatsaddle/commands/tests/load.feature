Feature: The load tool

  Scenario: A load is sent, counted and bounded
    # Guards against requests that are not counted and loads that do not stop.
    Then an open-loop load of three ranks is counted by rank, outcome and reason
    And a load stops at its count and skips what exceeds its requests in flight

  Scenario: Operation ids make repeats safe
    # Guards against requests that run twice because the tool repeats them.
    Then every request that is not idempotent carries its own issued id
    And a request without an answer is repeated with its id
    And a repeat that is refused leaves the outcome unknown

  Scenario: Addresses are kept for their time to live
    # Guards against a caller that asks for addresses before each request, or only once.
    Then addresses are fetched once in their time to live and again after a failure

  Scenario: A load is sent over TLS
    # Guards against callers that accept a certificate of any authority.
    Then requests over TLS reuse their connection and trust only the given authority

  Scenario Outline: Invalid arguments are named
    # Guards against a run that ignores an argument that it cannot use.
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
