Feature: Changes after the loss of the instances that read the store

  Scenario Outline: A change is in force in time although <lost> of <instances> are <trouble>
    # Guards against requests to the old service of a route later than the bound: the
    # others noticed the loss late, waited in turn for instances that were lost as well,
    # and paused after the store had no history for their first read.
    Given a fleet of <instances> followers whose own last reads are older than the history
    When the first <lost> are <trouble> at any moment of a read and the routes change
    Then the others have the new routes and the drain within 1.75 s of the change

    Examples:
      | instances | lost | trouble                      |
      | 2         | 1    | cut off from the store       |
      | 4         | 2    | cut off from the store       |
      | 4         | 2    | refused by the store         |
      | 4         | 3    | killed                       |
      | 12        | 1    | killed                       |
      | 12        | 7    | cut off from the store       |
      | 30        | 14   | cut off from the store       |
      | 4         | 1    | slowed down                  |
      | 4         | 2    | slowed down                  |

  Scenario Outline: A change is in force in time although each reader is lost <moment>
    # Guards against instances that count a read as known of which they have only heard,
    # and against a new wait for each further loss.
    Given a fleet of 12 followers whose own last reads are older than the history
    When the routes change and the first <lost> readers are lost <moment>
    Then the others have the new routes and the drain within 1.75 s of the change

    Examples:
      | lost | moment                                     |
      | 1    | between their report of it and all fetches |
      | 1    | at their next call                         |
      | 4    | at their next call                         |

  Scenario: A reader that comes back does not delay a change
    # Guards against an instance that counts as the reader again before it has read.
    Given a fleet of 4 followers whose own last reads are older than the history
    When the first 2 are cut off again and again for 1 s and the routes change
    Then the others have the new routes and the drain within 1.75 s of the change

  Scenario: Changes are read by the reader alone
    # Guards against instances that read the store by themselves while they fetch a
    # change, because all that they know of reads came with reports of newer versions.
    Given a fleet of 12 followers whose own last reads are older than the history
    When the list changes every 0.3 s for 20 s and a fetch takes 0.2 s
    Then only the reader has called the store

  Scenario Outline: The zone of <instances> costs few calls in calm and after a loss
    # Guards against a fast takeover that is paid for with calls of all instances.
    Given a fleet of <instances> followers whose own last reads are older than the history
    Then in 20 s of calm all together make at most 2 calls a second
    And after the loss of the reader at most 8 more calls are made in 2 s

    Examples:
      | instances |
      | 4         |
      | 30        |
