Feature: An instance without routes, or that has refused newer ones, says so

  Scenario: No configuration is published
    # Guards against an instance that serves nothing and does not tell why.
    Given an instance on a platform without a configuration
    Then readiness is refused because "the store has no routes"
    And the status page, the metrics and the command show no routes and this problem
    When a valid configuration is published
    Then the instance becomes ready and shows no problem

  Scenario: The only configuration is invalid
    # Guards against an instance that seems to wait for the store while it has refused
    # what it read there.
    Given an instance on a platform without a configuration
    When a configuration with an unknown kind is published
    Then readiness is refused because "unknown kind 'Tenant'"
    And the status page, the metrics and the command show no routes and this problem
    And the log names the row and the problem

  Scenario: A newer configuration is refused
    # Guards against a change of the operator that has no effect and nobody notices.
    Given an instance on a platform with a configuration
    When a configuration with an unknown kind is published
    Then readiness is given, with the problem "unknown kind 'Tenant'"
    And the status page, the metrics and the command show both rows and this problem
    And requests are served by the configuration before
    When a valid configuration is published
    Then the instance becomes ready and shows no problem
