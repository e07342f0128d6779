Feature: Single requests inside the limits

  Scenario Outline: <kind>: the largest body is served
    # Guards against a memory budget that refuses what the configuration allows.
    Given a <kind> instance on a small machine
    When one request with the largest body is sent
    Then it is served

    Examples:
      | kind     |
      | node     |
      | platform |

  Scenario: A body of 64 MiB is served within 200 MB
    # Guards against copies of a body that exceed the memory of the machine.
    Given an instance of 200 MB that accepts bodies of 64 MiB
    When one request with a body of 64 MiB is sent
    Then it is served
    And the process stayed within 200 MB

  Scenario Outline: <kind>: the most fields are served
    # Guards against a bound on fields that is stricter than the limit of a head.
    Given a <kind> instance on a small machine
    When one request with as many fields as fit into a head is sent
    Then it is served

    Examples:
      | kind     |
      | node     |
      | platform |

  Scenario Outline: <kind>: the slowest head and body are served
    # Guards against a choice of slow connections that are within the timeouts.
    Given a <kind> instance that allows 3 seconds for a body of 2 KiB
    When one request is sent almost too slowly
    Then it is served

    Examples:
      | kind     |
      | node     |
      | platform |

  Scenario Outline: <kind>: an answer that is read slowly arrives whole
    # Guards against a choice of slow readers that are within the write timeout.
    Given a <kind> instance on a small machine
    When the answer of 2 MiB to one request is read in small parts
    Then it is served whole

    Examples:
      | kind     |
      | node     |
      | platform |
