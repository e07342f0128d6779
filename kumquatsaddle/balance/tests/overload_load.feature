Feature: What callers get under scarcity, by a simulation of the load

  Scenario Outline: The kinds of requests of <mix> at 0.7 to 2.5 times the capacity
    # Guards against slots spent on late answers, refusals at the deadline and less urgent
    # kinds that are served more often than more urgent ones.
    When <mix> requests are sent for <seconds> seconds at loads of <loads>
    Then with the order by value no kind of higher rank is served less often
    And none waits until its latest start
    And at each load the answers are worth at least as much as by deadline
    And beyond the capacity more is answered in time than by deadline

    Examples:
      | mix      | seconds | loads               |
      | reads    | 20      | 0.7 1.0 1.3 1.8 2.5 |
      | postings | 60      | 0.7 1.0 1.3 1.8 2.5 |
      | commands | 8       | 0.7 1.3 2.5         |
      | valves   | 8       | 0.7 1.3 2.5         |

  Scenario: Bursts that end before the less urgent kind has to start
    # Guards against a less urgent kind that outlasts the bursts and is served more often.
    When reads are sent for 45 seconds in bursts of 1.2 1.4 2.6
    Then with the order by value no kind of higher rank is served less often
    And none waits until its latest start
    And at each load the answers are worth at least as much as by deadline

  Scenario Outline: A flood of one account at <load> times the capacity
    # Guards against an account that takes the service of the others, and one that is
    # refused much more often than the others.
    When reads are sent at <load> with one account at 9 times its usual load
    Then the answers to the other accounts are worth more than by deadline
    And each account is served at least a quarter as often as all

    Examples:
      | load |
      | 1.0  |
      | 1.3  |
      | 1.8  |

  Scenario: The largest account at 6 times its usual load
    # Guards against a flood that takes slots through the queues of all instances.
    When reads are sent at 0.8 with the largest account at 6 times its usual load
    Then the answers to the other accounts are worth more than by deadline
    And the other accounts are served more often than the flooding one
    And each account is served at least a quarter as often as all

  Scenario: An account whose callers repeat at once and often
    # Guards against callers that gain by impatience what the others lose.
    When reads are sent at 1.3 with one account that repeats at once and often
    Then the answers to the other accounts are worth more than by deadline
    And each account is served at least a quarter as often as all
