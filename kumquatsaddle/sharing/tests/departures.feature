Feature: Leaving backend servers known to all instances

  Scenario: All instances stop within a second after one of them was told
    # Guards against a zone that goes on using a leaving server until the list shows it.
    Given a fleet of two zones in which a server says that it leaves
    Then 2 seconds after its first such answer no instance sends to it

  Scenario: A restarted instance does not use it again
    # Guards against an instance that learns of the server only from the list.
    Given a fleet of two zones in which a server says that it leaves
    When an instance is restarted 4 seconds later
    Then it sends nothing to that server once it has heard of a peer

  Scenario: An instance that was cut off does not use it again
    # Guards against a returned instance that brings the server back.
    Given a fleet of two zones in which a server says that it leaves
    When an instance was cut off for the 6 seconds around it
    Then a second after its return it sends nothing to that server

  Scenario: Reports name it only while the list does not
    # Guards against reports that grow with every server that has ever left.
    Given a fleet of two zones in which a server says that it leaves
    Then once the list shows it as draining no report names it

  Scenario: A departure keeps its place in a report
    # Guards against fields that are lost or mixed up on the way.
    Then departures survive encoding and decoding
