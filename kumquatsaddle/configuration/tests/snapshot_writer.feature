Feature: The writing of snapshots in the background

  Scenario: A snapshot that is requested while one is written is written next
    # Guards against an instance that ends because a request came during a slow write.
    Then of requests during a slow write the last one is written after it

  Scenario: A snapshot that cannot be written stops nothing
    # Guards against an instance that writes no more snapshots after an outage.
    Then after an outage of the platform the next requested snapshot is written
