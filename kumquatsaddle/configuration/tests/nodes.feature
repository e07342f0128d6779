Feature: Distribution between instances on loopback

  Scenario: A change and a start during an outage over real links
    # Guards against faults in encoding, sealing and framing, which the fakes skip.
    When one of 2 instances on loopback commits a change and the platform fails
    Then the other one has the change without reading the table
    And a third one starts from its peers with configuration and backend servers
    And a fourth one that lacks 300 changes gets a snapshot
