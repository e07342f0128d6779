Feature: Stopping and TLS of the server for callers

  Scenario: A stop cuts nothing off
    # Guards against requests that are lost in a planned stop.
    Then a request in flight when the stop begins is answered with Connection: close
    And an idle connection may send its request during the notice period
    And a connection in the backlog is served although the listener closes
    And a connection accepted last is served before the stop ends

  Scenario: The phases of a stop end before the process is killed
    # Guards against requests in flight that are cut off by the kill although their
    # time was not over, and against a grace far shorter than the platform allows.
    Then the notice and the grace end before the kill, and use the time until it

  Scenario: Half of a stop is left for the requests that were started
    # Guards against requests that are whole late in a stop, are started because others
    # of their route were fast, and are cut off by the end of the process.
    Then a request is started in no more than the first half of the time until the kill

  Scenario: Idle connections are closed at the end of the notice period
    # Guards against a stop that waits for callers to close idle connections.
    Then idle connections are closed when the notice period ends
    And a request whose first bytes arrive at that moment is still answered

  Scenario: Callers connect with TLS
    # Guards against a certificate that is replaced only by a restart.
    Then a caller that trusts the certificate authority is answered over TLS
    And a new certificate is used after a reload and a broken one is refused
    And SIGHUP applies live settings and refuses a file that changes others
    And a caller of a TLS port that sends plain HTTP or nothing is dropped in time

  Scenario: Instances verify each other
    # Guards against links from processes without a certificate of the fleet.
    Then instances with certificates of the same authority complete the handshake
    And an instance without a certificate or with one of another authority is refused
