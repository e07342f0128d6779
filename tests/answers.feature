Feature: Every caller gets the whole answer to its own request

  Scenario Outline: <faults> on keep-alive connections, seed <seed>
    # Guards against truncated answers that look whole, and against answers to the
    # request of another caller on a connection that is used again.
    Given a fleet of 3 instances
    When 12 callers send lookups on their connections under <faults> of seed <seed>
    Then each answer was whole and the caller's own
    And most callers got answers

    Examples:
      | faults            | seed |
      | cut_answers       | 41   |
      | delay_answers     | 42   |
      | lose_answers      | 43   |
      | break_connections | 44   |
      | slow_backend      | 45   |

  Scenario: Gray servers everywhere do not push a service below its floor
    # Guards against ejections of several homes that add up below the floor.
    Given a fleet of 3 instances
    When all servers of a service fail half of their work under load
    Then at no time more servers were ejected than the floor allows
    And some server was ejected
