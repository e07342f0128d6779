Feature: Judgement of an instance on itself

  Scenario: A lagging event loop impairs
    # Guards against an instance that answers callers late and stays in the answer.
    Given an instance that judges itself
    When its event loop lags by 0.3 s for 0.3 s
    Then it is impaired by event_loop_lag within 0.1 s
    And it is alive again 5 s after the cause ended

  Scenario: One short pause does not impair
    # Guards against a garbage collection that takes instances out of the answer.
    Given an instance that judges itself
    When its event loop lags by 0.3 s for 0.1 s
    Then it stays alive

  Scenario: Failing probes impair
    # Guards against an instance with a broken network that callers still use.
    Given an instance that judges itself
    When more than half of its probes fail
    Then it is impaired by probes_fail within 0.1 s
    And it is alive again 5 s after the cause ended

  Scenario: An old configuration impairs after 10 s
    # Guards against an instance that applies old limits for long.
    Given an instance that judges itself
    When its peers have a later configuration
    Then it is impaired by configuration_stale within 10.2 s
    And it is alive again 5 s after the cause ended

  Scenario: Configuration changes that arrive in time do not impair
    # Guards against impairment by a steady stream of changes.
    Given an instance that judges itself
    When a change arrives every 4 s and is in force 3 s later
    Then it stays alive

  Scenario: Unreachable backend servers impair
    # Guards against an instance that is home of servers it cannot reach.
    Given an instance that judges itself
    When none of its backend servers is reachable
    Then it is impaired by no_backend_reachable within 3.2 s
    And it is alive again 5 s after the cause ended

  Scenario: An instance without groups or platform stays alive
    # Guards against a fleet that shrinks to its homes, or ends with the platform.
    Given an instance that judges itself
    When it has no groups and the platform is away
    Then it stays alive

  Scenario: A joining or leaving instance is not made alive
    # Guards against a judgement that undoes a graceful stop.
    Then judging does not change the states JOINING and LEAVING

  Scenario: Impaired instances leave the address answer unless most are impaired
    # Guards against an empty address answer when one cause hits the whole fleet.
    Then any fleet has serving members, and a common impairment keeps its members

  Scenario: The reason of an impairment reaches the peers
    # Guards against peers that cannot tell a common cause from many different ones.
    Then a record with an impairment is the same after a message
