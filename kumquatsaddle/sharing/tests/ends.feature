Feature: Ends of backend servers known to all instances

  Scenario: Ends that different instances saw are counted together
    # Guards against a request that ends one server at each instance to which its caller goes.
    Given a fleet of two zones whose instances know each other
    When an end under one digest is seen in each zone, 2 seconds apart
    Then all instances block the digest within a second, and no other one

  Scenario: An instance that starts learns what is blocked
    # Guards against a restarted instance that sends the request to further servers.
    Given a fleet of two zones whose instances know each other
    When an end under one digest is seen in each zone, 2 seconds apart
    And an instance is restarted 20 seconds later
    Then it blocks the digest within a second

  Scenario: The instance that saw an end may be lost
    # Guards against a count that is gone with the instance that kept it.
    Given a fleet of two zones whose instances know each other
    When an instance sees an end and is killed, and another one sees an end later
    Then all instances that are left block the digest within a second

  Scenario: An answer clears the digest everywhere
    # Guards against a good request that stays blocked at instances that saw only ends.
    Given a fleet of two zones whose instances know each other
    When a digest that all instances suspect is answered at one of them
    Then no instance suspects it 2 seconds later

  Scenario: Ends survive encoding and decoding
    # Guards against fields that are lost or mixed up on the way.
    Then ends with any digest, server and age survive encoding and decoding
