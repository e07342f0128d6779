Feature: Judgement of an instance on itself

  Scenario: A lagging event loop impairs
    # Guards against an instance that answers late and whose address callers still get.
    Given an instance that evaluates its own state
    When its event loop lags by 0.3 s for 0.3 s
    Then it is impaired by event_loop_lag within 0.1 s
    And it is alive again 5 s after the cause ended

  Scenario: One short pause does not impair
    # Guards against a garbage collection that withdraws instances from callers.
    Given an instance that evaluates its own state
    When its event loop lags by 0.3 s for 0.1 s
    Then it stays alive

  Scenario: Failing probes impair
    # Guards against an instance with a broken network that callers still use.
    Given an instance that evaluates its own state
    When more than half of its probes fail
    Then it is impaired by probes_fail within 0.1 s
    And it is alive again 5 s after the cause ended

  Scenario: An old configuration impairs after 10 s
    # Guards against an instance that applies old limits for long.
    Given an instance that evaluates its own state
    When its peers have a later configuration
    Then it is impaired by configuration_stale within 10.2 s
    And it is alive again 5 s after the cause ended

  Scenario: Configuration changes that arrive in time do not impair
    # Guards against impairment by a steady stream of changes.
    Given an instance that evaluates its own state
    When a change arrives every 4 s and is in force 3 s later
    Then it stays alive

  Scenario: Unreachable backend servers impair
    # Guards against an instance that is home of servers it cannot reach.
    Given an instance that evaluates its own state
    When none of its backend servers is reachable
    Then it is impaired by no_backend_reachable within 3.2 s
    And it is alive again 5 s after the cause ended

  Scenario: An instance without groups or platform stays alive
    # Guards against a fleet in which only homes stay alive, or none while the platform
    # is unreachable.
    Given an instance that evaluates its own state
    When it has no groups and the platform is unreachable
    Then it stays alive

  Scenario: A joining or leaving instance is not made alive
    # Guards against an evaluation that undoes a graceful stop.
    Then evaluation does not change the states JOINING and LEAVING

  Scenario: Impaired instances leave the address answer unless most are impaired
    # Guards against an empty address answer when one cause hits the whole fleet.
    Then any usable fleet has serving members, and a common impairment excludes none

  Scenario: The reason of an impairment reaches the peers
    # Guards against peers that cannot distinguish a common cause from different ones.
    Then a record with an impairment survives encoding in a message
