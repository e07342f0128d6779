Feature: Quotas of client accounts between instances

  Scenario: Instances get tokens from the owner of an account
    # Guards against requests that are admitted without a token, or never.
    Given 3 instances in zone a and 2 in zone b with an account of 20 requests/s
    When each instance gets a request of the account
    Then all of them are admitted and the owner has answered 4 asks
    And 40 requests at one moment at an instance share a datagram

  Scenario: A quota message in the wire format
    # Guards against fields that are lost or confused, and against odd datagrams.
    Then any quota message is decoded as it was encoded
    And damaged quota messages are rejected

  Scenario: An ask that is lost is repeated
    # Guards against requests that are refused because of one lost datagram.
    Given 3 instances in zone a and 2 in zone b with an account of 20 requests/s
    When the first ask of an instance is lost
    Then its request is admitted

  Scenario: An answer that is lost does not cost a second token
    # Guards against an owner that grants a repeated ask twice.
    Given 3 instances in zone a and 2 in zone b with an account of 20 requests/s
    When the first answer to an instance is lost
    Then its request is admitted
    And the owner has granted one token

  Scenario: The owner of an account is killed
    # Guards against accounts without an owner, and requests that wait for a dead one.
    Given 3 instances in zone a and 2 in zone b with an account of 20 requests/s
    When the owner is killed
    Then requests are refused with 429 and a Retry-After below 3 seconds
    And all but one at a time are refused at once
    And within 6 seconds another instance grants tokens

  Scenario: A version lowers a quota
    # Guards against tokens of the former quota that are still granted.
    Given 3 instances in zone a and 2 in zone b with an account of 20 requests/s
    When a version lowers the quota to 2 requests/s
    Then in the next 4 seconds at most 20 requests are admitted

  Scenario: An account that sends many times its quota
    # Guards against a message for each request that is refused anyway.
    Given 3 instances in zone a and 2 in zone b with an account of 20 requests/s
    When the account sends 400 requests/s for 4 seconds
    Then at least 72 and at most 180 of them are admitted
    And an instance sends at most 60 asks a second

  Scenario: Tokens of requests that did not run go back to the owner
    # Guards against a quota that is used up by requests that were refused.
    Given 3 instances in zone a and 2 in zone b with an account of 20 requests/s
    When 20 requests are admitted and do not run
    Then the bucket of the owner has as many tokens as before

  Scenario: An instance that is cut off refuses at once
    # Guards against requests that wait for instances that cannot answer.
    Given 3 instances in zone a and 2 in zone b with an account of 20 requests/s
    When an instance has been cut off for 4 seconds
    Then its requests are refused at once with a Retry-After

  Scenario: An older build in a zone owns no quota
    # Guards against an upgrade in which accounts belong to instances that never answer.
    Given 3 instances in zone a and 2 in zone b, a-1 is of an older build
    Then no account belongs to the older build

  Scenario: A configuration without client accounts
    # Guards against traffic and work for deployments that have no accounts.
    Given 3 instances in zone a and 2 in zone b without client accounts
    Then no quota message was sent and no summary describes a zone

  Scenario: Tokens that return while an ask is repeated go with the next one
    # Guards against tokens of refused requests that are lost with a repeated datagram.
    Then a repeated ask returns what it returned at first, and the next ask the rest
