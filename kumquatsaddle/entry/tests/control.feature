Feature: Links between instances

  Scenario: A fleet with certificates
    # Guards against links that use plain TCP or fail with TLS.
    Given a fleet of two instances with TLS between them
    Then a request is forwarded over a link with TLS
    And a client with the key but without a certificate is refused
    And a request over a refused link is answered not-run

  Scenario: New certificates
    # Guards against certificates of links that are replaced only by a restart.
    Then both ends of a link use new certificates after a reload
    And a broken control certificate leaves the old ones in use

  Scenario: Strangers
    # Guards against unauthenticated connections that use up memory and tasks or lock
    # out instances.
    Then silent and slow connections are closed after a few seconds
    And the oldest silent connections are closed in favor of new ones
    And a long first message is refused and a long second one is accepted
    And connections above the limit are closed at once
