Feature: The review of published routes

  Scenario: A sound table has no finding
    # Guards against warnings about what works, which teach operators to ignore them.
    Then a sound table has no finding, with its capacity and without

  Scenario Outline: <oddity> gives <check>
    # Guards against a version that is sent although a part of it cannot work.
    Then a table with <oddity> gives only the warning <check>

    Examples:
      | oddity                              | check                           |
      | a host with a port                  | unreachable_route               |
      | a host outside ASCII                | unreachable_route               |
      | a prefix with a question mark       | unreachable_route               |
      | two routes of one name              | repeated_route_name             |
      | a share of weight 0                 | zero_weight                     |
      | an objective above the timeout      | objective_above_timeout         |
      | a timeout below the work            | timeout_below_work              |
      | an account without keys             | account_without_keys            |
      | a burst of half a request           | burst_below_one                 |
      | a quota above all services          | quota_above_capacity            |
      | an idle timeout below the head's    | idle_timeout_below_head_timeout |
      | a service that no route names       | unused_service                  |
      | no routes and services              | no_routes                       |

  Scenario: A prefix is unreachable if and only if the entry refuses it
    # Guards against a review that knows other characters of a path than the entry.
    Then any prefix is unreachable if and only if no request can have it as its path

  Scenario: Errors hide no warnings and give no false ones
    # Guards against entries that seem unused or removed because others are invalid.
    Then a table with entries left out has only warnings about single entries

  Scenario: A table compared with itself has no difference
    # Guards against differences that come from the order or the form of entries.
    Then any table compared with itself, in any order, has no finding

  Scenario: Every change is shown
    # Guards against a change that is sent unseen, since the review says that there is
    # none.
    Then a change of any field of any entry gives a difference of that entry

  Scenario: Added and removed entries are shown
    # Guards against the same for whole entries and for API keys.
    Then each added or removed entry and key is a difference

  Scenario: A version that instances would refuse to follow is a warning
    # Guards against a change that is sent with an old version and never takes effect.
    Then a changed table gives a warning unless its version is newer

  Scenario: A version without accounts is a warning if there are some now
    # Guards against a configuration that opens all routes to callers without a key.
    Then a table that loses all its accounts gives a warning
