Feature: Distribution between instances on loopback

  Scenario: A change and a start during an outage over real links
    # Guards against messages that the fakes do not encode, seal or frame.
    Given 2 instances on loopback with one key and a shared platform
    When a change is committed at one of them and the platform fails
    Then the other one has the change without reading the table
    And a third one starts from its peers with configuration and backend servers
    And a fourth one that lacks 300 changes gets a snapshot
