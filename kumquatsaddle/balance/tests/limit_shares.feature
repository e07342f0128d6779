Feature: Shares of the rate limit of a backend server

  Scenario: The shares of all instances add up to the rate
    # Guards against instances that together send more than a server accepts.
    Then for any fleet the shares of each server add up to at most its rate
    And few instances have a share of a server with a low rate

  Scenario: A zone without servers of a limited service has a share of others
    # Guards against callers of a zone that are refused while other zones are served.
    Then for any fleet each of up to 3 zones without servers has a share
