Feature: Every caller gets the whole answer to its own request

  Scenario Outline: <faults> on keep-alive connections, seed <seed>
    # Guards against truncated answers that look complete, and against answers to the
    # request of another caller on a reused connection.
    Given a fleet of 3 instances
    When 12 callers send lookups on keep-alive connections under <faults> of seed <seed>
    Then each answer was complete and belonged to its request
    And most callers received answers

    Examples:
      | faults            | seed |
      | cut_answers       | 41   |
      | delay_answers     | 42   |
      | lose_answers      | 43   |
      | break_connections | 44   |
      | slow_backend      | 45   |

  Scenario: Gray servers everywhere do not push a service below its floor
    # Guards against independent ejections by several homes that together leave fewer
    # servers in use than the floor allows.
    Given a fleet of 3 instances
    When all servers of a service fail half of their requests under load
    Then at no time more servers were ejected than the floor allows
    And some server was ejected
