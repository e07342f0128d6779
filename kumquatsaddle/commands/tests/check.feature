Feature: kumquatsaddle-check

  Scenario: Valid files
    # Guards against output that scripts would take for a problem.
    Then a valid settings file prints nothing, and its values with --verbose

  Scenario: Hostile settings
    # Guards against an instance that starts with only a part of its settings.
    Then each invalid settings file is refused with file, section and key

  Scenario: A file of entities besides the settings
    # Guards against a configuration file whose contents are not checked.
    Then a problem in the configuration file is printed with its field
