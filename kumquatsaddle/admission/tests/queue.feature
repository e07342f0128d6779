Feature: The queue of a service

  Scenario Outline: Modest work is served in time while one rank floods
    # Guards against a flood of <rank> requests that starves the other ranks. The check
    # must fail for a first-in-first-out queue, which shows that it can fail.
    Given 3 simulated seconds in which <rank> requests arrive at 10 times the capacity
    Then the queue serves 99 percent of the other ranks in time
    And first-in-first-out does not

    Examples:
      | rank     |
      | urgent   |
      | standard |
      | bulk     |

  Scenario: A modest account is served in time while another one floods
    # Guards against an account that starves the others of its rank.
    Given 3 simulated seconds in which one of two accounts floods
    Then the queue serves 99 percent of the modest account in time
    And first-in-first-out does not

  Scenario: An account gets its floor while 50 others flood
    # Guards against fair shares that give an account less than its floor.
    Given 3 simulated seconds in which an account asks for its floor among 50 floods
    Then the queue serves 99 percent of the account with a floor in time
    And first-in-first-out does not

  Scenario: A waiting rank is served its floor share in every window
    # Guards against a rank that starves for a time although its average share is kept.
    Then every waiting rank gets its share of any window for any floors

  Scenario: Waiting accounts of a rank are served equally
    # Guards against shares that depend on the number of waiting requests of an account.
    Then the service of waiting accounts never differs by more than one request

  Scenario: An account claims nothing for the time it was away
    # Guards against a new account that is served alone until it has received as much
    # service as the others.
    Then a new account and one that was served for long take turns

  Scenario: Within an account the earliest deadline is served first
    # Guards against requests that expire behind others with later deadlines.
    Then the waiters of an account leave in the order of their deadlines

  Scenario: What can no longer be answered in time is refused
    # Guards against slots that are used for answers after the deadline.
    Given a queue whose usual service time is 0.5 seconds
    When one waiter with 2 seconds and one with 8 seconds are queued
    And 1.6 seconds pass
    Then the first is refused with reason deadline and the second is served

  Scenario: A high estimate of the service time does not refuse a new request
    # Guards against an estimate from a slow period that refuses every request. Without
    # answers it would never be lowered.
    Given a queue whose usual service time is 60 seconds
    Then a new request with 1 second to its deadline is served

  Scenario: A full line drops the newest request of the largest account
    # Guards against a flood that makes the queue drop the requests of other accounts.
    Then a full queue drops the same waiter as a simple model for any pushes

  Scenario: A waiter without a fitting server does not block others
    # Guards against a waiter without a fitting server that blocks others for which slots
    # are free. It may be a retry or a request that is not idempotent.
    Given waiters that exclude all servers and others that are not idempotent
    Then an idempotent request behind them is served with one check for each kind

  Scenario: Memory stays bounded
    # Guards against state that grows with accounts and with cancelled requests.
    When 30000 requests of 5000 accounts are queued and most are cancelled
    Then the queue holds a bounded number of entries and accounts

  Scenario: No waiter is lost or served twice
    # Guards against counts and indexes that become inconsistent.
    Then every waiter leaves exactly once for any order of pushes, pops and removals
