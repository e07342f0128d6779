Feature: Refusing under scarcity

  Scenario: Without estimates nothing is refused early
    # Guards against refusals at the start and on a new route, when nothing is known.
    Then for any requests that arrive at a new queue none is refused

  Scenario: What cannot start in time is refused at once with the time to return
    # Guards against requests that wait until their deadline passes.
    Given a queue by value that starts 4 requests a second
    When 20 requests with 2 seconds each arrive
    Then most of those behind the 8th are refused and the first is not
    And each refusal tells its place, the work before it and a time to return

  Scenario: The order by deadline refuses nothing early
    # Guards against a change for deployments that do not choose the order by value.
    Then for any requests the control by deadline refuses none

  Scenario: A less urgent rank is not served more often than a more urgent one
    # Guards against work with long deadlines that outlasts a burst of urgent work.
    Then for any starts and losses the surplus keeps the shares in the order of ranks

  Scenario: A less urgent rank keeps a floor that is no surplus
    # Guards against a rank that gets nothing during a flood of more urgent work.
    Given a queue by value in which urgent and bulk requests wait
    When the urgent ones start 100 times
    Then bulk ones are next in 3 to 7 of the turns after a loss of one

  Scenario: A flood of one account is beyond its usual load, other accounts are not
    # Guards against an account that delays all others.
    Given 20 accounts that each send 1 request a second for 60 seconds
    When one of them sends 9 requests a second for 10 seconds
    Then most of its requests and few of the others are beyond the usual load
    And at least a quarter of its requests are not

  Scenario: No account is starved
    # Guards against an account all of whose requests go behind those of the others.
    Then for any usual loads and floods each account keeps a quarter of the share of all

  Scenario: An account that repeats its requests raises nothing
    # Guards against a larger share for callers that retry more often.
    Given 20 accounts that each send 1 request a second for 60 seconds
    When one of them repeats each request 20 times for 10 seconds
    Then fewer than 4 requests a second of it are within the usual load

  Scenario: What is beyond the usual load is refused while others are late
    # Guards against a flood that takes slots through the queues of all instances.
    Then requests beyond the usual load are refused only if others within it are late
    And without accounts none is

  Scenario: The memory of accounts is bounded
    # Guards against 35,000 accounts at an instance with little memory.
    Then after requests of 35000 accounts at most 2000 are remembered

  Scenario: A pool refuses under scarcity with a reason, a counter and a log line
    # Guards against refusals that nobody can explain.
    Given a full server and a pool with the order by value
    When 30 requests of 2 seconds wait and 4 requests a second start
    Then some are refused as queue_full with a time to return
    And the log tells place, work before, slot rate and time left
    And the counter of refusals by rank and rule has the same number

  Scenario: A doubtful server with a free slot is no scarcity
    # Guards against requests refused that would be tried at the end of their time.
    Given a server that failed fast and a pool with the order by value
    Then waiting requests are not refused early

  Scenario: A single doubtful server does not end a shortage
    # Guards against requests that wait in vain because one of many servers is gray.
    Then one doubtful server of 10 with free slots is a shortage and three are none
    And a healthy one with a free slot is none

  Scenario: The cost of a change does not grow with the queue
    # Guards against an event loop that stands still while 500 requests wait.
    Then with 500 waiting requests a change takes one choice and no pass over all

  Scenario: A request that is refused while it waits has not run and never will
    # Guards against a refusal that says not run for a request that was sent.
    Then for any waiting requests that are refused none reaches a server
    And each of the others runs once
