Feature: Stopping and TLS of the server for callers

  Scenario: A stop cuts nothing off
    # Guards against requests that a planned stop loses.
    Then a request in flight when the stop begins is answered with Connection: close
    And a connection without a byte may send its request during the notice period
    And a connection that the kernel accepted is served although the listener closes

  Scenario: Idle connections are closed at the end of the notice period
    # Guards against a stop that takes as long as callers keep connections.
    Then idle connections are closed when the notice period ends
    And a request whose first bytes arrive in that moment is still answered

  Scenario: Callers connect with TLS
    # Guards against a certificate that only a restart replaces.
    Then a caller that trusts the authority is answered over TLS
    And a new certificate is used after a reload and a broken one is refused
    And SIGHUP applies live settings and refuses a file that changes others
    And a plain or silent caller of a TLS port is dropped in time

  Scenario: Instances verify each other
    # Guards against links from a process without a certificate of the fleet.
    Then instances with certificates of one authority shake hands
    And an instance without one or of another authority is refused
