Feature: The report tool

  Scenario: Two saved runs are compared
    # Guards against figures that are mixed up or changed by saving.
    Then a saved run reads back with the same figures
    And the report shows both runs and their ratio as text and JSON

  Scenario: Pictures are drawn on request only
    # Guards against a text report that needs matplotlib.
    Then a PNG and an SVG picture are written and another ending is refused
    And the text report does not import matplotlib

  Scenario: A broken file is named
    # Guards against a traceback or a wrong figure from a damaged file.
    Then any mutation of a saved run is read or refused with its name
