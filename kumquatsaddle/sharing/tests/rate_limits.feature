Feature: Rate limits of backend servers over all instances

  Scenario: All instances together stay within the rate that a server states
    # Guards against instances that each send what a server with a rate limit seems to have slots for.
    Then for any limits and numbers of instances no server gets more than its limit

  Scenario: A limit holds while instances are killed, cut off and started
    # Guards against instances that count a share twice while they disagree on who is there.
    Then no server gets more than its limit from instances that are not disturbed

  Scenario: The rate that a server accepts is used
    # Guards against servers that stay idle because too few instances may use them.
    Given a fleet with more requests than its servers with limits accept
    Then each server gets at least 0.6 times its rate

  Scenario: A server is used fully again after its limit has ended
    # Guards against a limit that instances that may not use the server keep for good.
    Given a fleet in which limits of 1 request a second end
    Then no instance knows a limit 4 seconds later
    And each server gets more than before

  Scenario: What the limits leave no room for is refused at once
    # Guards against requests that wait until their deadline although no server may take them.
    Given a fleet with more requests than its servers with limits accept
    Then each request that was refused is told when to come back and was refused at once
    And no request that was accepted misses its deadline

  Scenario: A limit that ended while an instance was cut off is forgotten there
    # Guards against servers that an instance leaves unused for good.
    Given limits that end while an instance without requests is cut off for 20 seconds
    Then it knows no limit 35 seconds later, after 8 seconds with requests

  Scenario: The surplus of a service with a server without a limit is refused early
    # Guards against requests that wait until their deadline although no server can take them in time.
    Given an overloaded fleet in which all servers but one have limits
    Then few requests wait until their time is over and are refused then

  Scenario: A limit in a zone without instances is known for as long as it lasts
    # Guards against zones that forget a limit because no instance is left in that of the server.
    Given limits for 75 seconds in a zone that loses all its instances
    Then all other instances still know the limits
    And no server gets more than its limit, from any zone
