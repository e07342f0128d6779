Feature: Crowds of hostile clients

  Scenario Outline: <kind>: <crowd>, at the <place>
    # Guards against clients that make a process exceed the memory or the descriptors of
    # its machine, or lock out ordinary callers and the readiness check.
    Given a <kind> instance on a small machine
    When a crowd sends <crowd> to the <place>
    Then the process lives within its memory and descriptors, and serves callers

    Examples:
      | kind     | crowd                                 | place          |
      | platform | bodies in one piece                   | route          |
      | platform | bodies in small pieces                | route          |
      | platform | bodies in chunks                      | route          |
      | platform | bodies in tiny chunks                 | route          |
      | platform | bodies far over the limit, declared   | route          |
      | platform | bodies far over the limit, undeclared | route          |
      | platform | requests of many fields               | held route     |
      | platform | pipelined requests without reading    | large route    |
      | platform | answers read slowly                   | large route    |
      | platform | half heads                            | route          |
      | platform | bodies in one piece                   | no route       |
      | platform | bodies in chunks                      | no route       |
      | platform | bodies far over the limit, declared   | no route       |
      | platform | bodies far over the limit, undeclared | no route       |
      | platform | requests of many fields               | no route       |
      | platform | pipelined requests without reading    | no route       |
      | platform | bodies in one piece                   | readiness      |
      | platform | bodies in chunks                      | readiness      |
      | platform | bodies far over the limit, undeclared | readiness      |
      | platform | requests of many fields               | readiness      |
      | platform | pipelined requests without reading    | readiness      |
      | platform | half heads                            | readiness      |
      | platform | bodies in one piece                   | operators      |
      | platform | bodies in small pieces                | operators      |
      | platform | bodies far over the limit, undeclared | operators      |
      | platform | pipelined requests without reading    | operators      |
      | platform | answers read slowly                   | operators      |
      | platform | half heads                            | operators      |
      | platform | bodies in one piece                   | control        |
      | platform | bodies far over the limit, undeclared | control        |
      | platform | half heads                            | control        |
      | node     | bodies in one piece                   | route          |
      | node     | bodies in tiny chunks                 | route          |
      | node     | requests of many fields               | held route     |
      | node     | pipelined requests without reading    | large route    |
      | node     | half heads                            | route          |
      | node     | bodies in one piece                   | no route       |
      | node     | bodies in one piece                   | node readiness |
      | node     | bodies in chunks                      | node readiness |
      | node     | bodies in tiny chunks                 | node readiness |
      | node     | bodies far over the limit, undeclared | node readiness |
      | node     | requests of many fields               | node readiness |
      | node     | pipelined requests without reading    | node readiness |
      | node     | half heads                            | node readiness |
      | node     | bodies in one piece                   | node operators |
      | node     | bodies far over the limit, declared   | node operators |
      | node     | pipelined requests without reading    | node operators |
      | node     | bodies in one piece                   | control        |
      | node     | bodies far over the limit, undeclared | control        |
      | node     | half heads                            | control        |

  Scenario Outline: <kind>: handshakes that stop half-way, at the <place>
    # Guards against descriptors and memory held by callers and strangers that never
    # complete a TLS handshake.
    Given a <kind> instance on a small machine
    When a crowd sends half TLS handshakes to the <place>
    Then the process lives within its memory and descriptors, and serves callers

    Examples:
      | kind          | place   |
      | node with TLS | route   |
      | node with TLS | control |

  Scenario Outline: <kind>: half heads at every address
    # Guards against addresses whose limits together exceed the descriptors of the
    # process.
    Given a <kind> instance on a small machine
    When crowds send half heads to every address of the <kind>
    Then the process lives within its memory and descriptors, and serves callers

    Examples:
      | kind     |
      | platform |
      | node     |
