Feature: Settings

  Scenario: Any file gives settings or an error that names the place
    # Guards against a traceback, or a start with unchecked values, on a broken file.
    Then any text or mutation of a settings file loads or raises a SettingsError
    And any value of any key loads or raises an error of its section and key

  Scenario: Every field is fully declared
    # Guards against keys without documentation for operators.
    Then every field has a type, a range or choices, a valid default and a description
    And the settings page is current

  Scenario Outline: A mistake is named with its place
    # Guards against error messages that do not tell where the mistake is.
    Then the line "<line>" in section "<section>" is refused with "<message>"

    Examples:
      | section | line                    | message                           |
      | limits  | idle_timeot = 5         | did you mean 'idle_timeout'?      |
      | limits  | certificate_file = a    | did you mean [tls] certificate_file? |
      | limits  | idle_timeout = 0.5 s    | outside 1.0 to 3600.0 s           |
      | limits  | body_bytes = 1_000      | is not a whole number             |
      | limits  | head_timeout = nan      | is not a finite number            |
      | listen  | max_connections = 0     | outside 1 to 100000 connections   |
      | accounts | revoke_when_partitioned = maybe | is not true or false     |
      | accounts | revoke_after = 5000 m  | is not a finite number            |
      | accounts | revoke_after = 50 ms   | outside 0.1 to 86400.0 s          |
      | log     | level = LOUD            | is not one of TRACE, DEBUG        |
      | limit   | x = 1                   | did you mean 'limits'?            |
      | DEFAULT | x = 1                   | unknown section                   |
      | tls     | key_file = a            | certificate_file, key_file go together |

  Scenario: A reload applies all changes or none
    # Guards against an instance that applies only some of the changes in a file.
    Then a reload applies changed live keys
    And a reload that changes another key applies nothing and names the key
    And a reload of a broken or missing file applies nothing
