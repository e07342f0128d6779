Feature: Backend servers that say in an answer that they leave

  Scenario Outline: A server that says so in an answer that is <kind> gets nothing more
    # Guards against requests to a server that shuts down while the list still has it.
    Given three servers that say so in their answers to a request that are <kind>
    Then those that answered get none of 20 further requests, which are all served

    Examples:
      | kind    |
      | whole   |
      | failed  |
      | refuse  |

  Scenario: A request that was assigned before is not written
    # Guards against a request that opens a connection while the server begins to leave.
    Given a request that waits for a connection when its server says that it leaves
    Then it is sent to the other server and uses no attempt for that

  Scenario: Requests that run end, and those that wait are refused at once
    # Guards against running requests that are cut off and waiting ones that wait for a server that never returns.
    Given one server with 6 slots that holds its answers
    When 8 requests are dispatched and the server says that it leaves
    Then the 2 that wait are refused at once and the 6 that run are served

  Scenario: No list of servers brings an incarnation back
    # Guards against a leaving server that is used again after its entry was removed and read again.
    Then for any sequence of lists only another incarnation is used after a departure

  Scenario: A server that leaves, pauses and limits its rate is given up once
    # Guards against announcements in one answer that hide each other.
    Given a server that says in one refusal that it leaves, pauses and limits its rate
    Then it is out of service, with its pause and its rate known
