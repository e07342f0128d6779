Feature: Quotas of client accounts over three zones

  Scenario Outline: <fault>
    # Guards against reports that come too rarely for owners to know who is in contact.
    Given 3 zones of 8 instances and an account with <rate> requests/s and a burst of <burst>
    When the account sends twice its quota and <fault>
    Then in no window it gets more than its bound
    And it got at least 90 % of its quota before
    And it gets at least 90 % of its quota again from 6 seconds after
    And every refusal has a Retry-After and took at most 0.25 seconds

    Examples:
      | fault                                                | rate | burst |
      | nothing happens for 8 seconds                        | 3    | 1     |
      | 30 % of the instances are cut off for 8 seconds      | 40   | 60    |
      | the zones cannot communicate for 8 seconds           | 40   | 20    |
      | half of the instances are killed and return after 2 seconds | 40 | 60 |
      | the owner is killed and returns after 8 seconds      | 10   | 30    |
      | the owner is suspended for 4 seconds                 | 10   | 30    |
