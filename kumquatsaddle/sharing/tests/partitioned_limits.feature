Feature: Rate limits of backend servers in a fleet that has fallen apart

  Scenario: Zones that lose each other together stay within the rate
    # Guards against two zones that each use the whole rate of a server, because a zone
    # that is not heard counts as absent.
    Then no server gets more than its limit while zones do not hear each other

  Scenario: The rate of a server is used while a zone is cut off
    # Guards against a limit that is left unused because one zone is not heard.
    Then each server gets at least half of its rate while one zone of three is cut off
