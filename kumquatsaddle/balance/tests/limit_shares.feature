Feature: Shares of the rate limit of a backend server

  Scenario: The shares of all instances add up to the rate
    # Guards against instances that together send more than a server accepts.
    Then for any fleet the shares of each server add up to at most its rate
    And few instances have a share of a server with a low rate

  Scenario: The shares of a fleet that has fallen apart add up to the rate
    # Guards against groups of zones that do not hear each other and each use the whole
    # rate of a server.
    Then for any groups of zones the shares of each server add up to at most its rate
    And a group uses the part of the zones in it, and all of it once the others have left

  Scenario: A zone without servers of a limited service has a share of others
    # Guards against callers of a zone that are refused while other zones are served.
    Then for any fleet each of up to 3 zones without servers has a share
