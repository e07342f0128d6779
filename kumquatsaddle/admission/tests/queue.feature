Feature: The queue of a service

  Scenario Outline: Modest work is served in time while one rank floods
    # Guards against a flood of <rank> requests that crowds out the other ranks; the
    # same check must fail for a first-in-first-out queue, or it shows nothing.
    Given 3 simulated seconds in which <rank> requests arrive at 10 times the capacity
    Then the queue serves 99 percent of the other ranks in time
    And first-in-first-out does not

    Examples:
      | rank     |
      | urgent   |
      | standard |
      | bulk     |

  Scenario: A modest account is served in time while another one floods
    # Guards against one account that takes the service of the others of its rank.
    Given 3 simulated seconds in which one of two accounts floods
    Then the queue serves 99 percent of the modest account in time
    And first-in-first-out does not

  Scenario: An account gets its floor while 50 others flood
    # Guards against a floor that fair shares alone would undercut.
    Given 3 simulated seconds in which an account asks for its floor among 50 floods
    Then the queue serves 99 percent of the account with a floor in time
    And first-in-first-out does not

  Scenario: A waiting rank is served its floor share in every window
    # Guards against a rank that starves for a while although its average is right.
    Then every waiting rank gets its share of any window for any floors

  Scenario: Waiting accounts of a rank are served equally
    # Guards against service that depends on how much an account has queued.
    Then the service of waiting accounts never differs by more than one request

  Scenario: An account claims nothing for the time it was away
    # Guards against a new account that is served alone until it has caught up.
    Then a new account and one that was served for long take turns

  Scenario: Within an account the earliest deadline is served first
    # Guards against requests that expire behind others that could have waited.
    Then the waiters of an account leave in the order of their deadlines

  Scenario: What can no longer be answered in time is refused
    # Guards against slots spent on answers that come too late.
    Given a queue whose usual service time is 0.5 seconds
    When one waiter with 2 seconds and one with 8 seconds are queued
    And 1.6 seconds pass
    Then the first is refused with reason deadline and the second is served

  Scenario: A high estimate of the service time does not refuse a new request
    # Guards against a service that refuses everything after it was slow once, and so
    # never gets the answers that would lower the estimate.
    Given a queue whose usual service time is 60 seconds
    Then a new request with 1 second to its deadline is served

  Scenario: A full line drops the newest request of the largest account
    # Guards against a flood that pushes the requests of other accounts out.
    Then a full line drops the same waiter as a plain model for any pushes

  Scenario: A waiter without a fitting server does not block others
    # Guards against a retry or an order that waits for its servers and holds up work
    # for which slots are free.
    Given waiters that exclude all servers and orders while servers are on probation
    Then an idempotent request behind them is served with one check for each kind

  Scenario: Memory stays bounded
    # Guards against state that grows with accounts and with requests that gave up.
    When 30000 requests of 5000 accounts are queued and most give up
    Then the queue holds a bounded number of entries and accounts

  Scenario: No waiter is lost or served twice
    # Guards against bookkeeping that drifts under any order of operations.
    Then every waiter leaves exactly once for any order of pushes, pops and removals
