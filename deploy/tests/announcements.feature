Feature: What servers of the platform say of themselves in their answers

  Scenario Outline: A server that says with status <status> that it leaves gets nothing later
    # Guards against requests to a server that shuts down while its entry is still listed.
    Given a platform with a server and an instance
    When the server answers <status> with Server-Leaving
    Then 3 further requests are refused as not run and do not reach it

    Examples:
      | status |
      | 200    |
      | 500    |
      | 503    |

  Scenario: A server that asks for a pause gets none of the requests in it
    # Guards against requests to a server that has turned the instance away for a time.
    Given a platform with a server and an instance
    When the server turns a request away with Retry-After 30
    Then 3 further requests are refused as not run and do not reach it
    And each is told to come back when the pause has ended
