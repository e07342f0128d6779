Feature: kumquatsaddle-check

  Scenario: Valid files
    # Guards against a check that cannot be used in scripts.
    Then a valid settings file prints nothing, and its values with --verbose

  Scenario: Hostile settings
    # Guards against an instance that starts with half of its settings.
    Then each hostile settings file is refused with file, section and key

  Scenario: A file of entities besides the settings
    # Guards against a configuration file that is checked by name only.
    Then a problem in the configuration file is printed with its field
