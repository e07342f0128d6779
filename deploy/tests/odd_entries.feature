Feature: An odd entry among those of the servers

  Scenario Outline: An entry with <oddity> stops nothing and names no server
    # Guards against an instance that ends, stops following the list or cannot tell its
    # peers of it, because another writer left an entry that cannot be used.
    Given a platform with a server and an instance
    When another writer leaves an entry with <oddity>
    Then requests are served by the sound server alone
    And a peer that fetches the list gets the sound server
    And a change of the list is still followed

    Examples:
      | oddity                     |
      | nesting of 900 levels      |
      | nesting of 985 levels      |
      | nesting of 100000 levels   |
      | a number of 5000 digits    |
      | slots of 1e400             |
      | slots of 1e14              |
      | slots of NaN               |
      | a slow start of 1e14       |
      | a start of 1e400           |
      | port 0                     |
      | port 65536                 |
      | port -1                    |
      | a port of 5000 digits      |
      | a line break in its key    |
      | a lone surrogate in its key  |
      | a lone surrogate in its zone |
      | a line break in its service  |
      | a value that is not base64 |
      | a value that is not ASCII  |
      | a value that is a number   |
      | no value                   |

  Scenario Outline: An instance entry with <oddity> stops nothing
    # Guards against the same on the list of the instances.
    Given a platform with a server and an instance
    When another writer leaves an instance entry with <oddity> and the list is read
    Then requests are served by the sound server alone
    And a peer that fetches the list gets the sound server

    Examples:
      | oddity                       |
      | nesting of 985 levels        |
      | a number of 5000 digits      |
      | port 0                       |
      | port 65536                   |
      | a line break in its key      |
      | a lone surrogate in its key  |
      | a lone surrogate in its zone |

  Scenario: No depth of nesting or of the stack breaks the decoder
    # Guards against a RecursionError that is raised while the error is described.
    Then an entry nested to any depth near the limit gives a configuration error

  Scenario Outline: A configuration with <oddity> is refused and the one before stays
    # Guards against the same on the operator's configuration.
    Given a platform with a server and an instance
    When a configuration with <oddity> is written
    Then requests are served by the sound server alone
    And a change of the list is still followed

    Examples:
      | oddity                  |
      | nesting of 985 levels   |
      | a number of 5000 digits |
      | a timeout of 1e400      |
